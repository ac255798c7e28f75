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
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::Name;
use crate::checker::{Checker, ReportedOutcome, Sent};
use crate::engine::{EVENT_COUNT, seal, split_events};
use crate::streams::{ReceivedEvent, Try};

/// Longest wait of a caller for a connection, for the head and for the body of an answer, in
/// milliseconds; also the deadline that it sends.
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// Mean time between an answer and the next request, in milliseconds.
const MEAN_PAUSE_MS: u64 = 25;
/// Longest wait for the answer of a readiness check, in milliseconds.
const READY_TIMEOUT_MS: u64 = 300;
/// Largest number of requests that take up one stream.
const LARGEST_RESUME_COUNT: u64 = 2;
/// Longest time between the end of a stream and the request that takes it up, in milliseconds.
const MAX_RESUME_PAUSE_MS: u64 = 400;
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

struct CallerRequest<'a> {
    /// Number of the last event that the caller received; 0 if it starts a stream or is plain.
    after: u64,
    /// Id of the request that brought the first event, or of this one.
    first_id: &'a str,
    id: &'a str,
    key: &'a str,
    kind: &'a str,
}

struct Received {
    events: Vec<ReceivedEvent>,
    is_reusable: bool,
    outcome: ReportedOutcome,
    refusal: Option<Name>,
}

impl Received {
    fn nothing() -> Self {
        let outcome = ReportedOutcome::Open;
        Self { events: Vec::new(), is_reusable: false, outcome, refusal: None }
    }
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
        let request = CallerRequest { after: 0, first_id: &id, id: &id, key: &key, kind };
        if send(&context, &mut current, &request).await {
            connection = Some(current);
        } else if kind == "draft" {
            take_up(&context, current.instance.0, &request, &mut random).await;
        }
    }
}

/// Takes a stream up at other instances if it broke off after its first event.
async fn take_up(
    context: &CallerContext,
    first_instance: usize,
    first: &CallerRequest<'_>,
    random: &mut ChaCha8Rng,
) {
    let mut last_instance = first_instance;
    for number in 2..2 + LARGEST_RESUME_COUNT {
        let after = match context.checker.borrow().streams.get(first.id).map(Vec::as_slice) {
            Some([.., last]) if last.outcome == ReportedOutcome::Served => return,
            Some(tries) => tries.iter().flat_map(|each| &each.events).last().map(|it| it.number),
            None => None,
        };
        let Some(after) = after.filter(|after| *after < EVENT_COUNT) else { return };
        sleep(Duration::from_millis(random.random_range(1..MAX_RESUME_PAUSE_MS))).await;
        let others = context.ready.borrow().clone();
        let others = others.into_iter().filter(|(_, number, _)| *number != last_instance);
        let others = ReadyInstances::new(RefCell::new(others.collect()));
        let Some(mut connection) = connect(&others, random).await else { continue };
        last_instance = connection.instance.0;
        let id = format!("{}.{number}", first.id);
        let request = CallerRequest { after, id: &id, ..*first };
        send(context, &mut connection, &request).await;
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
    caller_request: &CallerRequest<'_>,
) -> bool {
    let CallerRequest { after, first_id, id, key, kind } = *caller_request;
    let mut request = Request::post(format!("/{kind}/{first_id}"))
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", REQUEST_TIMEOUT_MS)
        .header("x-token-counts", "40,60")
        .header("authorization", format!("Bearer {key}"));
    if after > 0 {
        request = request.header("last-event-id", after).header("resumes", first_id);
    }
    let request =
        request.body(Full::new(Bytes::from_static(b"body"))).expect("the request is well formed");
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
    let received = match timeout(limit, connection.sender.send_request(request)).await {
        Ok(Ok(response)) => read_outcome(response, caller_request).await,
        Ok(Err(_)) | Err(_) => Received::nothing(),
    };
    let Received { events, is_reusable, outcome, refusal } = received;
    let mut checker = context.checker.borrow_mut();
    if let Some(sent) = checker.sent.get_mut(id) {
        sent.told = outcome;
        sent.ended_ms = elapsed_ms(context.started);
    }
    if kind == "draft" {
        let id = id.to_owned();
        let tries = checker.streams.entry(first_id.to_owned()).or_default();
        tries.push(Try { after, events, id, outcome, refusal });
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

async fn read_outcome(response: Response<Incoming>, request: &CallerRequest<'_>) -> Received {
    let id = request.id;
    let (head, body) = response.into_parts();
    let received_seal = head.headers.get("x-response-seal").and_then(|value| value.to_str().ok());
    let seal_matches = received_seal.map(|received| received == seal(id));
    let mut bytes = Vec::new();
    let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let is_complete = matches!(timeout(limit, read_body(body, &mut bytes)).await, Ok(Ok(())));
    let text = String::from_utf8_lossy(&bytes);
    let is_stream = request.kind == "draft" && head.status == StatusCode::OK;
    let (events, rest) =
        if is_stream { split_events(id, &text) } else { (Vec::new(), text.as_ref()) };
    if !is_complete {
        // A whole event that could not be split off is none of this request.
        let is_mixed = is_stream && rest.contains("\n\n");
        let outcome = if is_mixed { ReportedOutcome::Mixed } else { ReportedOutcome::Open };
        return Received { events, outcome, ..Received::nothing() };
    }
    let is_whole = if is_stream {
        let numbers = events.iter().map(|event| event.number);
        rest.is_empty() && numbers.eq(request.after + 1..=EVENT_COUNT)
    } else {
        *text == format!("done {id}")
    };
    let outcome = match (head.status, seal_matches) {
        (StatusCode::OK, Some(true)) if is_whole => ReportedOutcome::Served,
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
    let refusal = (outcome == ReportedOutcome::NotRun).then(|| refusal_reason(head.status, &text));
    let is_reusable = head.headers.get(CONNECTION).is_none_or(|value| value != "close");
    Received { events, is_reusable, outcome, refusal }
}

/// Reads a body; the bytes before an error are kept.
async fn read_body(mut body: Incoming, bytes: &mut Vec<u8>) -> hyper::Result<()> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(())
}

fn refusal_reason(status: StatusCode, body: &str) -> Name {
    let body: Option<Value> = serde_json::from_str(body).ok();
    match body.as_ref().and_then(|body| body["error"].as_str()) {
        Some(reason) => reason.into(),
        None => status.as_str().into(),
    }
}

/// Returns the time since a moment, in milliseconds.
pub fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
