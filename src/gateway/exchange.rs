//! Sends a request to one backend server and reads the head of its answer.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, Version};
use thiserror::Error;
use tokio::time::timeout;

use crate::answer_head::{answer_heads, heads_across};
use crate::gateway::admission::RequestPlan;
use crate::gateway::answer_body::{BodyError, read_body};
use crate::gateway::answer_framing::AnswerFraming;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::{Connection, limit_interim_answers};
use crate::gateway::fleet_dialer::watch_silence;
use crate::gateway::send_progress::SendProgress;
use crate::gateway::shared::Shared;
use crate::gateway::wire::{ReplyMetadata, SendMetadata};
use crate::name::Name;

/// Statuses that promise a caller that its request did not run and never will.
const NOT_RUN_STATUSES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// A caller's request, kept until it is answered.
pub(crate) struct CallerRequest {
    pub(crate) body: Bytes,
    pub(crate) headers: HeaderMap,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
}

/// The head of an answer, with the connection that its body arrives by.
pub(crate) struct Reply {
    pub(crate) connection: Connection,
    pub(crate) framing: AnswerFraming,
    pub(crate) metadata: ReplyMetadata,
    pub(crate) response: Response<Incoming>,
}

impl Reply {
    /// Returns why it can't be passed on to the caller, if it can't.
    pub(crate) fn fault(&self) -> Option<SendFailure> {
        let status = self.response.status();
        let fault = if status.is_informational() {
            "it is not final"
        } else if NOT_RUN_STATUSES.contains(&status) && !self.metadata.not_run {
            "its status promises that the request did not run"
        } else if self.response.headers().contains_key(CONTENT_ENCODING) {
            "its body is encoded"
        } else if status.is_success() && !self.metadata.has_digest {
            "it has no digest, or more than one"
        } else {
            return None;
        };
        Some(SendFailure::WrongAnswer(fault.to_owned()))
    }
}

/// Why a send has no answer.
#[derive(Debug, Error)]
pub(crate) enum SendFailure {
    /// The connection broke after some or all of the request was sent.
    #[error("the connection broke: {0}")]
    ConnectionBroken(String),
    /// Its time or its customer's key ended before any byte was sent, or its backend server was
    /// evacuated.
    #[error("nothing was sent: the request may no longer be sent")]
    NoLongerAllowed,
    /// No connection was opened.
    #[error("nothing was sent: {0}")]
    NotConnected(io::Error),
    /// The connection ended before any byte of the request was sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// The deadline passed after the request was sent.
    #[error("the deadline passed")]
    TimedOut,
    /// The answer is not a valid answer to this request.
    #[error("the answer is wrong: {0}")]
    WrongAnswer(String),
}

impl SendFailure {
    /// Returns whether no byte of the request was sent.
    pub(crate) fn sent_nothing(&self) -> bool {
        matches!(self, Self::NoLongerAllowed | Self::NotConnected(_) | Self::NotSent(_))
    }

    /// Returns whether the backend server refused the connection, so that no process listens there.
    pub(crate) fn is_refused_connection(&self) -> bool {
        matches!(self, Self::NotConnected(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Sends a request and waits for the head of the answer.
pub(crate) async fn exchange(
    shared: &Rc<Shared>,
    plan: &RequestPlan,
    request: &CallerRequest,
    to: (&Name, SocketAddr),
    resume_after: Option<&str>,
    progress: &SendProgress,
) -> Result<Reply, SendFailure> {
    let (backend_server, address) = to;
    loop {
        let limit = Duration::from_millis(plan.deadline_ms.saturating_sub(boot_ms()));
        let acquired = shared.connections.acquire(backend_server, address, &plan.request_id);
        let mut connection = timeout(limit, acquired)
            .await
            .map_err(|_| SendFailure::NoLongerAllowed)?
            .map_err(SendFailure::NotConnected)?;
        let now_ms = boot_ms();
        let left_ms = plan.deadline_ms.saturating_sub(now_ms);
        if left_ms == 0 || shared.state.borrow().recheck(now_ms, plan).is_err() {
            return Err(SendFailure::NoLongerAllowed);
        }
        if !shared.state.borrow().may_send_to(backend_server) {
            shared.counters.record_held_back();
            return Err(SendFailure::NoLongerAllowed);
        }
        let mut message =
            build_request(shared, plan, request, backend_server, left_ms, resume_after)?;
        let too_many = limit_interim_answers(&mut message);
        let limit = Duration::from_millis(left_ms);
        let is_direct = connection.via().is_none();
        progress.record_written();
        let answer = tokio::select! {
            answer = timeout(limit, connection.sender.try_send_request(message)) => answer,
            () = too_many.notified() => {
                return Err(SendFailure::WrongAnswer("it has too many interim answers".to_owned()));
            }
            never = watch_silence(shared, backend_server, address), if is_direct => match never {},
        };
        let Ok(answer) = answer else { return Err(SendFailure::TimedOut) };
        match answer {
            Ok(response) => return check_reply(shared, plan, connection, response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                if unsent {
                    progress.clear_written();
                }
                let is_new = connection.is_new;
                let error = error.into_error();
                let head_is_too_long = error.is_parse_too_large();
                let error = error.to_string();
                match (unsent, is_new) {
                    // A pooled connection had closed before any byte of the request was written.
                    (true, false) => {}
                    (true, true) => return Err(SendFailure::NotSent(error)),
                    (false, _) if head_is_too_long => {
                        return Err(SendFailure::WrongAnswer("its head is too long".to_owned()));
                    }
                    (false, _) => return Err(SendFailure::ConnectionBroken(error)),
                }
            }
        }
    }
}

/// Reads the whole body of an answer until the deadline.
pub(crate) async fn read_answer(
    shared: &Shared,
    plan: &RequestPlan,
    backend_server: &Name,
    connection: &Connection,
    body: Incoming,
) -> Result<Bytes, SendFailure> {
    let left_ms = plan.deadline_ms.saturating_sub(boot_ms());
    let body = read_body(body, shared.answer_buffer(backend_server));
    match timeout(Duration::from_millis(left_ms), body).await {
        Ok(Ok(bytes)) if holds_answer(shared, &bytes, connection.surplus()) => {
            Err(SendFailure::WrongAnswer("another answer began inside its body".to_owned()))
        }
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(BodyError::Broken(error))) => Err(SendFailure::ConnectionBroken(error.to_string())),
        Ok(Err(BodyError::Full(full))) => Err(SendFailure::WrongAnswer(full.to_string())),
        Err(_) => Err(SendFailure::TimedOut),
    }
}

/// Returns whether a body holds the head of an answer that names a request, or a part of one that
/// goes on in the surplus: another answer fills a body that breaks off before its length.
fn holds_answer(shared: &Shared, body: &[u8], surplus: &[u8]) -> bool {
    answer_heads(body)
        .chain(heads_across(body, surplus))
        .any(|(status, headers)| shared.wire.reply_metadata(status, &headers).request_id.is_some())
}

fn build_request(
    shared: &Rc<Shared>,
    plan: &RequestPlan,
    request: &CallerRequest,
    backend_server: &Name,
    time_left_ms: u64,
    resume_after: Option<&str>,
) -> Result<Request<Full<Bytes>>, SendFailure> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.version_mut() = Version::HTTP_11;
    let mut headers = request.headers.clone();
    let customer = plan.customer.as_ref().map(|customer| customer.name.clone());
    let send = SendMetadata { backend_server: backend_server.clone(), customer, time_left_ms };
    shared.wire.prepare_request(&mut headers, &send);
    if let Some(last_event_id) = resume_after {
        shared.wire.set_resume_point(&mut headers, last_event_id);
    }
    *message.headers_mut() = headers;
    Ok(message)
}

fn check_reply(
    shared: &Rc<Shared>,
    plan: &RequestPlan,
    connection: Connection,
    mut response: Response<Incoming>,
) -> Result<Reply, SendFailure> {
    let metadata = shared.wire.reply_metadata(response.status(), response.headers());
    match metadata.request_id.as_deref() {
        Some(id) if id == &*plan.request_id => {}
        None if plan.request_id.is_empty() => {}
        // A refusal may be sent before the request was read, without its id. On a connection that
        // was used before, it may be the late answer to another request.
        None if metadata.not_run && connection.is_new => {}
        id => {
            let id = id.unwrap_or("none").to_owned();
            return Err(SendFailure::WrongAnswer(format!("it is for request '{id}'")));
        }
    }
    // The version is that of one connection; an older one would give the caller's answer no chunks,
    // so that its end could not be told from a break.
    *response.version_mut() = Version::HTTP_11;
    let framing = AnswerFraming::of(response.headers());
    Ok(Reply { connection, framing, metadata, response })
}
