//! Trial of an experiment: a new fleet under one policy and one seed.

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use super::coordinator_counts::{self, CoordinatorCounts};
use super::setup::{DIRECT, Setup};
use super::timed_faults;
use crate::engine::EngineStatistics;
use crate::fleet::{Fleet, FleetError, get_json, wait_until};
use crate::load::{LoadReport, Target, drive};

/// Limit of the wait until every instance may grant keys.
const ELIGIBLE_LIMIT_MS: u64 = 30_000;
/// Default clock margin of an instance, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 1_000;
/// File with the load average of the machine.
const LOAD_AVERAGE_FILE: &str = "/proc/loadavg";

/// Result of one trial.
#[derive(Clone, Debug, Serialize)]
pub struct TrialResult {
    /// Policy.
    pub policy: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Results by tier.
    pub load: LoadReport,
    /// Prompt tokens computed by all engines, including those of killed engines until their end.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the caches of all engines.
    pub cached_tokens: u64,
    /// Prompt tokens computed for streams that were cancelled.
    pub wasted_tokens: u64,
    /// Prompt tokens computed beyond the minimum that the answers in time needed.
    pub wasted_prefill_tokens: u64,
    /// Counters of the coordinators.
    #[serde(rename = "stewards")]
    pub coordinators: CoordinatorCounts,
    /// Load average of the machine over the last minute, at the end.
    pub load_average: f64,
}

/// Runs the load of a seed under a policy and injects the faults of the setup.
///
/// # Errors
///
/// Returns an error if the fleet doesn't start, a fault names an unknown process or a live engine
/// doesn't answer afterwards.
pub fn run_trial(setup: &Setup, policy: &str, seed: u64) -> Result<TrialResult, FleetError> {
    let plan = setup.plan(seed);
    let mut fleet = setup.fleet(policy).start()?;
    wait_until_eligible(&fleet)?;
    let engines: Vec<SocketAddr> = fleet.backends.iter().map(|backend| backend.address).collect();
    let target = match policy {
        DIRECT => Target::Direct(engines),
        _ => Target::Instances(fleet.caller_addresses()),
    };
    let (load, killed_statistics) = thread::scope(|scope| {
        let injector = scope.spawn(|| timed_faults::inject_faults(&mut fleet, &setup.faults));
        let load = drive(&plan, &target);
        (load, injector.join().expect("fault injection does not panic"))
    });
    let mut totals = killed_statistics?;
    totals.merge(fleet.engine_totals()?);
    Ok(trial_result(policy, seed, load, &totals, coordinator_counts::read(&fleet)))
}

/// Waits until every instance may grant keys, so that keyed requests run from the start.
fn wait_until_eligible(fleet: &Fleet) -> Result<(), FleetError> {
    let is_eligible = |address| {
        get_json::<Value>(address, "/status")
            .is_ok_and(|status| status["standing"]["lawful"] == Value::Bool(true))
    };
    let all_eligible = || fleet.caller_addresses().into_iter().all(is_eligible);
    wait_until("every instance may grant keys", ELIGIBLE_LIMIT_MS, all_eligible)?;
    // A home grants no key that was minted within twice the clock margin after it became eligible;
    // the sleep covers one margin of that.
    thread::sleep(Duration::from_millis(CLOCK_MARGIN_MS));
    Ok(())
}

fn trial_result(
    policy: &str,
    seed: u64,
    load: LoadReport,
    totals: &EngineStatistics,
    coordinators: CoordinatorCounts,
) -> TrialResult {
    TrialResult {
        policy: policy.to_owned(),
        seed,
        prefilled_tokens: totals.prefilled_tokens,
        cached_tokens: totals.cached_tokens,
        wasted_tokens: totals.wasted_tokens,
        wasted_prefill_tokens: totals.prefilled_tokens.saturating_sub(load.useful_prompt_tokens),
        load,
        coordinators,
        load_average: load_average(),
    }
}

fn load_average() -> f64 {
    let text = fs::read_to_string(LOAD_AVERAGE_FILE).unwrap_or_default();
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or_default()
}
