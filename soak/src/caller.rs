//! Callers that send one request after the other over a kept connection and record the outcomes.

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
use crate::engine::{EVENT_COUNT, event, seal};

/// Longest wait of a caller for a connection, for the head and for the body of an answer, in
/// milliseconds; also the deadline that it sends.
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// Mean time between an answer and the next request, in milliseconds.
const MEAN_PAUSE_MS: u64 = 25;
/// Longest wait for the answer of a readiness check, in milliseconds.
const READY_TIMEOUT_MS: u64 = 300;
/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Ready instances: address, number and start number of each.
pub type ReadyInstances = Rc<RefCell<Vec<(SocketAddr, usize, u64)>>>;

/// State that all callers share.
#[derive(Clone)]
pub struct CallerContext {
    /// Whether the callers must end.
    pub ended: Rc<Cell<bool>>,
    /// Records requests and their outcomes.
    pub checker: Rc<RefCell<Checker>>,
    /// API keys that the callers use.
    pub keys: Rc<Vec<String>>,
    /// Instances that callers connect to.
    pub ready: ReadyInstances,
    /// When the trial began.
    pub started: Instant,
}

struct Connection {
    instance: (usize, u64),
    sender: SendRequest<Full<Bytes>>,
}

/// Sends requests until the trial ends.
pub async fn run(context: CallerContext, seed: u64, number: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ (number as u64) << 32);
    let mut connection: Option<Connection> = None;
    let mut count = 0;
    while !context.ended.get() {
        sleep(Duration::from_millis(random.random_range(1..2 * MEAN_PAUSE_MS))).await;
        let mut current =
            match connection.take().filter(|connection| !connection.sender.is_closed()) {
                Some(connection) => connection,
                None => match connect(&context.ready, &mut random).await {
                    Some(connection) => connection,
                    None => continue,
                },
            };
        count += 1;
        let id = format!("r-{number}-{count}");
        let kind = ["draft", "booking", "status"][random.random_range(0..3)];
        let key = context.keys[random.random_range(0..context.keys.len())].clone();
        if send(&context, &mut current, &id, kind, &key).await {
            connection = Some(current);
        }
    }
}

async fn connect(ready: &ReadyInstances, random: &mut ChaCha8Rng) -> Option<Connection> {
    let (address, number, start) = {
        let ready = ready.borrow();
        *ready.get(random.random_range(0..ready.len().max(1)))?
    };
    let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let stream = timeout(limit, TcpStream::connect(address)).await.ok()?.ok()?;
    drop(stream.set_nodelay(true));
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // An error of the connection also fails its requests.
    spawn_local(async move { drop(connection.await) });
    Some(Connection { instance: (number, start), sender })
}

/// Sends one request and records its outcome; returns whether the connection can be reused.
async fn send(
    context: &CallerContext,
    connection: &mut Connection,
    id: &str,
    kind: &str,
    key: &str,
) -> bool {
    let request = Request::post(format!("/{kind}/{id}"))
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", REQUEST_TIMEOUT_MS)
        .header("x-token-counts", "40,60")
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("the request is well formed");
    let at_ms = elapsed_ms(context.started);
    let sent = Sent {
        at_ms,
        ended_ms: u64::MAX,
        instance: connection.instance,
        key: key.to_owned(),
        repeatable: kind != "booking",
        told: ReportedOutcome::Open,
    };
    context.checker.borrow_mut().sent.insert(id.to_owned(), sent);
    let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let (outcome, is_reusable) = match timeout(limit, connection.sender.send_request(request)).await
    {
        Ok(Ok(response)) => read_outcome(response, id, kind == "draft").await,
        Ok(Err(_)) | Err(_) => (ReportedOutcome::Open, false),
    };
    if let Some(sent) = context.checker.borrow_mut().sent.get_mut(id) {
        sent.told = outcome;
        sent.ended_ms = elapsed_ms(context.started);
    }
    is_reusable
}

/// Sends one request to a route over a new connection and returns the status of the answer, if any.
pub async fn probe(
    checker: Rc<RefCell<Checker>>,
    address: SocketAddr,
    route: &str,
    key: &str,
) -> Option<StatusCode> {
    let ready = ReadyInstances::new(RefCell::new(vec![(address, 0, 0)]));
    let mut connection = connect(&ready, &mut ChaCha8Rng::seed_from_u64(0)).await?;
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
        .header("x-deadline-ms", REQUEST_TIMEOUT_MS)
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default())
        .expect("the request is well formed");
    let response =
        timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), connection.sender.send_request(request))
            .await;
    Some(response.ok()?.ok()?.status())
}

/// Returns whether an instance reports that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let query = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move { drop(connection.await) });
        let request = Request::get("/-/readyz").header("host", HOST).body(Full::<Bytes>::default());
        Some(sender.send_request(request.ok()?).await.ok()?.status() == StatusCode::OK)
    };
    matches!(timeout(Duration::from_millis(READY_TIMEOUT_MS), query).await, Ok(Some(true)))
}

async fn read_outcome(
    response: Response<Incoming>,
    id: &str,
    is_stream: bool,
) -> (ReportedOutcome, bool) {
    let (head, body) = response.into_parts();
    let received_seal = head.headers.get("x-response-seal").and_then(|value| value.to_str().ok());
    let seal_matches = received_seal.map(|received| received == seal(id));
    let body = timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), body.collect()).await;
    let Ok(Ok(body)) = body else { return (ReportedOutcome::Open, false) };
    let body = body.to_bytes();
    let is_reusable = head.headers.get(CONNECTION).is_none_or(|value| value != "close");
    let outcome = match (head.status, seal_matches) {
        (StatusCode::OK, Some(true)) if *body == *expected_body(id, is_stream).as_bytes() => {
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
    (outcome, is_reusable)
}

fn expected_body(id: &str, is_stream: bool) -> String {
    if is_stream {
        (1..=EVENT_COUNT).map(|number| event(id, number)).collect()
    } else {
        format!("done {id}")
    }
}

/// Returns the time since a moment, in milliseconds.
pub fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
