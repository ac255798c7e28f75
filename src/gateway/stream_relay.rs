//! Relays requests that are answered by a stream of events, up to the first event of each send.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode, http};
use log::info;
use tokio::time::timeout;

use crate::gateway::admission::RequestPlan;
use crate::gateway::answer_framing::AnswerFraming;
use crate::gateway::backend::SendOutcome;
use crate::gateway::backend_stream::{BackendStream, Split, StreamRead};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::caller_stream::CallerStream;
use crate::gateway::connections::Connection;
use crate::gateway::engine_query::VersionNeed;
use crate::gateway::event_splitter::{CompleteEvents, EventSplitter};
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, read_answer};
use crate::gateway::forward::rejection;
use crate::gateway::origin_finder::find_origin;
use crate::gateway::place_finder::find_place;
use crate::gateway::relay::{FinalFailure, Relay, RelayStep, StreamSummary};
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
        content_type: None,
        last_event_ms: 0,
        lacks_event: false,
        relay: Relay::new(shared.clone(), plan, request),
        resume_after: None,
        summary: StreamSummary::default(),
    };
    loop {
        let opened = tokio::select! {
            opened = stream_relay.open() => opened,
            () = shared.exit_soon() => return stream_relay.relay.answer_exit(stream_relay.summary),
        };
        match opened {
            OpenOutcome::Answer(response) => return response,
            OpenOutcome::Fail(failure) => return stream_relay.answer_failure(&failure),
            OpenOutcome::Stream(started) => return stream_relay.into_response(*started),
            OpenOutcome::TryAnother => {}
        }
    }
}

/// Outcome of opening a stream.
pub(crate) enum OpenOutcome {
    Answer(Response<ReplyBody>),
    Fail(FinalFailure),
    Stream(Box<StartedStream>),
    TryAnother,
}

/// A stream whose first events have arrived.
pub(crate) struct StartedStream {
    pub(crate) first_chunk: Bytes,
    head: http::response::Parts,
    pub(crate) backend_stream: BackendStream,
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
    /// Content type of the stream, once its first events have arrived.
    content_type: Option<Option<HeaderValue>>,
    pub(crate) last_event_ms: u64,
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
            RelayStep::Fail(failure) => Self::Fail(failure),
            RelayStep::TryAnother => Self::TryAnother,
        }
    }
}

impl StreamRelay {
    /// Returns the id of the last event that the caller has, in this answer or an earlier one.
    fn last_event_id(&self) -> Option<&str> {
        self.resume_after.as_deref().or(self.caller_resumes_after.as_deref())
    }

    /// Records whether the caller lacks an event of which a send has sent a part.
    pub(crate) fn record_missing_bytes(&mut self, backend_stream: &BackendStream) {
        self.lacks_event = backend_stream.lacks_bytes();
    }

    /// Records that a send goes on whose missing bytes were recorded.
    pub(crate) fn clear_missing_bytes(&mut self) {
        self.lacks_event = false;
    }

    pub(crate) fn answer_failure(&mut self, failure: &FinalFailure) -> Response<ReplyBody> {
        self.relay.answer_failure(failure, self.summary)
    }

    /// Sends the request to a backend server and waits for the first event.
    pub(crate) async fn open(&mut self) -> OpenOutcome {
        match self.find_place().await {
            Ok(guard) => self.send(guard).await,
            Err(failure) => OpenOutcome::Fail(failure),
        }
    }

    /// Opens the stream, at another backend server as long as one can't be reached.
    pub(crate) async fn open_until_decided(&mut self) -> OpenOutcome {
        loop {
            match self.open().await {
                OpenOutcome::TryAnother => {}
                opened => return opened,
            }
        }
    }

    /// Opens the stream at the successor of a silent backend server; the retry is taken from the
    /// budget only once there is a place.
    pub(crate) async fn open_successor(&mut self) -> OpenOutcome {
        self.relay.plan.wanted_ms = boot_ms();
        let guard = match self.find_place().await {
            Ok(guard) => guard,
            Err(failure) => return OpenOutcome::Fail(failure),
        };
        if !self.relay.may_retry() {
            let cause = "no_retry_left";
            return OpenOutcome::Fail(FinalFailure::MayHaveRun { cause, timed_out: false });
        }
        match self.send(guard).await {
            OpenOutcome::TryAnother => self.open_until_decided().await,
            opened => opened,
        }
    }

    /// Finds a place at a backend server.
    ///
    /// # Errors
    ///
    /// Returns the failure of the request if there is none, or it may no longer be sent.
    pub(crate) async fn find_place(&mut self) -> Result<SendGuard, FinalFailure> {
        let Relay { plan, shared, tried, .. } = &mut self.relay;
        let started_send = match find_place(shared, plan, tried).await {
            Ok(started_send) => started_send,
            Err(refusal) => return Err(self.relay.refuse(refusal)),
        };
        let guard = SendGuard::new(self.relay.shared.clone(), started_send);
        match self.relay.recheck() {
            Ok(()) => Ok(guard),
            Err(refusal) => Err(self.relay.refuse(refusal)),
        }
    }

    pub(crate) async fn send(&mut self, guard: SendGuard) -> OpenOutcome {
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
        let to = (&started_send.backend_server, address);
        match self.relay.exchange(to, self.resume_after.as_deref()).await {
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
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        if self.content_type.as_ref().is_some_and(|known| *known != content_type) {
            let reason = "its content type is not that of the stream".to_owned();
            return self.after_send_failure(guard, &SendFailure::WrongAnswer(reason));
        }
        self.relay.may_have_run = true;
        self.relay.record_accepted();
        let ends_itself = framing != AnswerFraming::ConnectionEnd || body.is_end_stream();
        let may_be_empty = ends_itself && !self.lacks_event;
        let idle_timeout_ms = metadata.idle_timeout_ms;
        let budget = &self.relay.shared.answer_budget;
        let share = budget.share_of(&guard.started_send().backend_server);
        let mut backend_stream = BackendStream {
            body,
            connection,
            events: 0,
            first_ms: 0,
            idle_timeout_ms,
            guard,
            share,
            splitter: EventSplitter::after(self.last_event_id()),
        };
        loop {
            match self.read_next(&mut backend_stream).await {
                StreamRead::Bytes(bytes) => match self.receive(&mut backend_stream, &bytes) {
                    Received::Forward(first_chunk) => {
                        self.content_type = Some(content_type);
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
                    return OpenOutcome::Answer(self.forward_response(head, Bytes::new()));
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
        let Relay { plan, shared, .. } = &self.relay;
        let backend_server = &guard.started_send().backend_server;
        let body = match read_answer(shared, plan, backend_server, &connection, body).await {
            Ok(body) => body,
            Err(failure) => return self.after_send_failure(guard, &failure),
        };
        drop(connection);
        guard.end(SendOutcome::Failed);
        let repeatable = head.status.is_server_error() && self.relay.plan.route.is_repeatable();
        let caller_has_head = self.summary.events > 0;
        if repeatable && self.relay.may_retry() {
            if !caller_has_head {
                let response = self.forward_response(head, body);
                self.relay.keep_error_answer(response);
            }
            return OpenOutcome::TryAnother;
        }
        if caller_has_head {
            let cause = "error_response";
            return OpenOutcome::Fail(FinalFailure::MayHaveRun { cause, timed_out: false });
        }
        self.relay.log_end(head.status, self.summary);
        OpenOutcome::Answer(self.forward_response(head, body))
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
        match timeout(Duration::from_millis(limit_ms), backend_stream.read()).await {
            Ok(read) => read,
            Err(_) if limit_ms < left_ms => StreamRead::Silent,
            Err(_) => StreamRead::DeadlinePassed,
        }
    }

    /// Adds received bytes to the stream.
    pub(crate) fn receive(&mut self, backend_stream: &mut BackendStream, bytes: &[u8]) -> Received {
        let backend_server = &backend_stream.guard.started_send().backend_server;
        self.relay.shared.state.borrow_mut().record_activity(boot_ms(), backend_server);
        match backend_stream.split(bytes) {
            Split::Events(events) => Received::Forward(self.record_events(backend_stream, events)),
            Split::Nothing => Received::Nothing,
            Split::Wrong(reason) => Received::Wrong(reason),
        }
    }

    /// Records events that arrived, and returns their bytes.
    pub(crate) fn record_events(
        &mut self,
        backend_stream: &mut BackendStream,
        events: CompleteEvents,
    ) -> Bytes {
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
        let share = backend_stream.share.take();
        share.attach_to(events.bytes)
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

    fn forward_response(&self, head: http::response::Parts, body: Bytes) -> Response<ReplyBody> {
        let mut head = head;
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
