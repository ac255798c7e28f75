//! Baseline: each instance takes the backend servers in turn.

use crate::baseline_fleet::BaselineFleet;
use crate::name::Name;
use crate::now::Now;
use crate::scheduler::{Scheduler, SchedulerEffect, SchedulerEvent, SchedulerReport};
use crate::scheduling::Bid;

/// Grants each request at once to the next backend server.
#[derive(Clone, Debug)]
pub struct RoundRobin {
    fleet: BaselineFleet,
    next_index: usize,
}

impl RoundRobin {
    /// Starts without backend servers.
    pub fn new(service: Name) -> Self {
        Self { fleet: BaselineFleet::new(service), next_index: 0 }
    }

    fn choose(&mut self, now_ms: u64, bid: &Bid) -> Option<usize> {
        let count = self.fleet.servers.len();
        let mut indices = (0..count).map(|step| (self.next_index + step) % count);
        let index = indices.find(|index| self.fleet.is_candidate(now_ms, bid, *index))?;
        self.next_index = index + 1;
        Some(index)
    }
}

impl Scheduler for RoundRobin {
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
