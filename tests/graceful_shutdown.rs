//! Tests that a planned stop interrupts no request and loses no key, with real processes.

mod answer_support;
mod support;

use std::time::Instant;

use answer_support::{LIMIT_MS, RunningCall, key_with_home, running_requests};
use serde_json::Value;
use standins::caller::Outcome;
use standins::fleet::{Fleet, FleetBuilder, ServiceSpec, get_json, wait_until};
use support::{booking, draft, quick_fleet, reason, wait_eligible};

/// Longest time until a balancer sees that a stopping instance is not ready, in milliseconds.
const NOT_READY_LIMIT_MS: u64 = 500;
/// Time for the last answers to be written after the drain limit, in milliseconds.
const LAST_WRITES_MS: u64 = 3_000;
const LONG_DRAIN_LIMIT_MS: u64 = 10_000;
const PROMPT: &str = "draft a fitting plan for the toilet";
const SHORT_DRAIN_LIMIT_MS: u64 = 1_000;
const STREAMS: usize = 6;
const TOKENS: u32 = 600;

/// Describes a fleet with one engine of the given token limit.
fn fleet_with(token_limit_tokens: u32, drain_limit_ms: u64) -> FleetBuilder {
    let engine = ServiceSpec::model("plan-model", "plan-13b", 1)
        .token_limit_tokens(token_limit_tokens)
        .prefill_tokens_per_s(20_000)
        .options(&["--load-lag-ms", "20"]);
    Fleet::builder()
        .instances(3)
        .service(engine)
        .setting("peer", "heartbeat_interval_ms", 100)
        .setting("peer", "confirmation_window_ms", 600)
        .setting("keys", "clock_margin_ms", 50)
        .setting("shutdown", "drain_limit_ms", drain_limit_ms)
}

fn begin_terminate(fleet: &mut Fleet) {
    fleet.instance("entry-1").unwrap().process.begin_terminate().unwrap();
}

fn wait_end(fleet: &mut Fleet, limit_ms: u64) {
    let status = fleet.instance("entry-1").unwrap().process.wait(limit_ms).unwrap();
    assert_eq!(status.code(), Some(0));
}

fn wait_not_ready(fleet: &Fleet) {
    let address = fleet.caller_addresses()[0];
    wait_until("the instance is not ready", NOT_READY_LIMIT_MS, || {
        get_json::<Value>(address, "/readyz").is_err()
    })
    .unwrap();
    get_json::<Value>(address, "/livez").unwrap();
}

#[test]
fn running_requests_finish_whole_while_new_ones_are_refused() {
    let mut fleet = fleet_with(65_536, LONG_DRAIN_LIMIT_MS).start().unwrap();
    wait_eligible(&fleet);
    let addresses = fleet.caller_addresses();
    let key = key_with_home(&fleet, "entry-1");
    let keyed = RunningCall::begin(draft(&fleet, 0, PROMPT, TOKENS).key(&key));
    let prompt = |index: usize| format!("{PROMPT} {index}");
    let calls: Vec<RunningCall> = (0..STREAMS)
        .map(|index| RunningCall::begin(draft(&fleet, 0, &prompt(index), TOKENS)))
        .collect();
    keyed.wait_tokens(1);
    calls.iter().for_each(|call| call.wait_tokens(1));

    begin_terminate(&mut fleet);
    wait_not_ready(&fleet);
    let refused = draft(&fleet, 0, "a new draft", 20).send().unwrap();
    let elsewhere = draft(&fleet, 1, "a new draft", 20).send().unwrap();
    begin_terminate(&mut fleet);
    let joined_there = RunningCall::begin_join(addresses[0], &key);
    let joined_elsewhere = RunningCall::begin_join(addresses[1], &key);

    assert_eq!(refused.status, 503);
    assert_eq!(refused.outcome, Some(Outcome::NotRun), "{refused:?}");
    assert_eq!(reason(&refused), "stopping");
    assert!(refused.retry_after_ms.is_some());
    assert!(elsewhere.matches("a new draft"), "{elsewhere:?}");
    for call in [keyed, joined_there, joined_elsewhere] {
        let (answer, _) = call.finish();
        assert!(answer.matches(PROMPT), "{answer:?}");
    }
    for (index, call) in calls.into_iter().enumerate() {
        let (answer, _) = call.finish();
        assert!(answer.matches(&prompt(index)), "{answer:?}");
    }
    wait_end(&mut fleet, LAST_WRITES_MS);
    let executions = fleet.engine_totals().unwrap().executions;
    assert_eq!(executions.len(), STREAMS + 2, "{executions:?}");
    assert!(executions.values().all(|count| *count == 1), "{executions:?}");
}

#[test]
fn waiting_requests_finish_whole_within_the_drain_limit() {
    let mut fleet = fleet_with(64, LONG_DRAIN_LIMIT_MS).start().unwrap();
    let prompt = |index: usize| format!("{PROMPT} {index}");
    let calls: Vec<RunningCall> =
        (0..3).map(|index| RunningCall::begin(draft(&fleet, 0, &prompt(index), TOKENS))).collect();
    wait_until("one request runs and the others wait", LIMIT_MS, || {
        let requests = &fleet.status("entry-1").unwrap()["requests"];
        requests["running"] == 1 && requests["waiting"] == 2
    })
    .unwrap();

    begin_terminate(&mut fleet);

    for (index, call) in calls.into_iter().enumerate() {
        let (answer, _) = call.finish();
        assert!(answer.matches(&prompt(index)), "{answer:?}");
    }
    wait_end(&mut fleet, LAST_WRITES_MS);
}

#[test]
fn at_the_drain_limit_running_requests_are_cancelled_and_waiting_ones_not_run() {
    let mut fleet = fleet_with(64, SHORT_DRAIN_LIMIT_MS).start().unwrap();
    let running = RunningCall::begin(draft(&fleet, 0, PROMPT, 10 * TOKENS));
    running.wait_tokens(1);
    let waiting = RunningCall::begin(draft(&fleet, 0, "a waiting draft", TOKENS));
    wait_until("the second request waits", LIMIT_MS, || {
        fleet.status("entry-1").unwrap()["requests"]["waiting"] == 1
    })
    .unwrap();

    let since = Instant::now();
    begin_terminate(&mut fleet);
    let (running, _) = running.finish();
    let (waiting, _) = waiting.finish();
    wait_end(&mut fleet, SHORT_DRAIN_LIMIT_MS + LAST_WRITES_MS);

    assert!(since.elapsed().as_millis() as u64 >= SHORT_DRAIN_LIMIT_MS);
    assert_eq!(running.outcome, Some(Outcome::Failed), "{running:?}");
    assert_eq!(reason(&running), "drain_limit_passed");
    assert_eq!(waiting.outcome, Some(Outcome::NotRun), "{waiting:?}");
    assert_eq!(reason(&waiting), "stopping");
    wait_until("the engine is idle", 1_000, || running_requests(&mut fleet, "plan-model-1") == 0)
        .unwrap();
    let executions = fleet.engine_totals().unwrap().executions;
    assert_eq!(executions.values().sum::<u64>(), 1, "{executions:?}");
}

#[test]
fn a_stopping_home_hands_its_keys_to_their_successors() {
    let mut fleet = quick_fleet(3).start().unwrap();
    wait_eligible(&fleet);
    let key = key_with_home(&fleet, "entry-1");
    let first = booking(&fleet, 1, &key).send().unwrap();
    assert_eq!(first.outcome, Some(Outcome::Done), "{first:?}");

    begin_terminate(&mut fleet);
    wait_end(&mut fleet, LAST_WRITES_MS);
    fleet.remove_from_inventory("entry-1");
    fleet.instances.remove(0);
    fleet.publish().unwrap();
    wait_until("the list is in force", LIMIT_MS, || {
        ["entry-2", "entry-3"].iter().all(|name| fleet.status(name).unwrap()["list_version"] == 2)
    })
    .unwrap();
    wait_eligible(&fleet);
    let again = booking(&fleet, 1, &key).send().unwrap();

    assert_eq!(again.outcome, Some(Outcome::Done), "{again:?}");
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
}
