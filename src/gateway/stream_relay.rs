//! Relays requests that are answered by a stream of events, up to the first event of each send.

use std::mem;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode, http};
use log::info;
use tokio::time::timeout;

use crate::gateway::admission::RequestPlan;
use crate::gateway::answer_budget::{BudgetShare, BufferFull};
use crate::gateway::answer_framing::AnswerFraming;
use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::caller_stream::CallerStream;
use crate::gateway::connections::Connection;
use crate::gateway::engine_query::VersionNeed;
use crate::gateway::event_splitter::{EVENT_LIMIT_BYTES, EventSplitter, SplitEvents, StreamFault};
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, exchange, read_answer};
use crate::gateway::forward::rejection;
use crate::gateway::origin_finder::find_origin;
use crate::gateway::place_finder::find_place;
use crate::gateway::relay::{Relay, RelayStep, StreamSummary};
use crate::gateway::reply::{ReplyBody, full_body};
use crate::gateway::send_guard::SendGuard;
use crate::gateway::shared::Shared;
use crate::name::Name;

/// Silence of a backend server after which a resumable stream moves to another one, as a multiple
/// of the route's goal for the gap between events.
const SILENCE_GAPS: u64 = 4;
/// Shortest silence after which a stream moves to another backend server, in milliseconds.
const MIN_SILENCE_MS: u64 = 1_000;

/// Sends a request and forwards the events of its answer.
pub(crate) async fn relay_stream(
    shared: Rc<Shared>,
    plan: RequestPlan,
    request: CallerRequest,
) -> Response<ReplyBody> {
    let mut plan = plan;
    if let Err(refusal) = find_origin(&shared, &mut plan).await {
        return rejection(&shared, &plan, &refusal);
    }
    let resumption = plan.resumption.as_ref();
    let caller_resumes_after = resumption.and_then(|resumption| resumption.last_event_id.clone());
    let mut stream_relay = StreamRelay {
        caller_resumes_after,
        last_event_ms: 0,
        lacks_event: false,
        relay: Relay::new(shared, plan, request),
        resume_after: None,
        summary: StreamSummary::default(),
    };
    loop {
        match stream_relay.open().await {
            OpenOutcome::Answer(response) => return response,
            OpenOutcome::Stream(started) => return stream_relay.into_response(*started),
            OpenOutcome::TryAnother => {}
        }
    }
}

/// Outcome of opening a stream.
pub(crate) enum OpenOutcome {
    Answer(Response<ReplyBody>),
    Stream(Box<StartedStream>),
    TryAnother,
}

/// A stream whose first events have arrived.
pub(crate) struct StartedStream {
    pub(crate) first_chunk: Bytes,
    head: http::response::Parts,
    pub(crate) backend_stream: BackendStream,
}

/// A stream that one backend server sends.
pub(crate) struct BackendStream {
    body: Incoming,
    pub(crate) connection: Connection,
    events: u32,
    /// When the first event arrived, in milliseconds of the boot clock.
    first_ms: u64,
    idle_timeout_ms: Option<u64>,
    pub(crate) guard: SendGuard,
    /// Covers the buffer of the splitter.
    share: BudgetShare,
    /// Holds what has arrived of an incomplete event; another send starts with an empty one.
    pub(crate) splitter: EventSplitter,
}

/// Result of reading a stream once.
pub(crate) enum StreamRead {
    Bytes(Bytes),
    Broken(String),
    End,
    Silent,
    DeadlinePassed,
    /// What follows the last event is not part of the answer.
    Wrong(StreamFault),
}

/// What follows from bytes of a stream.
pub(crate) enum Received {
    /// These bytes are forwarded.
    Forward(Bytes),
    /// An event is incomplete.
    Nothing,
    /// The answer is wrong, for this reason.
    Wrong(String),
}

/// A request that is answered by a stream, over all its sends.
pub(crate) struct StreamRelay {
    /// Id of the event after which the caller resumes the stream, if the route allows it.
    caller_resumes_after: Option<Name>,
    last_event_ms: u64,
    /// Whether the caller lacks an event of which a send that broke off had sent a part.
    lacks_event: bool,
    pub(crate) relay: Relay,
    /// Id of the last event received, after which the stream is resumed.
    pub(crate) resume_after: Option<String>,
    pub(crate) summary: StreamSummary,
}

impl From<RelayStep> for OpenOutcome {
    fn from(step: RelayStep) -> Self {
        match step {
            RelayStep::Answer(response) => Self::Answer(response),
            RelayStep::TryAnother => Self::TryAnother,
        }
    }
}

impl BackendStream {
    /// Returns whether bytes of an event or of its length are missing.
    fn lacks_bytes(&self) -> bool {
        let lacks_length = self.body.size_hint().lower() > 0;
        match self.splitter.fault() {
            // What is left belongs to another answer, as does the whole if no event came before.
            Some(StreamFault::FallingIds) => self.events > 0 && lacks_length,
            _ => self.splitter.is_inside_event() || lacks_length,
        }
    }
}

impl StreamRelay {
    /// Returns the id of the last event that the caller has, in this answer or an earlier one.
    fn last_event_id(&self) -> Option<&str> {
        self.resume_after.as_deref().or(self.caller_resumes_after.as_deref())
    }

    /// Records that a stream broke off whose events the caller has received.
    pub(crate) fn record_break(&mut self, backend_stream: &BackendStream) {
        self.lacks_event = backend_stream.lacks_bytes();
    }

    pub(crate) async fn open(&mut self) -> OpenOutcome {
        let Relay { plan, shared, tried, .. } = &mut self.relay;
        let started_send = match find_place(shared, plan, tried).await {
            Ok(started_send) => started_send,
            Err(refusal) => return self.relay.refuse(refusal).into(),
        };
        let guard = SendGuard::new(self.relay.shared.clone(), started_send);
        if let Err(refusal) = self.relay.recheck() {
            return self.relay.refuse(refusal).into();
        }
        self.send(guard).await
    }

    async fn send(&mut self, guard: SendGuard) -> OpenOutcome {
        let started_send = guard.started_send().clone();
        self.relay.tried.push(started_send.backend_server.clone());
        let Some(address) = started_send.address else {
            return self.relay.after_unreachable().into();
        };
        let Relay { plan, sends, .. } = &self.relay;
        let now_ms = boot_ms();
        info!(
            target: "send",
            request = &*plan.request_id,
            route = &*plan.route.name,
            rank:? = (plan.rank.customer, plan.rank.route),
            backend_server = &*started_send.backend_server,
            software_version = started_send.software_version.as_deref(),
            running = started_send.running,
            tokens_ahead = started_send.tokens_ahead,
            unread_tokens = started_send.unread_tokens,
            waited_ms = now_ms.saturating_sub(plan.arrived_ms),
            send = sends + 1,
            resume_after = self.resume_after.as_deref();
            "Request sent to a backend server."
        );
        self.relay.record_spent();
        let Relay { plan, request, shared, .. } = &self.relay;
        let to = (&started_send.backend_server, address);
        let resume_after = self.resume_after.as_deref();
        let result = exchange(shared, plan, request, to, resume_after).await;
        self.relay.count_send(&result);
        match result {
            Ok(reply) => self.read_head(guard, reply).await,
            Err(failure) => self.after_send_failure(guard, &failure),
        }
    }

    async fn read_head(&mut self, guard: SendGuard, reply: Reply) -> OpenOutcome {
        let mut guard = guard;
        self.relay.record_reply(&mut guard, &reply);
        if reply.metadata.not_run {
            guard.end(SendOutcome::Refused);
            return self.relay.after_refusal().into();
        }
        if let Some(failure) = reply.fault() {
            return self.after_send_failure(guard, &failure);
        }
        let Reply { connection, framing, metadata, response } = reply;
        let (head, body) = response.into_parts();
        if !head.status.is_success() {
            return self.forward_error_response(guard, connection, head, body).await;
        }
        self.relay.may_have_run = true;
        let ends_itself = framing != AnswerFraming::ConnectionEnd || body.is_end_stream();
        let may_be_empty = ends_itself && !self.lacks_event;
        let idle_timeout_ms = metadata.idle_timeout_ms;
        let mut backend_stream = BackendStream {
            body,
            connection,
            events: 0,
            first_ms: 0,
            idle_timeout_ms,
            guard,
            share: self.relay.shared.answer_budget.share(),
            splitter: EventSplitter::after(self.last_event_id()),
        };
        loop {
            match self.read_next(&mut backend_stream).await {
                StreamRead::Bytes(bytes) => match self.receive(&mut backend_stream, &bytes) {
                    Received::Forward(first_chunk) => {
                        return OpenOutcome::Stream(Box::new(StartedStream {
                            first_chunk,
                            head,
                            backend_stream,
                        }));
                    }
                    Received::Nothing => continue,
                    Received::Wrong(reason) => {
                        let failure = SendFailure::WrongAnswer(reason);
                        return self.after_stream_failure(backend_stream, &failure);
                    }
                },
                StreamRead::End if !may_be_empty => {
                    let cause = "the stream ended before its first event".to_owned();
                    let failure = SendFailure::ConnectionBroken(cause);
                    return self.after_stream_failure(backend_stream, &failure);
                }
                StreamRead::End => {
                    self.finish(backend_stream);
                    return OpenOutcome::Answer(self.full_response(head, Bytes::new()));
                }
                StreamRead::Broken(error) => {
                    let failure = SendFailure::ConnectionBroken(error);
                    return self.after_stream_failure(backend_stream, &failure);
                }
                StreamRead::Wrong(fault) => {
                    let failure = SendFailure::WrongAnswer(fault.to_string());
                    return self.after_stream_failure(backend_stream, &failure);
                }
                StreamRead::Silent => {
                    return self.after_stream_failure(backend_stream, &silence());
                }
                StreamRead::DeadlinePassed => {
                    return self.after_stream_failure(backend_stream, &SendFailure::TimedOut);
                }
            }
        }
    }

    async fn forward_error_response(
        &mut self,
        guard: SendGuard,
        connection: Connection,
        head: http::response::Parts,
        body: Incoming,
    ) -> OpenOutcome {
        self.relay.may_have_run = true;
        let body = match read_answer(&self.relay.shared, &self.relay.plan, &connection, body).await
        {
            Ok(body) => body,
            Err(failure) => return self.after_send_failure(guard, &failure),
        };
        drop(connection);
        guard.end(SendOutcome::Failed);
        let repeatable = head.status.is_server_error() && self.relay.plan.route.is_repeatable();
        if repeatable && self.relay.may_retry() {
            return OpenOutcome::TryAnother;
        }
        OpenOutcome::Answer(self.full_response(head, body))
    }

    fn after_stream_failure(
        &mut self,
        backend_stream: BackendStream,
        failure: &SendFailure,
    ) -> OpenOutcome {
        self.lacks_event |= self.last_event_id().is_some() && backend_stream.lacks_bytes();
        let incomplete_event_bytes = backend_stream.splitter.rest_bytes();
        let summary = StreamSummary { incomplete_event_bytes, ..self.summary };
        self.relay.after_failure(backend_stream.guard, failure, summary).into()
    }

    fn after_send_failure(&mut self, guard: SendGuard, failure: &SendFailure) -> OpenOutcome {
        self.relay.after_failure(guard, failure, self.summary).into()
    }

    pub(crate) fn silence_limit_ms(&self) -> u64 {
        (self.relay.plan.route.event_gap_goal_ms * SILENCE_GAPS).max(MIN_SILENCE_MS)
    }

    /// Waits for the next bytes of a stream.
    pub(crate) async fn read_next(&self, backend_stream: &mut BackendStream) -> StreamRead {
        if let Some(fault) = backend_stream.splitter.fault() {
            return StreamRead::Wrong(fault);
        }
        let Relay { plan, sends, .. } = &self.relay;
        let left_ms = plan.deadline_ms.saturating_sub(boot_ms());
        if left_ms == 0 {
            // A time limit alone does not end a stream whose next bytes are always there.
            return StreamRead::DeadlinePassed;
        }
        let silence_limit_ms = self.silence_limit_ms();
        let resumable = plan.route.resumable && *sends < plan.route.attempts;
        let limit_ms = if resumable && backend_stream.events > 0 {
            left_ms.min(silence_limit_ms)
        } else {
            left_ms
        };
        match timeout(Duration::from_millis(limit_ms), backend_stream.body.frame()).await {
            Err(_) if limit_ms < left_ms => StreamRead::Silent,
            Err(_) => StreamRead::DeadlinePassed,
            Ok(None) if backend_stream.splitter.is_inside_event() => {
                StreamRead::Broken("the stream ended inside an event".to_owned())
            }
            Ok(None) => StreamRead::End,
            Ok(Some(Err(error))) => StreamRead::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => StreamRead::Bytes(frame.into_data().unwrap_or_default()),
        }
    }

    /// Adds received bytes to the stream.
    pub(crate) fn receive(&mut self, backend_stream: &mut BackendStream, bytes: &[u8]) -> Received {
        let backend_server = &backend_stream.guard.started_send().backend_server;
        self.relay.shared.state.borrow_mut().record_activity(boot_ms(), backend_server);
        let events = match backend_stream.splitter.push(bytes) {
            SplitEvents::Complete(events) => events,
            SplitEvents::Incomplete => {
                let capacity_bytes = backend_stream.splitter.capacity_bytes();
                return match backend_stream.share.resize(capacity_bytes) {
                    true => Received::Nothing,
                    false => Received::Wrong(BufferFull::BudgetUsedUp.to_string()),
                };
            }
            SplitEvents::TooLong => {
                let reason = format!("an event is longer than {EVENT_LIMIT_BYTES} bytes");
                return Received::Wrong(reason);
            }
        };
        let now_ms = boot_ms();
        if backend_stream.events == 0 {
            backend_stream.first_ms = now_ms;
            backend_stream.guard.record_first_event(now_ms);
            self.record_origin(now_ms, &backend_stream.guard);
        }
        if self.last_event_ms > 0 {
            let gap_ms = now_ms.saturating_sub(self.last_event_ms);
            self.summary.longest_gap_ms = self.summary.longest_gap_ms.max(gap_ms);
        }
        self.last_event_ms = now_ms;
        backend_stream.events += events.count;
        self.summary.events += events.count;
        if events.last_id.is_some() {
            self.resume_after = events.last_id;
        }
        let empty_share = self.relay.shared.answer_budget.share();
        let share = mem::replace(&mut backend_stream.share, empty_share);
        Received::Forward(share.attach_to(events.bytes))
    }

    /// Records by which software version the stream was begun, and limits its resumes to it.
    fn record_origin(&mut self, now_ms: u64, guard: &SendGuard) {
        let started_send = guard.started_send();
        let Relay { plan, shared, .. } = &mut self.relay;
        shared.state.borrow_mut().record_stream_start(now_ms, plan, started_send);
        shared.flush();
        if let Some(software_version) = started_send.software_version.clone() {
            plan.version_need = VersionNeed::Only(software_version);
        }
    }

    fn full_response(&self, mut head: http::response::Parts, body: Bytes) -> Response<ReplyBody> {
        self.relay.log_end(head.status, self.summary);
        self.relay.shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        Response::from_parts(head, full_body(body))
    }

    /// Returns the answer to the caller, whose body forwards the stream.
    fn into_response(mut self, started: StartedStream) -> Response<ReplyBody> {
        let StartedStream { first_chunk, mut head, backend_stream } = started;
        let Relay { plan, shared, .. } = &self.relay;
        shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let first_event_ms = boot_ms().saturating_sub(plan.arrived_ms);
        shared.counters.record_first_event(first_event_ms);
        self.summary.first_event_ms = Some(first_event_ms);
        let caller_stream = CallerStream::new(self, first_chunk, backend_stream);
        let chunks = unfold(caller_stream, |mut caller_stream| async move {
            let chunk = caller_stream.next_chunk().await?;
            Some((chunk, caller_stream))
        });
        Response::from_parts(head, ReplyBody::Chunks(Box::pin(chunks)))
    }

    /// Records and logs the end of a complete stream, and releases its connection.
    pub(crate) fn finish(&self, backend_stream: BackendStream) {
        let BackendStream { connection, events, first_ms, idle_timeout_ms, mut guard, .. } =
            backend_stream;
        let Relay { plan, shared, .. } = &self.relay;
        let backend_server = &guard.started_send().backend_server;
        let token_ms = self.token_ms(backend_server, events, first_ms);
        shared.connections.release(connection, idle_timeout_ms);
        shared.state.borrow_mut().record_answer(backend_server, plan.fingerprint);
        guard.record_token_ms(token_ms);
        guard.end_answered();
        self.relay.log_end(StatusCode::OK, self.summary);
    }

    /// Logs that the caller disconnected before the end of its answer.
    pub(crate) fn log_disconnection(&self) {
        let Relay { plan, sends, .. } = &self.relay;
        info!(
            target: "end",
            request = &*plan.request_id,
            route = &*plan.route.name,
            sends,
            events = self.summary.events,
            longest_gap_ms = self.summary.longest_gap_ms,
            silent_ms = boot_ms().saturating_sub(self.last_event_ms),
            elapsed_ms = boot_ms().saturating_sub(plan.arrived_ms);
            "Caller disconnected before the end of its answer."
        );
    }

    /// Returns the mean time between tokens of a stream, in milliseconds, if it had enough events.
    fn token_ms(&self, backend_server: &str, events: u32, first_ms: u64) -> Option<f32> {
        if events <= 2 {
            return None;
        }
        let elapsed_ms = boot_ms().saturating_sub(first_ms) as f64;
        let event_ms = elapsed_ms / f64::from(events - 1);
        self.relay.shared.state.borrow().token_ms(backend_server, event_ms)
    }
}

pub(crate) fn silence() -> SendFailure {
    SendFailure::ConnectionBroken("the backend server is silent".to_owned())
}
