//! Base of both baseline schedulers: it grants each request at once, without a queue or tiers.

use crate::baseline_fleet::BaselineFleet;
use crate::name::Name;
use crate::now::Now;
use crate::scheduler::{Scheduler, SchedulerEffect, SchedulerEvent, SchedulerReport};
use crate::scheduling::GrantRequest;

/// How a baseline chooses among the backend servers of its service.
pub trait ServerChoice: Default + Send {
    /// Returns the index of the chosen backend server, or nothing if none may be used.
    fn choose(
        &mut self,
        fleet: &BaselineFleet,
        now_ms: u64,
        grant_request: &GrantRequest,
    ) -> Option<usize>;
}

/// Grants each request at once the backend server that `C` chooses for it.
#[derive(Clone, Debug)]
pub struct BaselineScheduler<C> {
    choice: C,
    fleet: BaselineFleet,
}

impl<C> BaselineScheduler<C>
where
    C: ServerChoice,
{
    /// Returns a scheduler without backend servers.
    pub fn new(service: Name) -> Self {
        Self { choice: C::default(), fleet: BaselineFleet::new(service) }
    }
}

impl<C> Scheduler for BaselineScheduler<C>
where
    C: ServerChoice,
{
    fn decide(&mut self, now: Now, event: SchedulerEvent) -> Vec<SchedulerEffect> {
        match event {
            SchedulerEvent::GrantRequest(grant_request)
                if self.fleet.is_granted(&grant_request.request) =>
            {
                Vec::new()
            }
            SchedulerEvent::GrantRequest(grant_request) => {
                let index = self.choice.choose(&self.fleet, now.monotonic_ms, &grant_request);
                vec![self.fleet.grant_or_refuse(&grant_request, index)]
            }
            event => {
                self.fleet.apply_event(now.monotonic_ms, &event);
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
