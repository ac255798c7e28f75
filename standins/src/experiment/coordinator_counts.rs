//! Counters of the coordinators of a fleet, read from the status pages of the instances.

use serde::Serialize;
use serde_json::Value;

use crate::fleet::{Fleet, get_json};

/// Counters summed over the coordinators of the instances that respond.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CoordinatorCounts {
    /// Requests refused because of load while a lower tier waited at the same coordinator.
    pub inversions: u64,
    /// Requests refused because of load, or still waiting at their deadline.
    pub shed: u64,
}

/// Reads the counters of all instances; an instance that does not respond is skipped.
pub(super) fn read(fleet: &Fleet) -> CoordinatorCounts {
    let mut counts = CoordinatorCounts::default();
    for instance in &fleet.instances {
        let Ok(status) = get_json::<Value>(instance.caller_address, "/status") else { continue };
        let schedulers = status["schedulers"].as_array().into_iter().flatten();
        for scheduler in schedulers {
            counts.inversions += scheduler["inversions"].as_u64().unwrap_or(0);
            let shed = scheduler["shed"].as_array().into_iter().flatten();
            counts.shed += shed.filter_map(|pair| pair[1].as_u64()).sum::<u64>();
        }
    }
    counts
}
