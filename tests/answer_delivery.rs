//! Every caller gets the complete answer to its own request despite failures (real processes).

mod answer_support;
mod support;

use std::time::Duration;

use answer_support::{
    LIMIT_MS, RunningCall, SILENCE_LIMIT_MS, busy_engine, key_with_home, raw_request, read_rest,
    send_raw,
};
use standins::caller::{Answer, Outcome, join};
use standins::fleet::{Fleet, wait_until};
use standins::proxy::FaultMode;
use support::{draft, fresh_key, quick_fleet, wait_eligible};

const CALLERS: usize = 24;
const ENGINES: [&str; 2] = ["plan-model-1", "plan-model-2"];
const LONG_TOKENS: u32 = 600;
const PROMPT: &str = "draft a fitting plan for the shower";
const SEEN_TOKENS: u64 = 50;

/// A stream in progress at an engine behind the fault proxy.
struct Streaming {
    call: RunningCall,
    engine: String,
    fleet: Fleet,
}

impl Streaming {
    fn arrange() -> Self {
        let mut fleet = quick_fleet(1).proxy_backend_servers().start().unwrap();
        let call = RunningCall::begin(draft(&fleet, 0, PROMPT, LONG_TOKENS));
        call.wait_tokens(SEEN_TOKENS);
        let engine = busy_engine(&mut fleet, &ENGINES);
        Self { call, engine, fleet }
    }

    fn fault(&self, mode: FaultMode) {
        self.fleet.fault_backend(&self.engine, mode).unwrap();
    }

    /// Asserts that the answer is complete, that the silence was short, and that the engine ran the
    /// request and its prefill once.
    fn assert_resumed(self) {
        let before = self.fleet.engine_totals().unwrap();
        let (answer, silence_ms) = self.call.finish();
        assert!(answer.matches(PROMPT), "{answer:?}");
        assert_eq!(answer.tokens.len(), LONG_TOKENS as usize);
        assert!(silence_ms < SILENCE_LIMIT_MS, "silent for {silence_ms} ms");
        let after = self.fleet.engine_totals().unwrap();
        assert_eq!(after.prefilled_tokens, before.prefilled_tokens);
        assert_eq!(after.wasted_tokens, 0);
        assert_eq!(after.executions.values().sum::<u64>(), 1, "{after:?}");
    }
}

fn assert_tail(answer: &Answer, offset: u64) {
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.tokens.len() as u64, u64::from(LONG_TOKENS) - offset);
    for (token, index) in answer.tokens.iter().zip(offset..) {
        assert_eq!(token.index, index);
        assert_eq!(token.text, standins::engine::token_text(PROMPT, index));
    }
}

#[test]
fn concurrent_callers_each_get_the_answer_to_their_own_prompt() {
    let fleet = quick_fleet(3).start().unwrap();
    let prompt = |index: usize| format!("case {index}: a rail beside the bath");

    let calls: Vec<RunningCall> = (0..CALLERS)
        .map(|index| {
            let output_tokens = 20 + index as u32;
            RunningCall::begin(draft(&fleet, index % 3, &prompt(index), output_tokens))
        })
        .collect();

    for (index, call) in calls.into_iter().enumerate() {
        let (answer, _) = call.finish();
        assert!(answer.matches(&prompt(index)), "{index}: {answer:?}");
        assert_eq!(answer.tokens.len(), 20 + index);
    }
}

#[test]
fn a_stream_that_is_cut_is_resumed_at_the_same_engine() {
    let streaming = Streaming::arrange();

    streaming.fault(FaultMode::Cut);
    std::thread::sleep(Duration::from_millis(150));
    streaming.fault(FaultMode::Pass);

    streaming.assert_resumed();
}

#[test]
fn a_stream_on_a_half_open_connection_is_resumed_on_a_new_one() {
    let streaming = Streaming::arrange();

    streaming.fault(FaultMode::HalfOpen);

    streaming.assert_resumed();
}

#[test]
fn a_stream_that_is_frozen_towards_the_instance_is_resumed() {
    let streaming = Streaming::arrange();

    streaming.fault(FaultMode::FreezeToClient);
    std::thread::sleep(Duration::from_millis(2_500));
    streaming.fault(FaultMode::Pass);

    streaming.assert_resumed();
}

#[test]
fn a_join_resumes_at_its_offset_through_any_instance_during_and_after_the_run() {
    let fleet = quick_fleet(3).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let addresses = fleet.caller_addresses();
    let call = draft(&fleet, 0, PROMPT, LONG_TOKENS).key(&key);

    let cut = call.timeout_ms(500).send().unwrap();
    let offset = cut.tokens.len() as u64;
    assert_eq!(cut.outcome, None, "{cut:?}");
    assert!(offset > 0, "{cut:?}");
    let running: Vec<Answer> = std::thread::scope(|scope| {
        let joins: Vec<_> = addresses
            .iter()
            .map(|address| scope.spawn(|| join(*address, &key, offset).unwrap()))
            .collect();
        joins.into_iter().map(|join| join.join().unwrap()).collect()
    });
    let ended: Vec<Answer> =
        addresses.iter().map(|address| join(*address, &key, offset).unwrap()).collect();

    for answer in running.iter().chain(&ended) {
        assert_tail(answer, offset);
    }
    for address in addresses {
        assert!(join(address, &key, 0).unwrap().matches(PROMPT));
    }
    let totals = fleet.engine_totals().unwrap();
    assert_eq!(totals.executions.values().sum::<u64>(), 1, "{totals:?}");
}

#[test]
fn a_join_after_a_restart_of_the_holder_is_never_answered_with_not_run() {
    let mut fleet = quick_fleet(3).start().unwrap();
    wait_eligible(&fleet);
    let key = key_with_home(&fleet, "entry-3");
    let addresses = fleet.caller_addresses();
    let call = RunningCall::begin(draft(&fleet, 0, PROMPT, LONG_TOKENS).key(&key));
    call.wait_tokens(SEEN_TOKENS);

    fleet.restart_instance("entry-1").unwrap();
    fleet.wait_ready(LIMIT_MS).unwrap();
    let other = RunningCall::begin(draft(&fleet, 0, "another prompt", LONG_TOKENS));
    other.wait_tokens(1);
    let joined = join(addresses[1], &key, 0).unwrap();
    let again = draft(&fleet, 0, PROMPT, LONG_TOKENS).key(&key).send().unwrap();
    let joined_again = join(addresses[1], &key, 0).unwrap();
    let joined_there = join(addresses[0], &key, 0).unwrap();

    for answer in [joined, again, joined_again, joined_there] {
        assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
        assert!(answer.tokens.is_empty(), "{answer:?}");
    }
    assert!(call.finish_cut().is_none_or(|answer| answer.outcome.is_none()));
    let (other, _) = other.finish();
    assert!(other.matches("another prompt"), "{other:?}");
}

#[test]
fn a_join_after_repeated_sends_of_one_key_gets_the_answer() {
    let fleet = quick_fleet(3).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let addresses = fleet.caller_addresses();
    let sends: Vec<Answer> = (0..3)
        .map(|instance| draft(&fleet, instance, PROMPT, 20).key(&key).send().unwrap())
        .collect();

    let joins = addresses.iter().map(|address| join(*address, &key, 0).unwrap());

    for answer in sends.iter().cloned().chain(joins) {
        assert!(answer.matches(PROMPT), "{answer:?}");
    }
}

#[test]
fn a_caller_that_reads_slowly_gets_its_whole_answer() {
    let fleet = quick_fleet(1).start().unwrap();
    let slow = RunningCall::begin_slowly(draft(&fleet, 0, PROMPT, 300), 5);
    slow.wait_tokens(1);

    let quick = draft(&fleet, 0, "a short question", 20).send().unwrap();

    assert!(quick.matches("a short question"), "{quick:?}");
    assert!(!slow.is_ended());
    let (answer, _) = slow.finish();
    assert!(answer.matches(PROMPT), "{answer:?}");
}

#[test]
fn a_caller_that_does_not_read_blocks_nobody_and_the_answer_can_be_joined() {
    let mut fleet = quick_fleet(2).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let addresses = fleet.caller_addresses();
    let body = format!(r#"{{"prompt":"{PROMPT}","output_tokens":{LONG_TOKENS}}}"#);
    let headers = format!("Idempotency-Key: {key}\r\n");

    let silent = send_raw(addresses[0], &raw_request("plan-model", &headers, &body));
    let runs = wait_until("the request runs", LIMIT_MS, || {
        !fleet.engine_totals().unwrap().executions.is_empty()
    });
    assert!(runs.is_ok(), "{}", read_rest(silent));
    let joined = join(addresses[1], &key, 0).unwrap();

    assert!(joined.matches(PROMPT), "{joined:?}");
    let engine = busy_engine(&mut fleet, &ENGINES);
    wait_until("the engine is free", 1_000, || {
        answer_support::running_requests(&mut fleet, &engine) == 0
    })
    .unwrap();
    drop(silent);
}
