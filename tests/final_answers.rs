//! Tests that final answers are correct and prompt when real processes fail.
//!
//! A backend server or the receiver is killed at different steps of a request. The request must not
//! run twice, and an answer must not say `not_run` of a request that may have run.

mod answer_support;
mod support;

use std::time::{Duration, Instant};

use answer_support::{
    DESK, DESK_DELAY_MS, ENGINE, LIMIT_MS, RunningCall, assert_final, key_with_home,
    running_requests, single,
};
use standins::caller::{Outcome, join};
use standins::fleet::{Fleet, ServiceSpec, wait_until};
use standins::proxy::FaultMode;
use support::{booking, draft, fresh_key, quick_fleet, wait_eligible};

/// Maximum time from a failure to the final answer of its request, in milliseconds.
const AT_ONCE_MS: u64 = 2_000;
const LONG_PROMPT_BYTES: usize = 40_000;
const LONG_TOKENS: u32 = 600;
/// Number of answers after which a request may be refused by estimate.
const MEASURED_ANSWERS: usize = 10;
const PROMPT: &str = "draft a fitting plan for the stairs";
const SEEN_TOKENS: u64 = 50;

fn kill(fleet: &mut Fleet, backend: &str) -> Instant {
    fleet.backend(backend).unwrap().process.kill();
    Instant::now()
}

fn wait_execution(fleet: &mut Fleet) {
    wait_until("an execution", LIMIT_MS, || {
        !fleet.engine_statistics(ENGINE).unwrap().executions.is_empty()
    })
    .unwrap();
}

fn wait_booking(fleet: &Fleet, key: &str) {
    wait_until("an execution", LIMIT_MS, || fleet.executions_of_key(key).unwrap() == 1).unwrap();
}

fn assert_at_once(since: Instant) {
    let elapsed_ms = since.elapsed().as_millis() as u64;
    assert!(elapsed_ms < AT_ONCE_MS, "{elapsed_ms} ms");
}

#[test]
fn an_engine_that_died_before_the_grant_runs_nothing() {
    let mut fleet = single(2).start().unwrap();
    kill(&mut fleet, ENGINE);

    let since = Instant::now();
    let answer = draft(&fleet, 0, PROMPT, 20).deadline_ms(1_000).send().unwrap();

    assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
    assert!(answer.retry_after_ms.is_some_and(|retry_after_ms| retry_after_ms > 0), "{answer:?}");
    assert_at_once(since);
    fleet.restart_backend(ENGINE).unwrap();
    assert!(fleet.engine_totals().unwrap().executions.is_empty());
}

#[test]
fn an_engine_that_dies_after_the_grant_lets_the_request_run_elsewhere_once() {
    let mut fleet = quick_fleet(1).start().unwrap();
    for engine in ["plan-model-1", "plan-model-2"] {
        kill(&mut fleet, engine);
        let answer = draft(&fleet, 0, &format!("{PROMPT} {engine}"), 20).send().unwrap();
        assert!(answer.matches(&format!("{PROMPT} {engine}")), "{answer:?}");
        fleet.restart_backend(engine).unwrap();
    }

    let executions = fleet.engine_totals().unwrap().executions;

    assert_eq!(executions.len(), 2, "{executions:?}");
    assert!(executions.values().all(|count| *count == 1), "{executions:?}");
}

#[test]
fn an_engine_that_dies_in_its_prefill_may_have_run_the_request() {
    let mut fleet = single(1).start().unwrap();
    let prompt = "a".repeat(LONG_PROMPT_BYTES);
    let call = RunningCall::begin(draft(&fleet, 0, &prompt, 600));
    wait_execution(&mut fleet);

    let since = kill(&mut fleet, ENGINE);
    let (answer, _) = call.finish();

    assert_at_once(since);
    assert_final(&answer, Outcome::Unknown, "stream_lost");
}

#[test]
fn an_engine_that_dies_mid_stream_may_have_run_the_request() {
    let mut fleet = single(1).start().unwrap();
    let call = RunningCall::begin(draft(&fleet, 0, PROMPT, LONG_TOKENS));
    call.wait_tokens(SEEN_TOKENS);

    let since = kill(&mut fleet, ENGINE);
    let (answer, _) = call.finish();

    assert_at_once(since);
    assert_final(&answer, Outcome::Unknown, "stream_lost");
    assert!(!answer.whole);
}

#[test]
fn an_engine_that_is_replaced_in_place_mid_stream_may_have_run_the_request() {
    let mut fleet = single(1).start().unwrap();
    let call = RunningCall::begin(draft(&fleet, 0, PROMPT, LONG_TOKENS));
    call.wait_tokens(SEEN_TOKENS);

    let since = Instant::now();
    fleet.restart_backend(ENGINE).unwrap();
    let (answer, _) = call.finish();

    assert_at_once(since);
    assert_final(&answer, Outcome::Unknown, "stream_lost");
    let executions = fleet.engine_totals().unwrap().executions;
    assert_eq!(executions.values().sum::<u64>(), 1, "{executions:?}");
}

#[test]
fn an_engine_that_dies_after_the_last_byte_leaves_the_answer_whole() {
    let mut fleet = single(2).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let call = RunningCall::begin_slowly(draft(&fleet, 0, PROMPT, 100).key(&key), 10);
    wait_execution(&mut fleet);
    wait_until("the last byte", LIMIT_MS, || {
        let status = fleet.status("entry-1").unwrap();
        status["requests"]["running"] == 0
    })
    .unwrap();
    assert!(!call.is_ended());

    kill(&mut fleet, ENGINE);
    let (answer, _) = call.finish();
    let joined = join(fleet.caller_addresses()[1], &key, 0).unwrap();

    assert!(answer.matches(PROMPT), "{answer:?}");
    assert!(joined.matches(PROMPT), "{joined:?}");
}

#[test]
fn an_engine_that_reports_a_failure_failed_the_request() {
    let engine = ServiceSpec::model("plan-model", "plan-13b", 1)
        .token_limit_tokens(32_768)
        .prefill_tokens_per_s(20_000)
        .options(&["--fail-on", "impossible"]);
    let fleet = Fleet::builder().instances(1).service(engine).start().unwrap();

    let since = Instant::now();
    let answer = draft(&fleet, 0, "an impossible rail", 20).send().unwrap();

    assert_at_once(since);
    assert_final(&answer, Outcome::Failed, "run_failed");
}

#[test]
fn a_plain_server_that_died_before_the_grant_runs_nothing() {
    let mut fleet = single(2).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    kill(&mut fleet, DESK);

    let since = Instant::now();
    let answer = booking(&fleet, 0, &key).deadline_ms(1_000).send().unwrap();

    assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
    assert!(answer.retry_after_ms.is_some(), "{answer:?}");
    assert_at_once(since);
    fleet.restart_backend(DESK).unwrap();
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 0);
    let again = booking(&fleet, 1, &key).send().unwrap();
    assert_eq!(again.outcome, Some(Outcome::Done), "{again:?}");
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
}

#[test]
fn a_plain_server_that_dies_in_a_call_may_have_run_it_and_never_runs_it_again() {
    let mut fleet = single(2).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let call = RunningCall::begin(booking(&fleet, 0, &key));
    wait_booking(&fleet, &key);

    let since = kill(&mut fleet, DESK);
    let (answer, _) = call.finish();
    assert_at_once(since);
    fleet.restart_backend(DESK).unwrap();
    let again = booking(&fleet, 1, &key).send().unwrap();

    assert_final(&answer, Outcome::Unknown, "stream_lost");
    assert_eq!(again.outcome, Some(Outcome::Unknown), "{again:?}");
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
}

#[test]
fn a_receiver_that_dies_leaves_the_outcome_unknown_and_no_second_run() {
    let mut fleet = single(3).start().unwrap();
    wait_eligible(&fleet);
    let key = key_with_home(&fleet, "entry-2");
    let call = RunningCall::begin(booking(&fleet, 0, &key));
    wait_booking(&fleet, &key);

    fleet.instance("entry-1").unwrap().process.kill();
    assert!(call.finish_cut().is_none_or(|answer| answer.outcome.is_none()));
    let since = Instant::now();
    let again = booking(&fleet, 2, &key).send().unwrap();
    let joined = join(fleet.caller_addresses()[1], &key, 0).unwrap();

    assert_at_once(since);
    assert_final(&again, Outcome::Unknown, "holder_unreachable");
    assert_final(&joined, Outcome::Unknown, "holder_unreachable");
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_before_it_passes() {
    let mut fleet = single(1).start().unwrap();
    let prompt = "a".repeat(LONG_PROMPT_BYTES);
    let measured: Vec<RunningCall> = (0..MEASURED_ANSWERS)
        .map(|_| RunningCall::begin(draft(&fleet, 0, PROMPT, LONG_TOKENS)))
        .collect();
    assert!(measured.into_iter().all(|call| call.finish().0.whole));
    let before = fleet.engine_statistics(ENGINE).unwrap().executions.len();

    let since = Instant::now();
    let answer = draft(&fleet, 0, &prompt, 100).deadline_ms(300).send().unwrap();

    assert_final(&answer, Outcome::NotRun, "cannot_finish_in_time");
    assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
    assert_eq!(fleet.engine_statistics(ENGINE).unwrap().executions.len(), before);
}

/// Waits until the engine runs no request.
fn wait_idle(fleet: &mut Fleet) {
    wait_until("the engine is idle", LIMIT_MS, || running_requests(fleet, ENGINE) == 0).unwrap();
}

#[test]
fn last_bytes_that_are_lost_on_their_way_are_fetched_again() {
    let mut fleet = single(1).proxy_backend_servers().start().unwrap();
    let call = RunningCall::begin(draft(&fleet, 0, PROMPT, LONG_TOKENS));
    call.wait_tokens(SEEN_TOKENS);

    fleet.fault_backend(ENGINE, FaultMode::FreezeToClient).unwrap();
    wait_idle(&mut fleet);
    let before = fleet.engine_totals().unwrap();
    fleet.fault_backend(ENGINE, FaultMode::Cut).unwrap();
    fleet.fault_backend(ENGINE, FaultMode::Pass).unwrap();
    let (answer, _) = call.finish();

    assert!(answer.matches(PROMPT), "{answer:?}");
    let after = fleet.engine_totals().unwrap();
    assert_eq!(after.prefilled_tokens, before.prefilled_tokens);
    assert_eq!(after.executions.values().sum::<u64>(), 1, "{after:?}");
}

#[test]
fn an_engine_that_dies_with_its_last_bytes_on_their_way_may_have_run_the_request() {
    let mut fleet = single(1).proxy_backend_servers().start().unwrap();
    let call = RunningCall::begin(draft(&fleet, 0, PROMPT, LONG_TOKENS));
    call.wait_tokens(SEEN_TOKENS);

    fleet.fault_backend(ENGINE, FaultMode::FreezeToClient).unwrap();
    wait_idle(&mut fleet);
    let since = kill(&mut fleet, ENGINE);
    fleet.fault_backend(ENGINE, FaultMode::Cut).unwrap();
    let (answer, _) = call.finish();

    assert_at_once(since);
    assert_final(&answer, Outcome::Unknown, "stream_lost");
    fleet.restart_backend(ENGINE).unwrap();
    let executions = fleet.engine_totals().unwrap().executions;
    assert_eq!(executions.values().sum::<u64>(), 1, "{executions:?}");
}

#[test]
fn a_plain_answer_that_is_lost_on_its_way_is_unknown_and_never_run_again() {
    let mut fleet = single(2).proxy_backend_servers().start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let call = RunningCall::begin(booking(&fleet, 0, &key));
    wait_booking(&fleet, &key);

    fleet.fault_backend(DESK, FaultMode::FreezeToClient).unwrap();
    std::thread::sleep(Duration::from_millis(DESK_DELAY_MS));
    let since = kill(&mut fleet, DESK);
    fleet.fault_backend(DESK, FaultMode::Cut).unwrap();
    let (answer, _) = call.finish();
    assert_at_once(since);
    fleet.restart_backend(DESK).unwrap();
    fleet.fault_backend(DESK, FaultMode::Pass).unwrap();
    let again = booking(&fleet, 1, &key).send().unwrap();

    assert_final(&answer, Outcome::Unknown, "stream_lost");
    assert_eq!(again.outcome, Some(Outcome::Unknown), "{again:?}");
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
}
