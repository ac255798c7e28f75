//! Tests of backend servers and instances that are leaving: an engine gets no new requests, an
//! instance is not ready, and running requests finish.

mod seven;

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::json;
use seven::{address_of, draft, draft_call, elapsed_ms, status};
use standins::caller::{Answer, Outcome};
use standins::fleet::{Fleet, ServiceSpec, wait_until};

/// Longest time until a leaving engine gets no new work, in milliseconds.
const LEAVING_LIMIT_MS: u64 = 3_000;
/// Requests in each round.
const REQUESTS_PER_ROUND: usize = 8;
/// Tokens of an answer that takes longer than [`LEAVING_LIMIT_MS`].
const LONG_TOKENS: u32 = 600;
/// Time per token in microseconds.
const DECODE_US_PER_TOKEN: &str = "3000";
/// Engine that leaves.
const ENGINE: &str = "plan-model-1";

fn arrange() -> Fleet {
    let spec = ServiceSpec::model("plan-model", "plan-13b", 2)
        .token_limit_tokens(16_384)
        .prefill_tokens_per_s(20_000)
        .options(&["--decode-us-per-token", DECODE_US_PER_TOKEN]);
    Fleet::builder().instances(3).service(spec).start().unwrap()
}

/// Starts long requests, and waits until each engine runs some.
fn begin_long_drafts(fleet: &mut Fleet) -> Vec<JoinHandle<Answer>> {
    let address = address_of(fleet, "entry-1");
    let before = engine_requests(fleet);
    let drafts: Vec<_> = (0..4).map(|number| begin_draft(address, number)).collect();
    wait_until("requests at both engines", 5_000, || {
        let now = engine_requests(fleet);
        now[0] > before[0] && now[1] > before[1]
    })
    .unwrap();
    drafts
}

fn begin_draft(address: SocketAddr, number: usize) -> JoinHandle<Answer> {
    thread::spawn(move || draft(address, &long_prompt(number), LONG_TOKENS))
}

fn long_prompt(number: usize) -> String {
    format!("{number} draft a long plan")
}

fn engine_requests(fleet: &mut Fleet) -> [u64; 2] {
    ["plan-model-1", "plan-model-2"]
        .map(|name| fleet.engine_statistics(name).unwrap().executions.values().sum())
}

/// Sends short requests through every instance, several at once so that both engines get work.
fn send_round(fleet: &Fleet, round: &str) {
    let mut sent = Vec::new();
    for (index, address) in
        fleet.caller_addresses().into_iter().cycle().take(REQUESTS_PER_ROUND).enumerate()
    {
        let prompt = format!("{index} {round} short plan");
        sent.push(thread::spawn(move || draft(address, &prompt, 20)));
    }
    for answer in sent {
        let answer = answer.join().unwrap();
        assert_eq!(answer.outcome, Some(Outcome::Done), "{answer:?}");
    }
}

/// Asserts that the leaving engine gets nothing new from 3 s after `leaving_since` on.
fn assert_no_new_work(fleet: &mut Fleet, leaving_since: Instant) {
    let left_ms = LEAVING_LIMIT_MS.saturating_sub(elapsed_ms(leaving_since));
    thread::sleep(Duration::from_millis(left_ms));
    let before = engine_requests(fleet);
    for round in 0..5 {
        send_round(fleet, &format!("{round} while it leaves"));
    }
    let after = engine_requests(fleet);
    println!("requests at the engines: {before:?}, then {after:?}");
    assert_eq!(after[0], before[0], "the leaving engine got new work");
    assert!(after[1] >= before[1] + 5 * REQUESTS_PER_ROUND as u64, "{before:?} {after:?}");
}

fn assert_gets_work_again(fleet: &mut Fleet) {
    let before = engine_requests(fleet)[0];
    let start = Instant::now();
    while engine_requests(fleet)[0] == before {
        assert!(elapsed_ms(start) < 8_000, "the engine that returned got no work");
        send_round(fleet, "after it returned");
    }
}

/// Asserts that the long answers are whole, and that the slowest took longer than the limit.
fn assert_whole(drafts: Vec<JoinHandle<Answer>>) {
    let mut slowest_ms = 0;
    for (number, answer) in drafts.into_iter().enumerate() {
        let answer = answer.join().unwrap();
        assert!(answer.matches(&long_prompt(number)), "{answer:?}");
        assert_eq!(answer.tokens.len(), LONG_TOKENS as usize);
        slowest_ms = slowest_ms.max(answer.total_ms);
    }
    println!("the slowest answer took {slowest_ms} ms");
    assert!(slowest_ms > LEAVING_LIMIT_MS, "{slowest_ms} ms");
}

#[test]
fn an_engine_that_is_leaving_by_the_inventory_gets_no_new_work() {
    let mut fleet = arrange();
    let running = begin_long_drafts(&mut fleet);

    fleet.inventory.backend_servers[0].leaving = true;
    fleet.publish().unwrap();
    assert_no_new_work(&mut fleet, Instant::now());
    assert_whole(running);

    fleet.inventory.backend_servers[0].leaving = false;
    fleet.publish().unwrap();
    assert_gets_work_again(&mut fleet);
}

#[test]
fn an_engine_that_is_leaving_by_the_instance_list_gets_no_new_work() {
    let mut fleet = arrange();
    let running = begin_long_drafts(&mut fleet);

    fleet.set_listed_state(ENGINE, "leaving").unwrap();
    assert_no_new_work(&mut fleet, Instant::now());
    assert_whole(running);

    fleet.set_listed_state(ENGINE, "live").unwrap();
    assert_gets_work_again(&mut fleet);
}

#[test]
fn an_engine_is_leaving_while_one_source_marks_it_so() {
    let mut fleet = arrange();
    fleet.inventory.backend_servers[0].leaving = true;
    fleet.publish().unwrap();
    fleet.set_listed_state(ENGINE, "leaving").unwrap();
    let leaving_since = Instant::now();

    fleet.set_listed_state(ENGINE, "live").unwrap();

    assert_no_new_work(&mut fleet, leaving_since);
}

#[test]
fn an_instance_that_is_leaving_is_not_ready_and_finishes_its_requests() {
    let mut fleet = arrange();
    let address = address_of(&fleet, "entry-1");
    let running = begin_long_drafts(&mut fleet);

    fleet.set_listed_state("entry-1", "leaving").unwrap();
    let is_ready = |ready: bool| status(address)["ready"] == json!(ready);
    wait_until("entry-1 is not ready", LEAVING_LIMIT_MS, || is_ready(false)).unwrap();
    let late = draft_call(address, "sent before the balancer knew", 5).send().unwrap();

    assert_eq!(late.outcome, Some(Outcome::Done), "{late:?}");
    assert_whole(running);
    assert_eq!(status(address)["leaving"], json!(true));
    assert_eq!(status(address_of(&fleet, "entry-2"))["ready"], json!(true));
    fleet.set_listed_state("entry-1", "live").unwrap();
    wait_until("entry-1 is ready again", LEAVING_LIMIT_MS, || is_ready(true)).unwrap();
}
