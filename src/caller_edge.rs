//! The interface for callers, the balancer and the operators' program.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tiny_http::{Method, Request, Server};

use crate::answer_log::AnswerEnd;
use crate::answer_writer::{
    AnswerWriter, JsonAnswerWriter, StreamAnswerWriter, write_body, write_final,
};
use crate::answers;
use crate::control::ControlInput;
use crate::error::Error;
use crate::event::Event;
use crate::final_answer::FinalAnswer;
use crate::join_answer::{JOIN_HEADER, JoinTarget, cancel_at_peer, join_local, join_peer};
use crate::name::Name;
use crate::peer_links::PeerLinks;
use crate::platform_watch::PlatformWatch;
use crate::read_request::{header, read_request, wants_json};
use crate::runners::RunnerCommand;
use crate::serve_request::RequestRunner;
use crate::traffic::Traffic;

/// Connections that may wait to be accepted.
const BACKLOG_CONNECTIONS: i32 = 1_024;

/// Time for a caller to take in what was written, in milliseconds.
const CALLER_WRITE_TIMEOUT_MS: u64 = 10_000;

/// Time for the control thread to answer a question, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 2_000;

/// Time between two probes of a caller's silent connection, in seconds.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Probes without an answer after which the connection is lost.
const KEEPALIVE_PROBES: u32 = 3;

/// Silence after which the system probes a caller's connection, in seconds.
const KEEPALIVE_TIME_S: u64 = 2;

/// Time for the answer to a question about a key, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 3_000;

/// Time after which a connection is lost if the caller's system acknowledges nothing of what was
/// written, in milliseconds.
const UNACKNOWLEDGED_LIMIT_MS: u64 = 5_000;

/// The interface for callers.
pub struct CallerEdge {
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
}

/// What the status page counts beside the state of the core.
#[derive(Clone)]
pub struct Usage {
    /// The links to other instances.
    pub peer_links: Arc<PeerLinks>,
    /// The watch of the platform.
    pub platform_watch: Arc<PlatformWatch>,
}

/// What a caller asks for.
enum Route {
    BadOffset,
    Cancel(String),
    Drain,
    Explain(String),
    Join { key: String, offset: usize },
    Live,
    NotFound,
    Ready,
    Request { path: String, service: String },
    Status,
}

impl CallerEdge {
    /// Listens, and serves each request on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub fn start(traffic: Arc<Traffic>, usage: Usage) -> Result<Self, Error> {
        let listener = listen(traffic.settings.caller.listen_address)?;
        let server = Server::from_listener(listener, None).map_err(|error| {
            Error::io("Listening for callers failed", std::io::Error::other(error))
        })?;
        let edge = Self { server: Arc::new(server), stopped: Arc::default() };
        let (server, stopped) = (edge.server.clone(), edge.stopped.clone());
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Acquire) {
                let Ok(request) = server.recv() else { continue };
                let (traffic, usage) = (traffic.clone(), usage.clone());
                std::thread::spawn(move || serve(&traffic, &usage, request));
            }
        });
        Ok(edge)
    }

    /// Returns the address that is listened on.
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }

    /// Takes no more requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.server.unblock();
    }
}

fn ask<T, F>(traffic: &Traffic, input: F) -> Option<T>
where
    F: FnOnce(flume::Sender<T>) -> ControlInput,
{
    let (reply, answer) = flume::bounded(1);
    traffic.control.send(input(reply)).ok()?;
    answer.recv_timeout(Duration::from_millis(CONTROL_TIMEOUT_MS)).ok()
}

fn answer_json<T>(request: Request, body: Option<T>)
where
    T: serde::Serialize,
{
    let (status, body) = match body {
        Some(body) => (200, serde_json::to_value(body).unwrap_or_default()),
        None => (503, json!({ "message": "The control thread did not answer." })),
    };
    respond(request, status, &body);
}

fn answer_ready(traffic: &Traffic, request: Request) {
    let ready = ask(traffic, ControlInput::Status).is_some_and(|status| status.ready);
    match ready {
        true => respond(request, 200, &json!({ "ready": true })),
        false => respond(request, 503, &json!({ "ready": false })),
    }
}

fn explain(traffic: &Traffic, request: Request, id: String) {
    match ask(traffic, |reply| ControlInput::Explain { id, reply }) {
        Some(Some(report)) => answer_json(request, Some(report)),
        Some(None) => {
            let message = "No request of this id or key is known here.";
            respond(request, 404, &json!({ "message": message }));
        }
        None => answer_json::<Value>(request, None),
    }
}

fn cancel(traffic: &Traffic, request: Request, key: String) {
    let holder = header(&request, JOIN_HEADER).map(Name::from);
    let sequence = traffic.next_sequence();
    let commands = traffic.runners.add(sequence);
    traffic.tell(Event::CancelAsked { holder, key: key.into(), sequence });
    match commands.recv_timeout(Duration::from_millis(JOIN_TIMEOUT_MS)) {
        Ok(RunnerCommand::Answer(answer)) => respond_final(request, &answer),
        Ok(RunnerCommand::Cancelling) => respond(request, 202, &json!({ "cancelling": true })),
        Ok(RunnerCommand::JoinPeer { address, holder, key }) => {
            let target = JoinTarget { address, holder: &holder, key: &key };
            match cancel_at_peer(&target, &traffic.settings.dispatch) {
                Ok((status, body)) => respond(request, status, &body),
                Err(_) => respond_final(request, &answers::holder_unreachable()),
            }
        }
        _ => respond_final(request, &answers::holder_unreachable()),
    }
    traffic.runners.remove(sequence);
}

fn join(traffic: &Arc<Traffic>, request: Request, key: String, offset: usize) {
    let holder = header(&request, JOIN_HEADER).map(Name::from);
    let mut writer = writer_for(request);
    let sequence = traffic.next_sequence();
    let commands = traffic.runners.add(sequence);
    traffic.tell(Event::JoinAsked { holder, key: key.into(), sequence });
    let end = match commands.recv_timeout(Duration::from_millis(JOIN_TIMEOUT_MS)) {
        Ok(RunnerCommand::JoinLocal { holder }) => match traffic.answer_logs.find(holder) {
            Some(log) => {
                join_local(&log, offset, writer.as_mut());
                None
            }
            None => Some(answers::answer_not_kept()),
        },
        Ok(RunnerCommand::JoinPeer { address, holder, key }) => {
            let target = JoinTarget { address, holder: &holder, key: &key };
            join_peer(&target, offset, &traffic.settings.dispatch, writer.as_mut());
            None
        }
        Ok(RunnerCommand::Answer(answer)) => Some(answer),
        _ => Some(answers::holder_unreachable()),
    };
    traffic.runners.remove(sequence);
    if let Some(answer) = end {
        // A caller that is gone needs no answer.
        let _ = writer.end(&AnswerEnd::Final(answer));
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(Duration::from_secs(KEEPALIVE_TIME_S))
            .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_LIMIT_MS)))?;
        socket.set_write_timeout(Some(Duration::from_millis(CALLER_WRITE_TIMEOUT_MS)))?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG_CONNECTIONS)?;
        Ok(TcpListener::from(socket))
    };
    bind().map_err(|error| Error::io(format!("Listening for callers on {address} failed"), error))
}

/// Reads the offset of a join; without a query it is 0.
fn read_offset(query: &str) -> Option<usize> {
    match query {
        "" => Some(0),
        query => query.strip_prefix("offset=")?.parse().ok(),
    }
}

fn respond(request: Request, status: u16, body: &Value) {
    // A caller that is gone needs no answer.
    let _ = write_body(&mut request.into_writer(), status, None, body);
}

fn respond_final(request: Request, answer: &FinalAnswer) {
    let _ = write_final(&mut request.into_writer(), answer);
}

fn route(method: &Method, url: &str) -> Route {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method, parts.as_slice()) {
        (Method::Delete, ["v1", "requests", key]) => Route::Cancel((*key).into()),
        (Method::Get, ["explain", id]) => Route::Explain((*id).into()),
        (Method::Get, ["livez"]) => Route::Live,
        (Method::Get, ["readyz"]) => Route::Ready,
        (Method::Get, ["status"]) => Route::Status,
        (Method::Get, ["v1", "requests", key]) => match read_offset(query) {
            Some(offset) => Route::Join { key: (*key).into(), offset },
            None => Route::BadOffset,
        },
        (Method::Post, ["drain"]) => Route::Drain,
        (Method::Post, ["v1", "services", service, "requests", path @ ..]) => {
            Route::Request { path: path.join("/"), service: (*service).into() }
        }
        _ => Route::NotFound,
    }
}

fn serve(traffic: &Arc<Traffic>, usage: &Usage, request: Request) {
    match route(request.method(), request.url()) {
        Route::BadOffset => respond_final(request, &answers::bad_offset()),
        Route::Cancel(key) => cancel(traffic, request, key),
        Route::Drain => {
            let report = ask(traffic, ControlInput::Drain);
            answer_json(request, report);
        }
        Route::Explain(id) => explain(traffic, request, id),
        Route::Join { key, offset } => join(traffic, request, key, offset),
        Route::Live => respond(request, 200, &json!({ "live": true })),
        Route::NotFound => {
            let message = format!("There is no {} {}.", request.method(), request.url());
            let answer = answers::bad_request(404, "no_such_path", message);
            respond_final(request, &answer);
        }
        Route::Ready => answer_ready(traffic, request),
        Route::Request { path, service } => serve_request(traffic, request, &service, &path),
        Route::Status => {
            let mut report = ask(traffic, ControlInput::Status);
            if let Some(report) = &mut report {
                report.peer_traffic = usage.peer_links.traffic();
                report.platform.reads = usage.platform_watch.reads();
            }
            answer_json(request, report);
        }
    }
}

fn serve_request(traffic: &Arc<Traffic>, mut request: Request, service: &str, path: &str) {
    let sequence = traffic.next_sequence();
    let limit_bytes = traffic.settings.caller.body_limit_bytes;
    match read_request(&mut request, service, path, sequence, limit_bytes) {
        Ok(read) => {
            let writer = writer_for(request);
            RequestRunner::new(traffic.clone(), read, writer).serve();
        }
        Err(answer) => respond_final(request, &answer),
    }
}

fn writer_for(request: Request) -> Box<dyn AnswerWriter> {
    match wants_json(&request) {
        true => Box::new(JsonAnswerWriter::new(request.into_writer())),
        false => Box::new(StreamAnswerWriter::new(request.into_writer())),
    }
}
