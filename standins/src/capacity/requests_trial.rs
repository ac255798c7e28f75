//! Capacity trial: control cost of requests by role, for receiver, key home and coordinator.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::fit::Point;
use super::sampler::{Sample, UsageRates};
use super::series::Series;
use crate::fleet::{Fleet, FleetError, ServiceSpec, get_json, wait_until};
use crate::load::{LoadPlan, Mix, RequestClass, Target, drive};

const ENGINES: usize = 4;
const INSTANCES: usize = 3;
const ELIGIBLE_LIMIT_MS: u64 = 20_000;
const OUTPUT_TOKENS: u64 = 8;
const PROMPT_TOKENS: u64 = 1_024;
const SEED: u64 = 1;
const SERVICE: &str = "plan";
/// Time after which newly minted keys are newer than the eligibility of their homes by more than
/// twice the clock margin, as a home requires.
const KEY_MINTING_DELAY_MS: u64 = 300;
const VARIED_QUANTITY: &str = "keyed requests/s to one instance of three";

/// Indexes of the instances by their role in the trial.
struct Roles {
    home: usize,
    receiver: usize,
    coordinator: usize,
}

/// Measures three instances while one of them receives all requests.
///
/// Each is the home of a third of the keys. One of them is also the coordinator and another one the
/// receiver, so that the third shows the cost of a key home alone.
pub(super) fn run(rates_per_s: &[f64], window: Duration) -> Result<Vec<Series>, FleetError> {
    let fleet = start_fleet()?;
    let roles = roles(&fleet)?;
    let mut measurements = Vec::new();
    for rate_per_s in rates_per_s {
        measurements.push((*rate_per_s, measure(&fleet, &roles, *rate_per_s, window)?));
    }
    let role_labels = [
        "receiver and a third of the home",
        "steward and a third of the home",
        "a third of the home",
    ];
    let mut series = Vec::new();
    for (index, role_label) in role_labels.iter().enumerate() {
        let role_series = |name: &str, value: fn(&UsageRates) -> f64| {
            let points = measurements
                .iter()
                .map(|(rate, usage)| Point { x: *rate, y: value(&usage[index]) });
            Series::new(VARIED_QUANTITY, &format!("{role_label}: {name}"), points.collect())
        };
        series.push(role_series("control, us of processor/s", |usage| usage.control_us_per_s));
        series.push(role_series("peer messages, bytes/s", |usage| usage.peer_bytes_per_s));
        series.push(role_series("whole process, us of processor/s", |usage| usage.total_us_per_s));
    }
    series.push(receiver_memory(&measurements, window));
    Ok(series)
}

/// Returns the memory of the receiver by the number of answered requests: keyed requests stay at
/// their receiver for a key lifetime, which is longer than the trial.
fn receiver_memory(measurements: &[(f64, [UsageRates; 3])], window: Duration) -> Series {
    let mut requests = 0.0;
    let points = measurements.iter().map(|(rate_per_s, usage)| {
        requests += rate_per_s * window.as_secs_f64();
        Point { x: requests, y: usage[0].resident_kb }
    });
    Series::new("keyed requests answered", "receiver: resident memory, kB", points.collect())
}

fn start_fleet() -> Result<Fleet, FleetError> {
    let service = ServiceSpec::model(SERVICE, "m", ENGINES)
        .options(&["--max-running", "512"])
        .token_limit_tokens(1_000_000);
    let fleet = Fleet::builder()
        .instances(INSTANCES)
        .service(service)
        .setting("peer", "confirmation_window_ms", 1_500)
        .setting("keys", "clock_margin_ms", 50)
        .start()?;
    let addresses = fleet.caller_addresses();
    wait_until("every instance may grant keys", ELIGIBLE_LIMIT_MS, || {
        addresses.iter().all(|address| {
            get_json::<Value>(*address, "/status")
                .is_ok_and(|status| status["standing"]["lawful"] == json!(true))
        })
    })?;
    thread::sleep(Duration::from_millis(KEY_MINTING_DELAY_MS));
    Ok(fleet)
}

fn roles(fleet: &Fleet) -> Result<Roles, FleetError> {
    let mut indexes = Vec::new();
    for (index, instance) in fleet.instances.iter().enumerate() {
        let status: Value = get_json(instance.caller_address, "/status")?;
        let is_coordinator = status["schedulers"].as_array().is_some_and(|list| !list.is_empty());
        indexes.push((is_coordinator, index));
    }
    // An instance that was alone for a moment may still have an idle scheduler.
    indexes.sort();
    Ok(Roles { home: indexes[0].1, receiver: indexes[1].1, coordinator: indexes[2].1 })
}

fn measure(
    fleet: &Fleet,
    roles: &Roles,
    rate_per_s: f64,
    window: Duration,
) -> Result<[UsageRates; 3], FleetError> {
    let class = RequestClass {
        keyed: true,
        output_tokens_max: OUTPUT_TOKENS,
        output_tokens_min: OUTPUT_TOKENS,
        prefix_tokens: PROMPT_TOKENS / 2,
        prompt_tokens_max: PROMPT_TOKENS / 2,
        prompt_tokens_min: PROMPT_TOKENS / 2,
        service: SERVICE.to_owned(),
        tier: "high".to_owned(),
        ..RequestClass::default()
    };
    let plan = LoadPlan::poisson(Mix { classes: vec![class] }, rate_per_s, window, SEED);
    let indexes = [roles.receiver, roles.coordinator, roles.home];
    let take_sample = |index: usize| Sample::take(fleet, index);
    let before = [take_sample(indexes[0])?, take_sample(indexes[1])?, take_sample(indexes[2])?];
    let address = fleet.instances[roles.receiver].caller_address;
    let report = drive(&plan, &Target::Instances(vec![address]));
    let after = [take_sample(indexes[0])?, take_sample(indexes[1])?, take_sample(indexes[2])?];
    print!("{rate_per_s} requests/s:\n{report}");
    Ok([0, 1, 2].map(|index| before[index].rates_until(&after[index])))
}
