//! A cancel, or the disconnect of a caller without a key, frees the engine (real processes).

mod answer_support;
mod support;

use answer_support::{
    ENGINE, LIMIT_MS, RunningCall, assert_final, narrow, raw_request, running_requests, send_raw,
    single,
};
use standins::caller::{Outcome, cancel, join};
use standins::fleet::{Fleet, wait_until};
use support::{CUSTOMER, draft, fresh_key, wait_eligible};

/// Longest time in which a cancelled request frees its engine, in milliseconds.
const FREE_LIMIT_MS: u64 = 1_000;
const LONG_PROMPT_BYTES: usize = 40_000;
const LONG_TOKENS: u32 = 600;
const PROMPT: &str = "draft a fitting plan for the stairs";
const SEEN_TOKENS: u64 = 50;

fn assert_free(fleet: &mut Fleet) {
    let condition = "the engine is free";
    wait_until(condition, FREE_LIMIT_MS, || running_requests(fleet, ENGINE) == 0).unwrap();
}

#[test]
fn a_cancel_through_any_instance_frees_the_engine() {
    let mut fleet = single(3).start().unwrap();
    wait_eligible(&fleet);
    let addresses = fleet.caller_addresses();
    for address in addresses {
        let key = fresh_key();
        let call = RunningCall::begin(draft(&fleet, 0, PROMPT, 3_000).key(&key));
        call.wait_tokens(SEEN_TOKENS);

        let cancel_answer = cancel(address, &key).unwrap();
        assert_free(&mut fleet);
        let (answer, _) = call.finish();
        let joined = join(address, &key, 0).unwrap();
        let again = cancel(address, &key).unwrap();

        assert_eq!(cancel_answer.status, 202, "{cancel_answer:?}");
        assert_final(&answer, Outcome::Failed, "cancelled");
        assert_final(&joined, Outcome::Failed, "cancelled");
        assert_final(&again, Outcome::Failed, "already_ended");
    }
}

#[test]
fn a_cancel_of_an_unknown_key_is_answered_with_no_such_key() {
    let fleet = single(2).start().unwrap();
    wait_eligible(&fleet);

    let answer = cancel(fleet.caller_addresses()[0], &fresh_key()).unwrap();

    assert_eq!(answer.status, 404);
    assert_final(&answer, Outcome::Unknown, "no_such_key");
}

#[test]
fn a_cancel_of_a_waiting_request_keeps_it_from_running() {
    let mut fleet = narrow(2).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let before = RunningCall::begin(draft(&fleet, 1, "a draft before it", LONG_TOKENS));
    before.wait_tokens(1);
    let call = RunningCall::begin(draft(&fleet, 0, PROMPT, 20).key(&key));
    wait_until("the request waits", LIMIT_MS, || {
        fleet.status("entry-1").unwrap()["requests"]["waiting"] == 1
    })
    .unwrap();

    let cancel_answer = cancel(fleet.caller_addresses()[1], &key).unwrap();
    let (answer, _) = call.finish();

    assert_eq!(cancel_answer.status, 202, "{cancel_answer:?}");
    assert_final(&answer, Outcome::NotRun, "cancelled");
    assert!(before.finish().0.matches("a draft before it"));
    let executions = fleet.engine_totals().unwrap().executions;
    assert_eq!(executions.values().sum::<u64>(), 1, "{executions:?}");
}

#[test]
fn a_disconnect_of_a_caller_without_a_key_frees_its_engine() {
    let mut fleet = single(1).start().unwrap();
    for tokens in [3_000, 0] {
        let prompt = if tokens == 0 { "b".repeat(10 * LONG_PROMPT_BYTES) } else { PROMPT.into() };
        let body = serde_json::json!({ "prompt": prompt, "output_tokens": tokens.max(1) });
        let before = fleet.engine_statistics(ENGINE).unwrap().executions.len();
        let bytes = raw_request("plan-model", "", &body.to_string());
        let stream = send_raw(fleet.caller_addresses()[0], &bytes);
        wait_until("an execution", LIMIT_MS, || {
            fleet.engine_statistics(ENGINE).unwrap().executions.len() > before
        })
        .unwrap();

        drop(stream);

        assert_free(&mut fleet);
    }
    let next = draft(&fleet, 0, PROMPT, 20).customer(CUSTOMER).send().unwrap();
    assert!(next.matches(PROMPT), "{next:?}");
}
