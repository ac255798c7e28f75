//! The HTTP interface for callers, the load balancer and the operators' program.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Request, Server};

use crate::answer_log::AnswerEnd;
use crate::answer_writer::{
    AnswerWriter, JsonAnswerWriter, StreamAnswerWriter, write_body, write_final,
};
use crate::answers;
use crate::caller_listener::listen;
use crate::caller_route::{Route, route};
use crate::control::ControlInput;
use crate::error::Error;
use crate::event::Event;
use crate::final_answer::FinalAnswer;
use crate::join_answer::{JOIN_HEADER, JoinTarget, cancel_at_peer, join_local, join_peer};
use crate::name::Name;
use crate::peer_links::PeerLinks;
use crate::platform_watch::PlatformWatch;
use crate::read_request::{header, read_request, wants_json};
use crate::request_id::RequestId;
use crate::runners::RunnerCommand;
use crate::serve_request::RequestRunner;
use crate::serving_context::ServingContext;

/// Timeout of a query to the control thread, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 2_000;

/// Timeout of the lookup of a key for a join or cancel, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 3_000;

/// The HTTP server of the interface.
pub struct CallerEdge {
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
}

/// Sources of the counts on the status page that the core does not hold.
#[derive(Clone)]
pub struct UsageSources {
    /// The links to other instances.
    pub peer_links: Arc<PeerLinks>,
    /// The watch of the platform.
    pub platform_watch: Arc<PlatformWatch>,
}

impl CallerEdge {
    /// Starts to listen, and serves each request on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub fn start(context: Arc<ServingContext>, usage: UsageSources) -> Result<Self, Error> {
        let listener = listen(context.settings.caller.listen_address)?;
        let server = Server::from_listener(listener, None).map_err(|error| {
            Error::io("Listening for callers failed", std::io::Error::other(error))
        })?;
        let edge = Self { server: Arc::new(server), stopped: Arc::default() };
        let (server, stopped) = (edge.server.clone(), edge.stopped.clone());
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Acquire) {
                let Ok(request) = server.recv() else { continue };
                let (context, usage) = (context.clone(), usage.clone());
                std::thread::spawn(move || serve(&context, &usage, request));
            }
        });
        Ok(edge)
    }

    /// Returns the listen address.
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }

    /// Stops accepting requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.server.unblock();
    }
}

fn query_control<T, F>(context: &ServingContext, input: F) -> Option<T>
where
    F: FnOnce(flume::Sender<T>) -> ControlInput,
{
    let (reply, answer) = flume::bounded(1);
    context.control.send(input(reply)).ok()?;
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

fn answer_ready(context: &ServingContext, request: Request) {
    let ready = query_control(context, ControlInput::Status).is_some_and(|status| status.ready);
    match ready {
        true => respond(request, 200, &json!({ "ready": true })),
        false => respond(request, 503, &json!({ "ready": false })),
    }
}

fn explain(context: &ServingContext, request: Request, id: String) {
    match query_control(context, |reply| ControlInput::Explain { id, reply }) {
        Some(Some(report)) => answer_json(request, Some(report)),
        Some(None) => {
            let message = "This instance has no request with this id or key.";
            respond(request, 404, &json!({ "message": message }));
        }
        None => answer_json::<Value>(request, None),
    }
}

fn cancel(context: &ServingContext, request: Request, key: String) {
    let holder = header(&request, JOIN_HEADER).map(Name::from);
    let sequence = context.next_sequence();
    let commands = context.runners.add(sequence);
    context.send_event(Event::CancelRequested { holder, key: key.into(), sequence });
    match commands.recv_timeout(Duration::from_millis(JOIN_TIMEOUT_MS)) {
        Ok(RunnerCommand::Answer(answer)) => respond_final(request, &answer),
        Ok(RunnerCommand::Cancelling) => respond(request, 202, &json!({ "cancelling": true })),
        Ok(RunnerCommand::JoinPeer { address, holder, key }) => {
            let target = JoinTarget { address, holder: &holder, key: &key };
            match cancel_at_peer(&target, &context.settings.dispatch) {
                Ok((status, body)) => respond(request, status, &body),
                Err(_) => respond_final(request, &answers::holder_unreachable()),
            }
        }
        _ => respond_final(request, &answers::holder_unreachable()),
    }
    context.runners.remove(sequence);
}

fn join(context: &Arc<ServingContext>, request: Request, key: String, offset: usize) {
    let holder = header(&request, JOIN_HEADER).map(Name::from);
    let mut writer = writer_for(request, None);
    let sequence = context.next_sequence();
    let commands = context.runners.add(sequence);
    context.send_event(Event::JoinRequested { holder, key: key.into(), sequence });
    let end = match commands.recv_timeout(Duration::from_millis(JOIN_TIMEOUT_MS)) {
        Ok(RunnerCommand::JoinLocal { holder }) => match context.answer_logs.find(holder) {
            Some(log) => {
                join_local(&log, offset, writer.as_mut());
                None
            }
            None => Some(answers::answer_not_kept()),
        },
        Ok(RunnerCommand::JoinPeer { address, holder, key }) => {
            let target = JoinTarget { address, holder: &holder, key: &key };
            join_peer(&target, offset, &context.settings.dispatch, writer.as_mut());
            None
        }
        Ok(RunnerCommand::Answer(answer)) => Some(answer),
        _ => Some(answers::holder_unreachable()),
    };
    context.runners.remove(sequence);
    if let Some(answer) = end {
        // The caller may have disconnected.
        let _ = writer.end(&AnswerEnd::Final(answer));
    }
}

fn respond(request: Request, status: u16, body: &Value) {
    // The caller may have disconnected.
    let _ = write_body(&mut request.into_writer(), status, "", body);
}

fn respond_final(request: Request, answer: &FinalAnswer) {
    let _ = write_final(&mut request.into_writer(), None, answer);
}

fn serve(context: &Arc<ServingContext>, usage: &UsageSources, request: Request) {
    match route(request.method(), request.url()) {
        Route::BadOffset => respond_final(request, &answers::bad_offset()),
        Route::Cancel(key) => cancel(context, request, key),
        Route::Drain => {
            let report = query_control(context, ControlInput::Drain);
            answer_json(request, report);
        }
        Route::Explain(id) => explain(context, request, id),
        Route::Join { key, offset } => join(context, request, key, offset),
        Route::Live => respond(request, 200, &json!({ "live": true })),
        Route::NotFound => {
            let message = format!("Unknown path: {} {}.", request.method(), request.url());
            let answer = answers::bad_request(404, "no_such_path", message);
            respond_final(request, &answer);
        }
        Route::Ready => answer_ready(context, request),
        Route::Request { path, service } => serve_request(context, request, &service, &path),
        Route::Status => {
            let mut report = query_control(context, ControlInput::Status);
            if let Some(report) = &mut report {
                report.peer_traffic = usage.peer_links.traffic();
                report.platform.reads = usage.platform_watch.reads();
            }
            answer_json(request, report);
        }
    }
}

fn serve_request(context: &Arc<ServingContext>, mut request: Request, service: &str, path: &str) {
    let sequence = context.next_sequence();
    let limit_bytes = context.settings.caller.body_limit_bytes;
    match read_request(&mut request, service, path, sequence, limit_bytes) {
        Ok(read) => {
            let writer = writer_for(request, Some(context.request_id(sequence)));
            RequestRunner::new(context.clone(), read, writer).serve();
        }
        Err(answer) => respond_final(request, &answer),
    }
}

fn writer_for(request: Request, id: Option<RequestId>) -> Box<dyn AnswerWriter> {
    match wants_json(&request) {
        true => Box::new(JsonAnswerWriter::new(request.into_writer(), id)),
        false => Box::new(StreamAnswerWriter::new(request.into_writer(), id)),
    }
}
