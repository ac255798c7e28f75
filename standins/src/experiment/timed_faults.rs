//! Faults that strike a fleet while it is under load.

use std::thread;
use std::time::{Duration, Instant};

use crate::engine::EngineStatistics;
use crate::fleet::{Fleet, FleetError};

/// What strikes.
#[derive(Clone, Debug)]
pub enum FaultAction {
    /// A backend server dies.
    KillBackend(String),
    /// An instance dies.
    KillInstance(String),
    /// An engine changes its speed.
    SetEngineSpeed(String, f64),
}

/// A strike and its time after the start of the load.
#[derive(Clone, Debug)]
pub struct TimedFault {
    /// Time.
    pub at: Duration,
    /// What strikes.
    pub action: FaultAction,
}

/// Lets each fault strike at its time; returns the counts of the engines that died until then.
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
                // Dropping it kills its process.
                fleet.backends.retain(|backend| backend.name != name);
            }
            FaultAction::KillInstance(name) => fleet.instance(&name)?.process.kill(),
            FaultAction::SetEngineSpeed(name, speed) => fleet.set_engine_speed(&name, speed)?,
        }
    }
    Ok(killed_statistics)
}
