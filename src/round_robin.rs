//! Baseline scheduler: each instance chooses the backend servers in turn.

use crate::baseline_fleet::BaselineFleet;
use crate::baseline_scheduler::{BaselineScheduler, ServerChoice};
use crate::scheduling::GrantRequest;

/// Grants each request at once the next backend server.
pub type RoundRobin = BaselineScheduler<Rotation>;

/// Chooses the backend servers in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    next_index: usize,
}

impl ServerChoice for Rotation {
    fn choose(
        &mut self,
        fleet: &BaselineFleet,
        now_ms: u64,
        grant_request: &GrantRequest,
    ) -> Option<usize> {
        let count = fleet.servers.len();
        let mut indices = (0..count).map(|step| (self.next_index + step) % count);
        let index = indices.find(|index| fleet.is_candidate(now_ms, grant_request, *index))?;
        self.next_index = index + 1;
        Some(index)
    }
}
