//! One trial: a fresh fleet, one policy, one seed.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};

use crate::engine::EngineStatistics;
use crate::fleet::{Fleet, FleetBuilder, FleetError, ServiceSpec, TierRow, post_json};
use crate::load::{LoadReport, Mix, Plan, Target, drive};

/// Policy that sends the load to the engines in turn, without bergamotspan.
const DIRECT: &str = "direct";

/// Speeds given to the engines of a service in turn.
const SPEEDS: [&str; 4] = ["1.0", "0.7", "0.4", "1.3"];

/// What all trials of an experiment share.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Duration of the arrivals.
    pub duration: Duration,
    /// Engines of each service.
    pub engines: usize,
    /// Instances.
    pub instances: usize,
    /// Classes of requests.
    pub mix: Mix,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Time at which the first engine becomes a straggler, if it does.
    pub straggler_at: Option<Duration>,
    /// Speed of the straggler.
    pub straggler_speed: f64,
}

/// Result of one trial.
#[derive(Clone, Debug, Serialize)]
pub struct TrialResult {
    /// Policy.
    pub policy: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Results by tier.
    pub load: LoadReport,
    /// Prompt tokens computed by all engines.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the caches of all engines.
    pub cached_tokens: u64,
    /// Prompt tokens computed for streams that were cancelled.
    pub wasted_tokens: u64,
}

/// Runs the load of a seed under a policy.
///
/// # Errors
///
/// Returns an error if the fleet doesn't start or an engine doesn't answer afterwards.
pub fn run_trial(setup: &Setup, policy: &str, seed: u64) -> Result<TrialResult, FleetError> {
    let plan = Plan::poisson(setup.mix.clone(), setup.rate_per_s, setup.duration, seed);
    let fleet = describe(setup, policy).start()?;
    let engines: Vec<SocketAddr> = fleet.backends.iter().map(|backend| backend.address).collect();
    if let (Some(at), Some(engine)) = (setup.straggler_at, engines.first()) {
        slow_down_later(*engine, at, setup.straggler_speed);
    }
    let target = match policy {
        DIRECT => Target::Direct(engines),
        _ => Target::Instances(fleet.caller_addresses()),
    };
    let load = drive(&plan, &target);
    Ok(result(policy, seed, load, &fleet.engine_totals()?))
}

fn result(policy: &str, seed: u64, load: LoadReport, totals: &EngineStatistics) -> TrialResult {
    TrialResult {
        policy: policy.to_owned(),
        seed,
        load,
        prefilled_tokens: totals.prefilled_tokens,
        cached_tokens: totals.cached_tokens,
        wasted_tokens: totals.wasted_tokens,
    }
}

fn describe(setup: &Setup, policy: &str) -> FleetBuilder {
    let mut builder = Fleet::builder();
    for service in distinct(setup.mix.classes.iter().map(|class| &class.service)) {
        let mut spec = ServiceSpec::model(service, service, setup.engines);
        for (number, speed) in (1..=setup.engines).zip(SPEEDS.iter().cycle()) {
            spec = spec.options_of(number, &["--speed", speed]);
        }
        builder = builder.service(spec);
    }
    builder = add_tiers(builder, &setup.mix);
    // A request may lower the tier of its customer, but not raise it.
    let highest = setup.mix.classes.first().map_or("", |class| class.tier.as_str());
    for customer in distinct(setup.mix.classes.iter().map(|class| &class.customer)) {
        builder = builder.customer(customer, highest);
    }
    match policy {
        DIRECT => builder.instances(0),
        _ => builder.instances(setup.instances).setting("dispatch", "policy", policy),
    }
}

/// Ranks the tiers in the order in which the mix first names them.
fn add_tiers(mut builder: FleetBuilder, mix: &Mix) -> FleetBuilder {
    for (rank, name) in (0..).zip(distinct(mix.classes.iter().map(|class| &class.tier))) {
        let classes = mix.classes.iter().filter(|class| class.tier == *name);
        let deadline_ms = classes.clone().map(|class| class.deadline_ms).max().unwrap_or_default();
        let first_token_ms = classes.filter_map(|class| class.first_token_ms).max();
        builder = builder.tier_row(TierRow {
            name: name.clone(),
            rank,
            deadline_ms,
            first_token_ms: first_token_ms.unwrap_or(deadline_ms),
            between_tokens_ms: deadline_ms,
        });
    }
    builder
}

/// Returns names without repeats, in the order of their first appearance.
fn distinct<'a, I>(names: I) -> Vec<&'a String>
where
    I: Iterator<Item = &'a String>,
{
    let mut found = Vec::new();
    for name in names {
        if !found.contains(&name) {
            found.push(name);
        }
    }
    found
}

fn slow_down_later(engine: SocketAddr, at: Duration, speed: f64) {
    thread::spawn(move || {
        thread::sleep(at);
        // The trial may be over.
        let _ = post_json::<_, Value>(engine, "/v1/admin/speed", &json!({"speed": speed}));
    });
}
