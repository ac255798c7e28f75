//! Tests of spans and metrics, against a small collector.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use bergamotspan::final_answer::Outcome;
use bergamotspan::metric::{Counter, Quantity};
use bergamotspan::scheduling::RefusalReason;
use bergamotspan::settings::TelemetrySettings;
use bergamotspan::span_record::{Hop, SpanRecord};
use bergamotspan::telemetry;
use bergamotspan::trace_context::TraceContext;
use serde_json::Value;
use tiny_http::{Response, Server};

const EXPORT_INTERVAL_MS: u64 = 50;
const CALLS_LIMIT: Duration = Duration::from_secs(3);
const STOP_LIMIT: Duration = Duration::from_secs(2);
const TRACEPARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// One post that the collector received.
struct Post {
    body: Value,
    url: String,
}

struct Collector {
    address: SocketAddr,
    posts: flume::Receiver<Post>,
}

impl Collector {
    fn start() -> Self {
        let server = Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_ip().unwrap();
        let (sender, posts) = flume::unbounded();
        thread::spawn(move || {
            for mut request in server.incoming_requests() {
                let body = serde_json::from_reader(request.as_reader()).unwrap();
                let url = request.url().to_owned();
                let _ = request.respond(Response::from_string("{}"));
                let _ = sender.send(Post { body, url });
            }
        });
        Self { address, posts }
    }

    fn wait_for(&self, url: &str, part: &str) -> Value {
        let limit = Instant::now() + WAIT_LIMIT;
        while Instant::now() < limit {
            let post = self.posts.recv_timeout(WAIT_LIMIT).expect("a post arrives");
            if post.url == url && post.body.to_string().contains(part) {
                return post.body;
            }
        }
        panic!("no {part} at {url}");
    }
}

fn settings(otlp_address: Option<SocketAddr>) -> TelemetrySettings {
    TelemetrySettings { export_interval_ms: EXPORT_INTERVAL_MS, otlp_address }
}

fn span(hop: Hop, parent: &TraceContext) -> SpanRecord {
    SpanRecord {
        attributes: vec![("tier", "urgent".into())],
        context: parent.child(),
        end_wall_clock_ms: 1_250,
        hop,
        parent_span_id: Some(parent.span_id),
        start_wall_clock_ms: 1_000,
    }
}

#[test]
fn a_traceparent_is_read_and_written() {
    let context = TraceContext::parse(TRACEPARENT).unwrap();

    assert_eq!(context.trace_id, 0x4bf9_2f35_77b3_4da6_a3ce_929d_0e0e_4736);
    assert_eq!(context.span_id, 0x00f0_67aa_0ba9_02b7);
    assert_eq!(context.to_header(), TRACEPARENT);
}

#[test]
fn an_unsampled_traceparent_stays_unsampled() {
    let header = TRACEPARENT.replace("-01", "-00");

    assert_eq!(TraceContext::parse(&header).unwrap().child().to_header()[52..], *"-00");
}

#[test]
fn headers_that_are_no_traceparent_are_ignored() {
    let zero_trace = format!("00-{}-00f067aa0ba902b7-01", "0".repeat(32));
    let zero_span = format!("00-{}-{}-01", "1".repeat(32), "0".repeat(16));

    for header in ["", "00", "00-zz-00f067aa0ba902b7-01", "é", &zero_trace, &zero_span] {
        assert_eq!(TraceContext::parse(header), None, "{header}");
    }
}

#[test]
fn a_child_keeps_the_trace_and_gets_its_own_span() {
    let root = TraceContext::root();
    let child = root.child();

    assert_eq!(child.trace_id, root.trace_id);
    assert_ne!(child.span_id, root.span_id);
    assert_eq!(TraceContext::parse(&child.to_header()), Some(child));
}

#[test]
fn a_span_reaches_the_collector_under_its_traceparent() {
    let collector = Collector::start();
    let telemetry = telemetry::start(&settings(Some(collector.address)), &"entry-1".into());
    let parent = TraceContext::parse(TRACEPARENT).unwrap();

    telemetry.unwrap().span(span(Hop::KeyClaim, &parent));

    let body = collector.wait_for("/v1/traces", "key_claim");
    let exported = &body["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    assert_eq!(exported["name"], "key_claim");
    assert_eq!(exported["traceId"], "4bf92f3577b34da6a3ce929d0e0e4736");
    assert_eq!(exported["parentSpanId"], "00f067aa0ba902b7");
    assert_eq!(exported["startTimeUnixNano"], "1000000000");
    assert_eq!(exported["endTimeUnixNano"], "1250000000");
    assert_eq!(exported["attributes"][0]["key"], "tier");
    assert!(body["resourceSpans"][0]["resource"].to_string().contains("entry-1"));
}

#[test]
fn an_unsampled_span_is_not_exported() {
    let collector = Collector::start();
    let telemetry = telemetry::start(&settings(Some(collector.address)), &"entry-1".into());
    let telemetry = telemetry.unwrap();
    let unsampled = TraceContext { sampled: false, ..TraceContext::root() };

    telemetry.span(span(Hop::GrantRequest, &unsampled));
    telemetry.span(span(Hop::Grant, &TraceContext::root()));

    let body = collector.wait_for("/v1/traces", "grant");
    assert!(!body.to_string().contains("\"bid\""));
}

#[test]
fn metrics_reach_the_collector() {
    let collector = Collector::start();
    let telemetry = telemetry::start(&settings(Some(collector.address)), &"entry-1".into());
    let telemetry = telemetry.unwrap();

    telemetry.count(Counter::Requests { outcome: Outcome::NotRun, tier: "urgent".into() }, 3);
    telemetry.count(Counter::Refusals { reason: RefusalReason::NoRoom }, 1);
    telemetry.measure(Quantity::FirstTokenMs { tier: "urgent".into() }, 120);

    let body = collector.wait_for("/v1/metrics", "first_token_ms").to_string();
    for part in ["bergamotspan.requests", "not_run", "urgent", "bergamotspan.refusals", "no_room"] {
        assert!(body.contains(part), "{part} in {body}");
    }
}

#[test]
fn without_an_address_nothing_is_exported() {
    let telemetry = telemetry::start(&settings(None), &"entry-1".into()).unwrap();

    telemetry.span(span(Hop::Caller, &TraceContext::root()));
    telemetry.count(Counter::Grants, 1);
    telemetry.measure(Quantity::ControlDecisionUs, 5);
}

#[test]
fn a_hanging_collector_delays_no_call() {
    let hanging = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = hanging.local_addr().unwrap();
    let telemetry = telemetry::start(&settings(Some(address)), &"entry-1".into()).unwrap();
    telemetry.span(span(Hop::Caller, &TraceContext::root()));
    let _connection = hanging.accept().unwrap();

    let start = Instant::now();
    for _ in 0..20_000 {
        telemetry.span(span(Hop::Dispatch, &TraceContext::root()));
        telemetry.count(Counter::Grants, 1);
    }

    assert!(start.elapsed() < CALLS_LIMIT, "{:?}", start.elapsed());
    let stop = Instant::now();
    drop(telemetry);
    assert!(stop.elapsed() < STOP_LIMIT, "{:?}", stop.elapsed());
}
