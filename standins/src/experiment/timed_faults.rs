//! Injects faults into a fleet at given times while it is under load.

use std::thread;
use std::time::{Duration, Instant};

use crate::engine::EngineStatistics;
use crate::fleet::{Fleet, FleetError};

/// Action of a fault.
#[derive(Clone, Debug)]
pub enum FaultAction {
    /// Kills a backend server.
    KillBackend(String),
    /// Kills an instance.
    KillInstance(String),
    /// Changes the speed of an engine.
    SetEngineSpeed(String, f64),
}

/// A fault and its time.
#[derive(Clone, Debug)]
pub struct TimedFault {
    /// Time, counted from the start of the load.
    pub at: Duration,
    /// Action.
    pub action: FaultAction,
}

/// Injects each fault at its time; returns the counters of the killed engines, read just before the
/// kill.
///
/// # Errors
///
/// Returns an error if a name is unknown or an engine doesn't answer.
pub(super) fn inject_faults(
    fleet: &mut Fleet,
    faults: &[TimedFault],
) -> Result<EngineStatistics, FleetError> {
    let mut killed_statistics = EngineStatistics::default();
    let start = Instant::now();
    let mut faults = faults.to_vec();
    faults.sort_by_key(|fault| fault.at);
    for fault in faults {
        thread::sleep((start + fault.at).saturating_duration_since(Instant::now()));
        match fault.action {
            FaultAction::KillBackend(name) => {
                killed_statistics.merge(fleet.engine_statistics(&name)?);
                // Dropping a backend kills its process.
                fleet.backends.retain(|backend| backend.name != name);
            }
            FaultAction::KillInstance(name) => fleet.instance(&name)?.process.kill(),
            FaultAction::SetEngineSpeed(name, speed) => fleet.set_engine_speed(&name, speed)?,
        }
    }
    Ok(killed_statistics)
}
