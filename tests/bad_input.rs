//! Invalid input is refused with a typed error that names the fault and whether the request ran.

mod answer_support;
mod support;

use std::net::{Shutdown, SocketAddr};

use answer_support::{LIMIT_MS, raw_request, read_rest, send_raw};
use serde_json::{Value, json};
use standins::caller::{Answer, Call, Outcome, join};
use standins::fleet::{Fleet, get_json, wait_until};
use support::{CUSTOMER, booking, draft, fresh_key, quick_fleet, reason, wait_eligible};

const BODY_LIMIT_BYTES: usize = 10_000;
/// Size from which on the body is read from the connection as it arrives.
const PADDING_BYTES: usize = 2_000;
const PROMPT: &str = "draft a fitting plan";

/// One instance that receives invalid input.
struct Given {
    fleet: Fleet,
}

impl Given {
    fn new() -> Self {
        let fleet = quick_fleet(1)
            .setting("caller", "body_limit_bytes", BODY_LIMIT_BYTES)
            .tier("high", 10_000)
            .tier("low", 30_000)
            .customer(CUSTOMER, "low")
            .start()
            .unwrap();
        Self { fleet }
    }

    fn address(&self) -> SocketAddr {
        self.fleet.caller_addresses()[0]
    }

    fn draft(&self) -> Call {
        draft(&self.fleet, 0, PROMPT, 5)
    }

    /// Sends raw bytes and returns status and body of the answer.
    fn raw(&self, bytes: &str) -> (u16, Value) {
        let stream = send_raw(self.address(), bytes);
        stream.shutdown(Shutdown::Write).unwrap();
        parse(&read_rest(stream))
    }

    /// Asserts that nothing ran and that the instance still serves requests.
    fn assert_unharmed(&self) {
        let model_executions = self.fleet.engine_totals().unwrap().executions.len();
        assert_eq!(model_executions, 0);
        let plain_executions: Value =
            get_json(self.fleet.backends[2].address, "/v1/executions").unwrap();
        assert_eq!(plain_executions["requests"], json!({}));
        let answer = self.draft().send().unwrap();
        assert!(answer.matches(PROMPT), "{answer:?}");
    }
}

fn parse(response: &str) -> (u16, Value) {
    let status = response.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body = response.split("\r\n\r\n").nth(1).unwrap_or_default();
    let body = serde_json::from_str(body).unwrap_or_else(|_| panic!("{response}"));
    (status.unwrap(), body)
}

fn assert_not_run(answer: &Answer, status: u16, expected: &str, expected_text: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
    assert_eq!(reason(answer), expected, "{answer:?}");
    let message = answer.message.as_deref().unwrap_or_default();
    assert!(message.contains(expected_text), "{message}");
    assert!(message.contains("did not run"), "{message}");
}

fn assert_raw_not_run((status, body): &(u16, Value), expected_status: u16, expected: &str) {
    assert_eq!(*status, expected_status, "{body}");
    assert_eq!(body["outcome"], "not_run", "{body}");
    assert_eq!(body["reason"], expected, "{body}");
    let message = body["message"].as_str().unwrap();
    assert!(message.contains("did not run"), "{message}");
}

#[test]
fn unknown_names_are_refused_and_named_in_the_message() {
    let given = Given::new();
    let body = json!({ "prompt": PROMPT });
    let service = Call::new(given.address(), "plan-modle", body.clone()).customer(CUSTOMER);
    let no_customer = Call::new(given.address(), "plan-model", body.clone());

    assert_not_run(&service.send().unwrap(), 404, "unknown_service", "plan-modle");
    assert_not_run(&no_customer.send().unwrap(), 400, "missing_customer", "Bergamotspan-Customer");
    let unknown_customer = no_customer.customer("customer-9");
    assert_not_run(&unknown_customer.send().unwrap(), 403, "unknown_customer", "customer-9");
    let tier = given.draft().tier("highest");
    assert_not_run(&tier.send().unwrap(), 400, "unknown_tier", "highest");
    let raised = given.draft().tier("high");
    assert_not_run(&raised.send().unwrap(), 400, "tier_raised", "high");
    let path = raw_request("plan-model", "", &body.to_string());
    let path = path.replace("requests HTTP", "requests/a/../b HTTP");
    assert_raw_not_run(&given.raw(&path), 400, "path_not_normal");
    given.assert_unharmed();
}

#[test]
fn invalid_headers_and_bodies_are_refused_with_a_reason() {
    let given = Given::new();
    let large = draft(&given.fleet, 0, &"a".repeat(BODY_LIMIT_BYTES), 5);

    for deadline in ["0", "-1", "soon", "3600001", "99999999999999999999"] {
        let answer = given.draft().header("Bergamotspan-Deadline-Ms", deadline).send().unwrap();
        assert_not_run(&answer, 400, "bad_deadline", deadline);
    }
    for key in ["a/b", "a b", "a?b", &"k".repeat(257)] {
        let answer = given.draft().key(key).send().unwrap();
        assert_not_run(&answer, 400, "bad_key", "Idempotency-Key");
    }
    assert_not_run(&large.send().unwrap(), 413, "body_too_large", "10000 bytes");
    let empty = draft(&given.fleet, 0, "", 5);
    assert_not_run(&empty.send().unwrap(), 400, "missing_prompt", "prompt");
    let unkeyed = Call::new(given.address(), "order-desk", json!({})).customer(CUSTOMER);
    assert_not_run(&unkeyed.send().unwrap(), 428, "missing_key", "Idempotency-Key");
    for body in ["{", "[1]", "\"prompt\"", r#"{"prompt":5}"#, r#"{"prompt":"a"} b"#, "\u{1}"] {
        let answer = given.raw(&raw_request("plan-model", "", body));
        assert_raw_not_run(&answer, 400, "malformed_body");
    }
    given.assert_unharmed();
}

#[test]
fn unknown_paths_and_bad_offsets_are_refused() {
    let given = Given::new();
    let heads =
        ["GET /", "GET /v2/services", "PUT /v1/services/plan-model/requests", "POST /readyz"];

    for head in heads {
        let answer =
            given.raw(&format!("{head} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"));
        assert_raw_not_run(&answer, 404, "no_such_path");
    }
    for query in ["offset=", "offset=-1", "offset=ten", "offset=1&offset=2", "from=3"] {
        let head = format!("GET /v1/requests/some-key?{query} HTTP/1.1");
        let (status, body) =
            given.raw(&format!("{head}\r\nHost: entry\r\nConnection: close\r\n\r\n"));
        assert_eq!((status, &body["reason"]), (400, &json!("bad_offset")), "{query}: {body}");
    }
    given.assert_unharmed();
}

#[test]
fn a_truncated_body_runs_nothing() {
    let given = Given::new();
    wait_eligible(&given.fleet);
    let key = fresh_key();
    let headers = format!("Idempotency-Key: {key}\r\n");
    let padding = "a".repeat(PADDING_BYTES);
    let small = raw_request("order-desk", &headers, r#"{"nonce":1}"#);
    let body = format!(r#"{{"nonce":"{padding}"}}"#);
    let large = raw_request("order-desk", &headers, &body);
    let draft = raw_request("plan-model", "", &format!(r#"{{"prompt":"{padding}"}}"#));

    for (bytes, cut_bytes) in [(&large, body.len()), (&large, 1), (&large, 500), (&draft, 7)] {
        let cut = &bytes[..bytes.len() - cut_bytes];
        assert_raw_not_run(&given.raw(cut), 400, "body_cut");
        drop(send_raw(given.address(), cut));
    }
    for cut_bytes in [1, 5, 11] {
        drop(send_raw(given.address(), &small[..small.len() - cut_bytes]));
    }
    let chunked = "POST /v1/services/order-desk/requests HTTP/1.1\r\nHost: entry\r\n\
        Bergamotspan-Customer: customer-1\r\nTransfer-Encoding: chunked\r\n";
    let answer = given.raw(&format!("{chunked}{headers}\r\n2\r\n{{}}\r\n"));
    assert_raw_not_run(&answer, 400, "body_cut");
    wait_until("no request is left", LIMIT_MS, || {
        let status: Value = get_json(given.address(), "/status").unwrap();
        status["requests"] == json!({ "running": 0, "waiting": 0 })
    })
    .unwrap();
    given.assert_unharmed();
}

#[test]
fn a_key_with_another_body_is_refused_and_the_first_answer_is_kept() {
    let fleet = quick_fleet(2).start().unwrap();
    wait_eligible(&fleet);
    let key = fresh_key();
    let first = booking(&fleet, 0, &key).send().unwrap();

    for address in fleet.caller_addresses() {
        let other = Call::new(address, "order-desk", json!({ "nonce": "other" }));
        let answer = other.path("bookings").customer(CUSTOMER).key(&key).send().unwrap();
        assert_not_run(&answer, 422, "key_with_other_body", "another body");
    }

    assert_eq!(first.outcome, Some(Outcome::Done), "{first:?}");
    let joined = join(fleet.caller_addresses()[1], &key, 0).unwrap();
    assert_eq!(joined.outcome, Some(Outcome::Done), "{joined:?}");
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
}
