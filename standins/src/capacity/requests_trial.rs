//! Control cost of requests by role: receiver, key home and coordinator.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::fit::Point;
use super::sampler::{Sample, Spent};
use super::series::Series;
use crate::fleet::{Fleet, FleetError, ServiceSpec, get_json, wait_until};
use crate::load::{Class, Mix, Plan, Target, drive};

const ENGINES: usize = 4;
const INSTANCES: usize = 3;
const LAWFUL_LIMIT_MS: u64 = 20_000;
const OUTPUT_TOKENS: u64 = 8;
const PROMPT_TOKENS: u64 = 1_024;
const SEED: u64 = 1;
const SERVICE: &str = "plan";
/// Time after which keys minted now are newer than the homes.
const MINTING_MS: u64 = 300;
const VARIED: &str = "keyed requests/s to one instance of three";

/// Places of the instances by their part in the trial.
struct Roles {
    home: usize,
    receiver: usize,
    coordinator: usize,
}

/// Measures three instances while one of them receives all requests.
///
/// Each is the home of a third of the keys. One of them is the coordinator besides, and one the
/// receiver, so that the third shows a key home alone.
pub(super) fn run(rates_per_s: &[f64], window: Duration) -> Result<Vec<Series>, FleetError> {
    let fleet = start()?;
    let roles = roles(&fleet)?;
    let mut measured = Vec::new();
    for rate_per_s in rates_per_s {
        measured.push((*rate_per_s, measure(&fleet, &roles, *rate_per_s, window)?));
    }
    let parts = [
        "receiver and a third of the home",
        "steward and a third of the home",
        "a third of the home",
    ];
    let mut series = Vec::new();
    for (index, part) in parts.iter().enumerate() {
        let one = |name: &str, value: fn(&Spent) -> f64| {
            let points =
                measured.iter().map(|(rate, spent)| Point { x: *rate, y: value(&spent[index]) });
            Series::new(VARIED, &format!("{part}: {name}"), points.collect())
        };
        series.push(one("control, us of processor/s", |spent| spent.control_us_per_s));
        series.push(one("peer messages, bytes/s", |spent| spent.peer_bytes_per_s));
        series.push(one("whole process, us of processor/s", |spent| spent.total_us_per_s));
    }
    series.push(kept(&measured, window));
    Ok(series)
}

/// Keyed requests stay at their receiver for a key lifetime, longer than the trial.
fn kept(measured: &[(f64, [Spent; 3])], window: Duration) -> Series {
    let mut requests = 0.0;
    let points = measured.iter().map(|(rate_per_s, spent)| {
        requests += rate_per_s * window.as_secs_f64();
        Point { x: requests, y: spent[0].resident_kb }
    });
    Series::new("keyed requests answered", "receiver: resident memory, kB", points.collect())
}

fn start() -> Result<Fleet, FleetError> {
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
    wait_until("every instance may grant keys", LAWFUL_LIMIT_MS, || {
        addresses.iter().all(|address| {
            get_json::<Value>(*address, "/status")
                .is_ok_and(|status| status["standing"]["lawful"] == json!(true))
        })
    })?;
    thread::sleep(Duration::from_millis(MINTING_MS));
    Ok(fleet)
}

fn roles(fleet: &Fleet) -> Result<Roles, FleetError> {
    let mut places = Vec::new();
    for (place, instance) in fleet.instances.iter().enumerate() {
        let status: Value = get_json(instance.caller_address, "/status")?;
        let is_coordinator = status["schedulers"].as_array().is_some_and(|list| !list.is_empty());
        places.push((is_coordinator, place));
    }
    // An instance that was alone for a moment may still hold an idle scheduler.
    places.sort();
    Ok(Roles { home: places[0].1, receiver: places[1].1, coordinator: places[2].1 })
}

fn measure(
    fleet: &Fleet,
    roles: &Roles,
    rate_per_s: f64,
    window: Duration,
) -> Result<[Spent; 3], FleetError> {
    let class = Class {
        keyed: true,
        output_tokens_max: OUTPUT_TOKENS,
        output_tokens_min: OUTPUT_TOKENS,
        prefix_tokens: PROMPT_TOKENS / 2,
        prompt_tokens_max: PROMPT_TOKENS / 2,
        prompt_tokens_min: PROMPT_TOKENS / 2,
        service: SERVICE.to_owned(),
        tier: "high".to_owned(),
        ..Class::default()
    };
    let plan = Plan::poisson(Mix { classes: vec![class] }, rate_per_s, window, SEED);
    let places = [roles.receiver, roles.coordinator, roles.home];
    let take = |place: usize| Sample::take(fleet, place);
    let before = [take(places[0])?, take(places[1])?, take(places[2])?];
    let address = fleet.instances[roles.receiver].caller_address;
    let report = drive(&plan, &Target::Instances(vec![address]));
    let after = [take(places[0])?, take(places[1])?, take(places[2])?];
    print!("{rate_per_s} requests/s:\n{report}");
    Ok([0, 1, 2].map(|index| before[index].until(&after[index])))
}
