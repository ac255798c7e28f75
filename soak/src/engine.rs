//! Stand-in for a backend server that records each run of a request.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Full};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

use crate::Name;
use crate::checker::{COLD_MS, Checker, Run};
use crate::streams::ReceivedEvent;

/// Time until a plain answer is sent, in milliseconds.
const PLAIN_REPLY_MS: u64 = 12;
/// Time between two events, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 12;
/// Number of events of a stream.
pub const EVENT_COUNT: u64 = 12;
/// Length of the beginning of a stream in which it may break off, in bytes; about three events.
const BREAK_RANGE_BYTES: usize = 72;

type AnswerBody = BoxBody<Bytes, io::Error>;

/// A backend server; it can crash, which ends all its connections.
#[derive(Clone)]
pub struct EngineServer {
    /// Address of its listener.
    pub address: SocketAddr,
    breaks_streams: Rc<Cell<bool>>,
    /// Until when it is cold, in milliseconds from the start of the trial.
    cold_until_ms: Rc<Cell<u64>>,
    data_centre: Name,
    id: Rc<RefCell<String>>,
    is_down: Rc<Cell<bool>>,
    /// Until when it writes nothing.
    silent_until: Rc<Cell<Instant>>,
    checker: Rc<RefCell<Checker>>,
    started: Instant,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
    version: Name,
}

/// Returns the seal of a request's answer, which is a hash of the request's id.
pub fn seal(request: &str) -> String {
    format!("{:x}", xxh3_64(request.as_bytes()))
}

/// Returns one event of a stream, as a backend server of this software version writes it.
pub fn event(request: &str, number: u64, version: &str) -> String {
    format!("id: {number}\ndata: {request} {number} {version}\n\n")
}

/// Splits the events that are whole off the beginning of a stream; returns them and the rest.
pub fn split_events<'a>(request: &str, mut text: &'a str) -> (Vec<ReceivedEvent>, &'a str) {
    let mut events = Vec::new();
    while let Some((head, rest)) = text.split_once("\n\n") {
        let Some(received) = parse_event(head) else { break };
        if text[..head.len() + 2] != event(request, received.number, &received.version) {
            break;
        }
        events.push(received);
        text = rest;
    }
    (events, text)
}

fn parse_event(text: &str) -> Option<ReceivedEvent> {
    let number = text.strip_prefix("id: ")?.split('\n').next()?.parse().ok()?;
    Some(ReceivedEvent { number, version: text.rsplit(' ').next()?.into() })
}

impl EngineServer {
    /// Starts a backend server of a software version on a free port; while `breaks_streams` is
    /// set, it breaks off many of the streams that begin.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(
        id: &str,
        version: &Name,
        data_centre: &str,
        breaks_streams: Rc<Cell<bool>>,
        checker: Rc<RefCell<Checker>>,
        started: Instant,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            breaks_streams,
            cold_until_ms: Rc::default(),
            data_centre: data_centre.into(),
            id: Rc::new(RefCell::new(id.to_owned())),
            is_down: Rc::default(),
            silent_until: Rc::new(Cell::new(started)),
            checker,
            started,
            tasks: Rc::default(),
            version: version.clone(),
        };
        spawn_local(server.clone().accept(listener));
        Ok(server)
    }

    /// Ends all connections, and closes new ones until the next [`EngineServer::restart`].
    pub fn crash(&self) {
        self.is_down.set(true);
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Writes nothing for a while, unless it is silent already.
    pub fn fall_silent(&self, duration: Duration) {
        let now = Instant::now();
        if self.silent_until.get() <= now {
            self.silent_until.set(now + duration);
        }
    }

    /// Is cold for a while from now on.
    pub fn turn_cold(&self) {
        self.cold_until_ms.set(self.elapsed_ms() + COLD_MS);
    }

    /// Returns how long it stays cold, in milliseconds.
    pub fn cold_left_ms(&self) -> u64 {
        self.cold_until_ms.get().saturating_sub(self.elapsed_ms())
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Accepts connections again, under another id.
    pub fn restart(&self, id: &str) {
        *self.id.borrow_mut() = id.to_owned();
        self.is_down.set(false);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.is_down.get() {
                continue;
            }
            drop(stream.set_nodelay(true));
            let server = self.clone();
            let task = spawn_local(async move {
                let service = service_fn(|request| server.clone().answer(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // Broken connections are part of the test.
                drop(connection.await);
            });
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task.abort_handle());
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Infallible> {
        let (head, body) = request.into_parts();
        let id = header_text(&head.headers, "x-request-id");
        if header_text(&head.headers, "x-expect-instance") != *self.id.borrow() {
            let mut refused = Response::new(full_body(String::new()));
            *refused.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(refused);
        }
        if self.cold_left_ms() > 0 {
            let mut checker = self.checker.borrow_mut();
            checker
                .cold_arrivals
                .entry(self.id.borrow().clone())
                .or_default()
                .push(self.elapsed_ms());
        }
        if body.collect().await.is_err() {
            // The body did not arrive completely, so the request does not run and nobody
            // receives this answer.
            return Ok(Response::new(full_body(String::new())));
        }
        let is_stream = head.uri.path().starts_with("/draft");
        let break_bytes = self.break_bytes(&id).filter(|_| is_stream);
        let customer = header_text(&head.headers, "x-tenant");
        let after = header_text(&head.headers, "last-event-id").parse().unwrap_or(0);
        self.record_run(&id, after, break_bytes.is_some(), customer);
        let body = if is_stream {
            let events = after + 1..=EVENT_COUNT;
            let events = events.map(|number| event(&id, number, &self.version)).collect();
            event_stream(events, break_bytes, self.silent_until.clone())
        } else {
            sleep(Duration::from_millis(PLAIN_REPLY_MS)).await;
            full_body(format!("done {id}"))
        };
        sleep_until(self.silent_until.get()).await;
        let mut response = Response::new(body);
        set_header(&mut response, "x-response-seal", &seal(&id));
        set_header(&mut response, "x-request-id", &id);
        Ok(response)
    }

    fn record_run(&self, id: &str, after: u64, breaks_off: bool, customer: String) {
        let at_ms = self.elapsed_ms();
        let mut checker = self.checker.borrow_mut();
        let runs = checker.runs.entry(id.to_owned()).or_default();
        let (data_centre, version) = (self.data_centre.clone(), self.version.clone());
        runs.push(Run { after, at_ms, breaks_off, customer, data_centre, version });
    }

    /// Returns the number of bytes after which the stream of the next run of a request breaks off,
    /// if it does.
    fn break_bytes(&self, id: &str) -> Option<usize> {
        let run = self.checker.borrow().runs.get(id).map(Vec::len).unwrap_or_default();
        let hash = xxh3_64(format!("{id} {run}").as_bytes()) as usize;
        (self.breaks_streams.get() && hash.is_multiple_of(2))
            .then_some(hash / 2 % BREAK_RANGE_BYTES)
    }
}

fn full_body(text: String) -> AnswerBody {
    Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed()
}

fn event_stream(
    events: Vec<String>,
    break_bytes: Option<usize>,
    silent_until: Rc<Cell<Instant>>,
) -> AnswerBody {
    let (mut sender, body) = Channel::<Bytes, io::Error>::new(1);
    spawn_local(async move {
        let mut left_bytes = break_bytes.unwrap_or(usize::MAX);
        for mut piece in events {
            sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
            sleep_until(silent_until.get()).await;
            let is_last = left_bytes < piece.len();
            piece.truncate(left_bytes);
            left_bytes -= piece.len();
            if sender.send(Frame::data(Bytes::from(piece))).await.is_err() {
                return;
            }
            if is_last {
                // The bytes before the break are to arrive.
                sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
                return sender.abort(io::Error::other("the stream breaks off"));
            }
        }
    });
    body.boxed()
}

fn set_header(response: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("ids and digests are plain text");
    response.headers_mut().insert(name, value);
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
