//! End-to-end tests: from the caller through an instance to a backend server and back, as
//! processes.

mod support;

use standins::caller::Outcome;
use standins::fleet::{Fleet, get_json};
use support::{booking, draft, fresh_key, quick_fleet, reason, wait_eligible};

const PROMPT: &str = "draft a fitting plan";

fn arrange() -> Fleet {
    quick_fleet(3).start().unwrap()
}

#[test]
fn a_booking_runs_once_per_key_and_every_send_gets_its_answer() {
    let mut fleet = arrange();
    wait_eligible(&fleet);
    let key = fresh_key();

    let first = booking(&fleet, 0, &key).send().unwrap();
    let again = booking(&fleet, 1, &key).send().unwrap();

    assert_eq!(first.outcome, Some(Outcome::Done), "{first:?}");
    assert_eq!(again.outcome, Some(Outcome::Done), "{again:?}");
    let executions = fleet.plain_executions("order-desk-1").unwrap();
    assert_eq!(executions.keys.get(&key), Some(&1), "{executions:?}");
}

#[test]
fn a_model_engine_answers_a_prompt_in_full() {
    let fleet = arrange();

    let answer = draft(&fleet, 0, PROMPT, 20).send().unwrap();

    assert_eq!(answer.outcome, Some(Outcome::Done), "{answer:?}");
    assert!(answer.whole, "{answer:?}");
    assert!(answer.matches(PROMPT), "{answer:?}");
    assert_eq!(answer.tokens.len(), 20);
}

#[test]
fn a_request_that_may_not_be_repeated_needs_a_key() {
    let fleet = arrange();
    let address = fleet.caller_addresses()[0];
    let call = standins::caller::Call::new(address, "order-desk", serde_json::json!({}));

    let answer = call.customer(support::CUSTOMER).send().unwrap();

    assert_eq!(answer.status, 428);
    assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
    assert_eq!(reason(&answer), "missing_key");
}

#[test]
fn a_request_is_explained_by_the_id_in_its_answer() {
    let fleet = arrange();
    let address = fleet.caller_addresses()[0];
    let url = format!("http://{address}/v1/services/plan-model/requests");

    let response = attohttpc::post(url)
        .header("Bergamotspan-Customer", support::CUSTOMER)
        .text(r#"{"prompt":"a","max_output_tokens":2}"#)
        .send()
        .unwrap();
    let id = response.headers()["Bergamotspan-Request"].to_str().unwrap().to_owned();
    assert!(response.text().unwrap().contains(r#""outcome":"done""#));

    let escaped = id.replace('-', "%2d");
    let report: serde_json::Value = get_json(address, &format!("/explain/{escaped}")).unwrap();
    assert_eq!(report["request"], id.as_str());
    assert_eq!(report["state"], "done");
}
