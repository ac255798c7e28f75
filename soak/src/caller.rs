//! Callers that send one request after the other and keep their connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::CONNECTION;
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::checker::{Checker, ReportedOutcome, Sent};
use crate::engine::{EVENTS, event, seal};

/// Time for which a caller waits, in milliseconds.
const LIMIT_MS: u64 = 3_000;
/// Time between an answer and the next request, in milliseconds.
const PAUSE_MS: u64 = 25;
/// Longest wait for the answer whether an instance is ready, in milliseconds.
const READY_LIMIT_MS: u64 = 300;
/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Where callers find instances: address, number and start of each that is ready.
pub type Ready = Rc<RefCell<Vec<(SocketAddr, usize, u64)>>>;

/// What all callers share.
#[derive(Clone)]
pub struct Callers {
    /// Set when they are to end.
    pub ended: Rc<Cell<bool>>,
    /// What was seen.
    pub checker: Rc<RefCell<Checker>>,
    /// Keys that they use.
    pub keys: Rc<Vec<String>>,
    /// Instances that are ready.
    pub ready: Ready,
    /// When the trial began.
    pub started: Instant,
}

struct Line {
    instance: (usize, u64),
    sender: SendRequest<Full<Bytes>>,
}

/// Sends requests until the trial ends.
pub async fn run(callers: Callers, seed: u64, number: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ (number as u64) << 32);
    let mut line: Option<Line> = None;
    let mut count = 0;
    while !callers.ended.get() {
        sleep(Duration::from_millis(random.random_range(1..2 * PAUSE_MS))).await;
        let mut current = match line.take().filter(|line| !line.sender.is_closed()) {
            Some(line) => line,
            None => match connect(&callers.ready, &mut random).await {
                Some(line) => line,
                None => continue,
            },
        };
        count += 1;
        let id = format!("r-{number}-{count}");
        let kind = ["draft", "booking", "status"][random.random_range(0..3)];
        let key = callers.keys[random.random_range(0..callers.keys.len())].clone();
        if send(&callers, &mut current, &id, kind, &key).await {
            line = Some(current);
        }
    }
}

async fn connect(ready: &Ready, random: &mut ChaCha8Rng) -> Option<Line> {
    let (address, number, start) = {
        let ready = ready.borrow();
        *ready.get(random.random_range(0..ready.len().max(1)))?
    };
    let limit = Duration::from_millis(LIMIT_MS);
    let stream = timeout(limit, TcpStream::connect(address)).await.ok()?.ok()?;
    drop(stream.set_nodelay(true));
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // What becomes of the connection is seen at its requests.
    spawn_local(async move { drop(connection.await) });
    Some(Line { instance: (number, start), sender })
}

/// Sends one request and notes what came of it; returns whether the connection is kept.
async fn send(callers: &Callers, line: &mut Line, id: &str, kind: &str, key: &str) -> bool {
    let request = Request::post(format!("/{kind}/{id}"))
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", LIMIT_MS)
        .header("x-token-counts", "40,60")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("a request of a caller is well formed");
    let at_ms = elapsed_ms(callers.started);
    let sent = Sent {
        at_ms,
        ended_ms: u64::MAX,
        instance: line.instance,
        key: key.to_owned(),
        repeatable: kind != "booking",
        told: ReportedOutcome::Open,
    };
    callers.checker.borrow_mut().sent.insert(id.to_owned(), sent);
    let limit = Duration::from_millis(LIMIT_MS);
    let (told, kept) = match timeout(limit, line.sender.send_request(request)).await {
        Ok(Ok(response)) => read(response, id, kind == "draft").await,
        Ok(Err(_)) | Err(_) => (ReportedOutcome::Open, false),
    };
    if let Some(sent) = callers.checker.borrow_mut().sent.get_mut(id) {
        sent.told = told;
        sent.ended_ms = elapsed_ms(callers.started);
    }
    kept
}

/// Sends one request by a route over a connection of its own and returns the status.
pub async fn probe(
    checker: Rc<RefCell<Checker>>,
    address: SocketAddr,
    route: &str,
    key: &str,
) -> Option<StatusCode> {
    let ready = Ready::new(RefCell::new(vec![(address, 0, 0)]));
    let mut line = connect(&ready, &mut ChaCha8Rng::seed_from_u64(0)).await?;
    let id = format!("probe-{address}-{route}");
    let sent = Sent {
        at_ms: 0,
        ended_ms: 0,
        instance: (0, 0),
        key: key.to_owned(),
        repeatable: true,
        told: ReportedOutcome::Open,
    };
    checker.borrow_mut().sent.insert(id.clone(), sent);
    let request = Request::get(format!("/{route}/a"))
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", LIMIT_MS)
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default())
        .expect("a request of a caller is well formed");
    let answer = timeout(Duration::from_millis(LIMIT_MS), line.sender.send_request(request)).await;
    Some(answer.ok()?.ok()?.status())
}

/// Returns whether an instance says that it takes requests.
pub async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move { drop(connection.await) });
        let question =
            Request::get("/-/readyz").header("host", HOST).body(Full::<Bytes>::default());
        Some(sender.send_request(question.ok()?).await.ok()?.status() == StatusCode::OK)
    };
    matches!(timeout(Duration::from_millis(READY_LIMIT_MS), ask).await, Ok(Some(true)))
}

async fn read(response: Response<Incoming>, id: &str, is_stream: bool) -> (ReportedOutcome, bool) {
    let (head, body) = response.into_parts();
    let sealed = head.headers.get("x-response-seal").and_then(|value| value.to_str().ok());
    let sealed = sealed.map(|sealed| sealed == seal(id));
    let body = timeout(Duration::from_millis(LIMIT_MS), body.collect()).await;
    let Ok(Ok(body)) = body else { return (ReportedOutcome::Open, false) };
    let body = body.to_bytes();
    let kept = head.headers.get(CONNECTION).is_none_or(|value| value != "close");
    let told = match (head.status, sealed) {
        (StatusCode::OK, Some(true)) if *body == *expected(id, is_stream).as_bytes() => {
            ReportedOutcome::Served
        }
        (StatusCode::OK, _) | (_, Some(false)) => ReportedOutcome::Mixed,
        (
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::UNAUTHORIZED,
            None,
        ) => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Open,
    };
    (told, kept)
}

fn expected(id: &str, is_stream: bool) -> String {
    if is_stream {
        (1..=EVENTS).map(|number| event(id, number)).collect()
    } else {
        format!("done {id}")
    }
}

/// Returns the time since a moment, in milliseconds.
pub fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
