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
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use crate::checker::{Checker, Run};

/// Time until a plain answer is sent, in milliseconds.
const PLAIN_REPLY_MS: u64 = 12;
/// Time between two events, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 12;
/// Number of events of a stream.
pub const EVENT_COUNT: u64 = 12;

/// A backend server; it can crash, which ends all its connections.
#[derive(Clone)]
pub struct EngineServer {
    /// Address of its listener.
    pub address: SocketAddr,
    id: Rc<RefCell<String>>,
    is_down: Rc<Cell<bool>>,
    checker: Rc<RefCell<Checker>>,
    started: Instant,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

/// Returns the seal of a request's answer, which is a hash of the request's id.
pub fn seal(request: &str) -> String {
    format!("{:x}", xxh3_64(request.as_bytes()))
}

/// Returns one event of a stream.
pub fn event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

impl EngineServer {
    /// Starts a backend server on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(
        id: &str,
        checker: Rc<RefCell<Checker>>,
        started: Instant,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            id: Rc::new(RefCell::new(id.to_owned())),
            is_down: Rc::default(),
            checker,
            started,
            tasks: Rc::default(),
        };
        spawn_local(server.clone().accept(listener));
        Ok(server)
    }

    /// Ends all connections, and closes new ones until the next [`EngineServer::restart`].
    pub fn crash(&self) {
        self.is_down.set(true);
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
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

    async fn answer(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<BoxBody<Bytes, Infallible>>, Infallible> {
        let (head, body) = request.into_parts();
        let id = header_text(&head.headers, "x-request-id");
        if header_text(&head.headers, "x-expect-instance") != *self.id.borrow() {
            let mut refused = Response::new(Full::default().boxed());
            *refused.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(refused);
        }
        if body.collect().await.is_err() {
            // The body did not arrive completely, so the request does not run and nobody
            // receives this answer.
            return Ok(Response::new(Full::default().boxed()));
        }
        self.record_run(&id, header_text(&head.headers, "x-tenant"));
        let body = if head.uri.path().starts_with("/draft") {
            let after = header_text(&head.headers, "last-event-id").parse().unwrap_or(0);
            event_stream(id.clone(), after)
        } else {
            sleep(Duration::from_millis(PLAIN_REPLY_MS)).await;
            Full::new(Bytes::from(format!("done {id}"))).boxed()
        };
        let mut response = Response::new(body);
        set_header(&mut response, "x-response-seal", &seal(&id));
        set_header(&mut response, "x-request-id", &id);
        Ok(response)
    }

    fn record_run(&self, id: &str, customer: String) {
        let at_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut checker = self.checker.borrow_mut();
        checker.runs.entry(id.to_owned()).or_default().push(Run { at_ms, customer });
    }
}

fn event_stream(id: String, after: u64) -> BoxBody<Bytes, Infallible> {
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(1);
    spawn_local(async move {
        for number in after + 1..=EVENT_COUNT {
            sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
            let piece = Bytes::from(event(&id, number));
            if sender.send(Frame::data(piece)).await.is_err() {
                return;
            }
        }
    });
    body.boxed()
}

fn set_header(
    response: &mut Response<BoxBody<Bytes, Infallible>>,
    name: &'static str,
    value: &str,
) {
    let value = HeaderValue::from_str(value).expect("ids and digests are plain text");
    response.headers_mut().insert(name, value);
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
