//! Baseline: each instance takes the backend server with the fewest requests in progress.

use crate::baseline_fleet::BaselineFleet;
use crate::name::Name;
use crate::now::Now;
use crate::scheduler::{Scheduler, SchedulerEffect, SchedulerEvent, SchedulerReport};
use crate::scheduling::Bid;

/// Grants each request at once to the backend server with the least sum of own outstanding
/// requests and requests by its last, stale load report; the first by name among equals.
#[derive(Clone, Debug)]
pub struct LeastOutstanding {
    fleet: BaselineFleet,
}

impl LeastOutstanding {
    /// Starts without backend servers.
    pub fn new(service: Name) -> Self {
        Self { fleet: BaselineFleet::new(service) }
    }

    fn choose(&self, now_ms: u64, bid: &Bid) -> Option<usize> {
        let indices = 0..self.fleet.servers.len();
        let candidates = indices.filter(|index| self.fleet.is_candidate(now_ms, bid, *index));
        candidates.min_by_key(|index| {
            let server = &self.fleet.servers[*index];
            u64::from(server.outstanding) + u64::from(server.reported)
        })
    }
}

impl Scheduler for LeastOutstanding {
    fn decide(&mut self, now: Now, event: SchedulerEvent) -> Vec<SchedulerEffect> {
        match event {
            SchedulerEvent::Bid(bid) if self.fleet.is_granted(&bid.request) => Vec::new(),
            SchedulerEvent::Bid(bid) => {
                let index = self.choose(now.monotonic_ms, &bid);
                vec![self.fleet.answer(&bid, index)]
            }
            event => {
                self.fleet.take_in(now.monotonic_ms, &event);
                Vec::new()
            }
        }
    }

    fn lowest_waiting_rank(&self) -> Option<u8> {
        None
    }

    fn report(&self, now: Now) -> SchedulerReport {
        self.fleet.report(now.monotonic_ms)
    }
}
