//! The HTTP interface for callers, the load balancer and the operators' program.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::http::request::Parts;
use serde_json::{Value, json};

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
use crate::front::front_request::FrontRequest;
use crate::front::{Front, FrontLimits, HeadStep, RequestHandler};
use crate::join_answer::{JOIN_HEADER, JoinTarget, cancel_at_peer, join_local, join_peer};
use crate::name::Name;
use crate::peer_links::PeerLinks;
use crate::platform_watch::PlatformWatch;
use crate::read_request::{RequestHead, header, read_request, wants_json};
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
    front: Front,
    listen_address: Option<SocketAddr>,
}

/// Sources of the counts on the status page that the core does not hold.
#[derive(Clone)]
pub struct UsageSources {
    /// The links to other instances.
    pub peer_links: Arc<PeerLinks>,
    /// The watch of the platform.
    pub platform_watch: Arc<PlatformWatch>,
}

/// Answers the requests of callers.
struct CallerRequests {
    context: Arc<ServingContext>,
    usage: UsageSources,
}

impl RequestHandler for CallerRequests {
    fn check_head(&self, head: &Parts) -> HeadStep {
        let Route::Request { .. } = route(&head.method, url(head)) else {
            return HeadStep::Read { time_left_ms: u64::MAX };
        };
        match RequestHead::read(&head.headers) {
            Ok(read) => HeadStep::Read { time_left_ms: read.time_left_ms() },
            Err(answer) => HeadStep::Refuse(answer),
        }
    }

    fn serve(&self, request: FrontRequest) {
        serve(&self.context, &self.usage, request);
    }
}

impl CallerEdge {
    /// Starts to listen, and serves each request on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub fn start(context: Arc<ServingContext>, usage: UsageSources) -> Result<Self, Error> {
        let settings = &context.settings.caller;
        let listener = listen(settings.listen_address)?;
        let listen_address = listener.local_addr().ok();
        let limits = FrontLimits {
            body_limit_bytes: usize::try_from(settings.body_limit_bytes).unwrap_or(usize::MAX),
            head_timeout_ms: settings.head_timeout_ms,
            intake: settings.intake.clone(),
        };
        let telemetry = context.telemetry.clone();
        let requests = Arc::new(CallerRequests { context, usage });
        let front = Front::start(listener, limits, requests, telemetry)?;
        Ok(Self { front, listen_address })
    }

    /// Returns the number of requests whose answer is not written yet.
    pub fn in_progress(&self) -> usize {
        self.front.in_progress()
    }

    /// Returns the listen address.
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.listen_address
    }

    /// Stops accepting connections.
    pub fn stop(&self) {
        self.front.stop();
    }
}

/// Returns path and query of a request.
fn url(head: &Parts) -> &str {
    head.uri.path_and_query().map_or("/", |url| url.as_str())
}

fn query_control<T, F>(context: &ServingContext, input: F) -> Option<T>
where
    F: FnOnce(flume::Sender<T>) -> ControlInput,
{
    let (reply, answer) = flume::bounded(1);
    context.control.send(input(reply)).ok()?;
    answer.recv_timeout(Duration::from_millis(CONTROL_TIMEOUT_MS)).ok()
}

fn answer_json<T>(request: FrontRequest, body: Option<T>)
where
    T: serde::Serialize,
{
    let (status, body) = match body {
        Some(body) => (200, serde_json::to_value(body).unwrap_or_default()),
        None => (503, json!({ "message": "The control thread did not answer." })),
    };
    respond(request, status, &body);
}

fn answer_ready(context: &ServingContext, request: FrontRequest) {
    let ready = query_control(context, ControlInput::Status).is_some_and(|status| status.ready);
    match ready {
        true => respond(request, 200, &json!({ "ready": true })),
        false => respond(request, 503, &json!({ "ready": false })),
    }
}

fn explain(context: &ServingContext, request: FrontRequest, id: String) {
    match query_control(context, |reply| ControlInput::Explain { id, reply }) {
        Some(Some(report)) => answer_json(request, Some(report)),
        Some(None) => {
            let message = "This instance has no request with this id or key.";
            respond(request, 404, &json!({ "message": message }));
        }
        None => answer_json::<Value>(request, None),
    }
}

fn cancel(context: &ServingContext, request: FrontRequest, key: String) {
    let holder = header(&request.head.headers, JOIN_HEADER).map(Name::from);
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

fn join(context: &Arc<ServingContext>, request: FrontRequest, key: String, offset: usize) {
    let holder = header(&request.head.headers, JOIN_HEADER).map(Name::from);
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

fn respond(mut request: FrontRequest, status: u16, body: &Value) {
    // The caller may have disconnected.
    let _ = write_body(&mut request.output, status, Vec::new(), body);
}

fn respond_final(mut request: FrontRequest, answer: &FinalAnswer) {
    // The caller may have disconnected.
    let _ = write_final(&mut request.output, None, answer);
}

fn serve(context: &Arc<ServingContext>, usage: &UsageSources, request: FrontRequest) {
    match route(&request.head.method, url(&request.head)) {
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
            let message = format!("Unknown path: {} {}.", request.head.method, url(&request.head));
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

fn serve_request(context: &Arc<ServingContext>, request: FrontRequest, service: &str, path: &str) {
    let sequence = context.next_sequence();
    let read = read_request(&request.head.headers, request.body.clone(), service, path, sequence);
    match read {
        Ok(read) => {
            let writer = writer_for(request, Some(context.request_id(sequence)));
            RequestRunner::new(context.clone(), read, writer).serve();
        }
        Err(answer) => respond_final(request, &answer),
    }
}

fn writer_for(request: FrontRequest, id: Option<RequestId>) -> Box<dyn AnswerWriter> {
    match wants_json(&request.head.headers) {
        true => Box::new(JsonAnswerWriter::new(Box::new(request.output), id)),
        false => Box::new(StreamAnswerWriter::new(Box::new(request.output), id)),
    }
}
