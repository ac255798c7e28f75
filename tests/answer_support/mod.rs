//! Background calls, slow callers, raw connections and small fleets for tests of answers.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::view::View;
use serde_json::Value;
use standins::caller::{Answer, Call, CallError, Outcome, join};
use standins::fleet::{Fleet, FleetBuilder, ServiceSpec, get_json, wait_until};
use uuid::Uuid;

use crate::support::{fresh_key, reason};

/// Name of the only plain server.
pub const DESK: &str = "order-desk-1";

/// Time that a call of it takes, in milliseconds.
pub const DESK_DELAY_MS: u64 = 1_500;

/// Name of the only engine.
pub const ENGINE: &str = "plan-model-1";

/// Maximum wait for something that a healthy fleet does at once, in milliseconds.
pub const LIMIT_MS: u64 = 10_000;

/// Maximum time until a silent connection is detected, in milliseconds.
pub const SILENCE_LIMIT_MS: u64 = 5_000;

/// A call that runs in the background.
pub struct RunningCall {
    gaps_ms: Arc<Mutex<Vec<u64>>>,
    thread: JoinHandle<Result<Answer, CallError>>,
    tokens: Arc<AtomicU64>,
}

impl RunningCall {
    /// Sends a call.
    pub fn begin(call: Call) -> Self {
        Self::begin_slowly(call, 0)
    }

    /// Joins the request of a key from its beginning.
    pub fn begin_join(address: SocketAddr, key: &str) -> Self {
        let key = key.to_owned();
        Self {
            gaps_ms: Arc::default(),
            thread: std::thread::spawn(move || join(address, &key, 0)),
            tokens: Arc::default(),
        }
    }

    /// Sends a call whose caller pauses after each event.
    pub fn begin_slowly(call: Call, pause_ms: u64) -> Self {
        let tokens = Arc::new(AtomicU64::new(0));
        let gaps_ms = Arc::new(Mutex::new(Vec::new()));
        let (seen, gaps) = (tokens.clone(), gaps_ms.clone());
        let thread = std::thread::spawn(move || {
            let mut last = Instant::now();
            call.send_observed(|event| {
                gaps.lock().unwrap().push(last.elapsed().as_millis() as u64);
                last = Instant::now();
                if event.name == "token" {
                    seen.fetch_add(1, Ordering::Release);
                }
                std::thread::sleep(Duration::from_millis(pause_ms));
            })
        });
        Self { gaps_ms, thread, tokens }
    }

    /// Waits until the given number of tokens has arrived.
    pub fn wait_tokens(&self, count: u64) {
        wait_until("tokens", LIMIT_MS, || self.tokens.load(Ordering::Acquire) >= count).unwrap();
    }

    /// Returns whether the call has ended.
    pub fn is_ended(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the answer and returns it with the longest silence, in milliseconds.
    pub fn finish(self) -> (Answer, u64) {
        let answer = self.thread.join().unwrap().unwrap();
        let longest_ms = self.gaps_ms.lock().unwrap().iter().max().copied().unwrap_or(0);
        (answer, longest_ms)
    }

    /// Waits for the answer; returns `None` if the call failed before it had one.
    pub fn finish_cut(self) -> Option<Answer> {
        self.thread.join().unwrap().ok()
    }
}

/// Sends raw bytes and returns the connection.
pub fn send_raw(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(LIMIT_MS))).unwrap();
    stream.write_all(bytes.as_bytes()).unwrap();
    stream
}

/// Reads a connection to its end.
pub fn read_rest(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the answer changes nothing.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Renders a raw HTTP request.
pub fn raw_request(service: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/services/{service}/requests HTTP/1.1\r\nHost: entry\r\n\
         Bergamotspan-Customer: customer-1\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    )
}

/// Returns the home of a key.
pub fn home(fleet: &Fleet, key: &str) -> String {
    let inventory = parse_inventory("fleet", &fleet.inventory.render()).unwrap();
    View::from_inventory(&inventory, "entry-1".into()).home(key).to_string()
}

/// Mints a key whose home is the given instance.
pub fn key_with_home(fleet: &Fleet, instance: &str) -> String {
    let mut key = fresh_key();
    // A key that is minted later is accepted as well, so that the search takes no further time.
    while home(fleet, &key) != instance {
        key = Uuid::now_v7().to_string();
    }
    key
}

/// Returns the number of requests that a backend server runs, according to its load report.
pub fn running_requests(fleet: &mut Fleet, backend: &str) -> u64 {
    let address = fleet.backend(backend).unwrap().address;
    let load: Value = get_json(address, "/v1/load").unwrap();
    load["running_requests"].as_u64().unwrap()
}

/// Returns the engine that runs the only request.
pub fn busy_engine(fleet: &mut Fleet, engines: &[&str]) -> String {
    let is_busy = |name: &&&str| {
        let statistics = fleet.engine_statistics(name).unwrap();
        !statistics.executions.is_empty()
    };
    engines.iter().find(is_busy).unwrap().to_string()
}

/// Describes a fleet with one engine, whose load reports are fresh, and one slow plain server.
pub fn single(instances: usize) -> FleetBuilder {
    let engine = ServiceSpec::model("plan-model", "plan-13b", 1)
        .token_limit_tokens(32_768)
        .prefill_tokens_per_s(20_000)
        .options(&["--load-lag-ms", "20"]);
    let desk = ServiceSpec::plain("order-desk", 1)
        .idempotent(false)
        .token_limit_tokens(32_768)
        .prefill_tokens_per_s(20_000)
        .options(&["--delay-ms", &DESK_DELAY_MS.to_string()]);
    Fleet::builder()
        .instances(instances)
        .service(engine)
        .service(desk)
        .setting("peer", "heartbeat_interval_ms", 100)
        .setting("peer", "confirmation_window_ms", 600)
        .setting("keys", "clock_margin_ms", 50)
}

/// Describes the same fleet with an engine that runs one request at a time.
pub fn narrow(instances: usize) -> FleetBuilder {
    let engine = ServiceSpec::model("plan-model", "plan-13b", 1)
        .token_limit_tokens(64)
        .prefill_tokens_per_s(20_000);
    Fleet::builder()
        .instances(instances)
        .service(engine)
        .setting("peer", "heartbeat_interval_ms", 100)
        .setting("peer", "confirmation_window_ms", 600)
        .setting("keys", "clock_margin_ms", 50)
}

/// Asserts outcome and reason of an answer.
pub fn assert_final(answer: &Answer, outcome: Outcome, expected: &str) {
    assert_eq!(answer.outcome, Some(outcome), "{answer:?}");
    assert_eq!(reason(answer), expected, "{answer:?}");
}
