//! Tests that the span of each hop of a request reaches a collector (real processes).

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use standins::caller::Outcome;
use support::{booking, draft, fresh_key, quick_fleet, wait_eligible};
use tiny_http::{Response, Server};

/// Time limit for all spans to arrive.
const SPAN_LIMIT: Duration = Duration::from_secs(10);

/// Id of the trace that the caller starts.
const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

/// Collects the names of the spans of the caller's trace until as many as expected arrived.
fn collect(server: &Server, expected: &BTreeSet<&str>) -> BTreeSet<String> {
    let limit = Instant::now() + SPAN_LIMIT;
    let mut names = BTreeSet::new();
    while Instant::now() < limit && names.len() < expected.len() {
        let Ok(Some(mut request)) = server.recv_timeout(Duration::from_millis(200)) else {
            continue;
        };
        let body: serde_json::Value = serde_json::from_reader(request.as_reader()).unwrap();
        let _ = request.respond(Response::from_string("{}"));
        let Some(resources) = body["resourceSpans"].as_array() else { continue };
        for span in resources
            .iter()
            .flat_map(|resource| resource["scopeSpans"].as_array().unwrap())
            .flat_map(|scope| scope["spans"].as_array().unwrap())
            .filter(|span| span["traceId"] == TRACE_ID)
        {
            names.insert(span["name"].as_str().unwrap().to_string());
        }
    }
    names
}

#[test]
fn each_hop_of_a_request_has_a_span_in_the_callers_trace() {
    let collector = Server::http("127.0.0.1:0").unwrap();
    let fleet = quick_fleet(3)
        .setting("telemetry", "otlp_address", collector.server_addr().to_string())
        .setting("telemetry", "export_interval_ms", 100)
        .start()
        .unwrap();
    wait_eligible(&fleet);
    let traceparent = format!("00-{TRACE_ID}-00f067aa0ba902b7-01");

    let drafted = draft(&fleet, 0, "a plan", 5).header("traceparent", &traceparent).send().unwrap();
    for _ in 0..12 {
        let key = fresh_key();
        let booked = booking(&fleet, 0, &key).header("traceparent", &traceparent).send().unwrap();
        assert_eq!(booked.outcome, Some(Outcome::Done), "{booked:?}");
    }

    assert_eq!(drafted.outcome, Some(Outcome::Done), "{drafted:?}");
    let expected = BTreeSet::from([
        "bid",
        "caller",
        "dispatch",
        "first_token",
        "grant",
        "key_claim",
        "peer_hop",
    ]);
    let names = collect(&collector, &expected);
    assert_eq!(names.iter().map(String::as_str).collect::<BTreeSet<_>>(), expected);
}
