//! Baseline scheduler: each instance chooses the backend server with the fewest requests in
//! progress.

use crate::baseline_fleet::BaselineFleet;
use crate::baseline_scheduler::{BaselineScheduler, ServerChoice};
use crate::scheduling::GrantRequest;

/// Grants each request at once the backend server with the fewest requests in progress.
pub type LeastOutstanding = BaselineScheduler<FewestRequests>;

/// Chooses the server with the least sum of own requests in progress and running requests in its
/// last load report, which is stale; the first by name among equals.
#[derive(Clone, Copy, Debug, Default)]
pub struct FewestRequests;

impl ServerChoice for FewestRequests {
    fn choose(
        &mut self,
        fleet: &BaselineFleet,
        now_ms: u64,
        grant_request: &GrantRequest,
    ) -> Option<usize> {
        let indices = 0..fleet.servers.len();
        let candidates = indices.filter(|index| fleet.is_candidate(now_ms, grant_request, *index));
        candidates.min_by_key(|index| {
            let server = &fleet.servers[*index];
            u64::from(server.outstanding) + u64::from(server.reported)
        })
    }
}
