//! Requests that are answered by a stream of events.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode, http};
use log::info;
use tokio::time::timeout;

use crate::gateway::admission::{Refusal, RefusalReason, RequestPlan};
use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::Connection;
use crate::gateway::dispatching::{Dispatch, StartedSend};
use crate::gateway::event_splitter::{CompleteEvents, EventSplitter};
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, exchange};
use crate::gateway::relay::{Relay, RelayStep, StreamSummary};
use crate::gateway::reply::{ReplyBody, full_body};
use crate::gateway::send_guard::SendGuard;
use crate::gateway::shared::Shared;

/// Silence of a backend server after which a stream that may be resumed goes on at another one, as
/// a multiple of the longest pause of a timely answer.
const SILENCE_GAPS: u64 = 4;
/// Shortest silence after which a stream goes on at another backend server, in milliseconds.
const SHORTEST_SILENCE_MS: u64 = 1_000;

/// Sends a request and passes its events on.
pub(crate) async fn relay_stream(
    shared: Rc<Shared>,
    plan: RequestPlan,
    request: CallerRequest,
) -> Response<ReplyBody> {
    let mut relay = StreamRelay {
        last_event_ms: 0,
        relay: Relay::new(shared, plan, request),
        resume_after: None,
        splitter: EventSplitter::default(),
        summary: StreamSummary::default(),
    };
    loop {
        match relay.open().await {
            Opened::Answer(response) => return response,
            Opened::Stream(begun) => return relay.start(*begun),
            Opened::TryAnother => {}
        }
    }
}

/// What opening a stream came to.
enum Opened {
    Answer(Response<ReplyBody>),
    Stream(Box<Begun>),
    TryAnother,
}

/// A stream that has begun.
struct Begun {
    first: Bytes,
    head: http::response::Parts,
    run: Run,
}

/// A stream that one backend server sends.
struct Run {
    body: Incoming,
    connection: Connection,
    events: u32,
    first_ms: u64,
    idle_timeout_ms: Option<u64>,
    guard: SendGuard,
}

/// What a backend server sent next.
enum Piece {
    Bytes(Bytes),
    Broken(String),
    End,
    Silent,
    TimeUp,
}

struct StreamRelay {
    last_event_ms: u64,
    relay: Relay,
    resume_after: Option<String>,
    splitter: EventSplitter,
    summary: StreamSummary,
}

impl From<RelayStep> for Opened {
    fn from(next: RelayStep) -> Self {
        match next {
            RelayStep::Answer(response) => Self::Answer(response),
            RelayStep::TryAnother => Self::TryAnother,
        }
    }
}

/// Takes a request out of the line when its caller leaves.
struct Place<'a> {
    number: u64,
    relay: &'a Relay,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Relay { plan, shared, .. } = self.relay;
        shared.remove_waiter(self.number);
        shared.state.borrow_mut().remove_waiting(&plan.service, self.number);
    }
}

impl StreamRelay {
    async fn open(&mut self) -> Opened {
        let sending = match self.find().await {
            Ok(sending) => sending,
            Err(refusal) => return self.relay.refuse(refusal).into(),
        };
        let guard = SendGuard::new(self.relay.shared.clone(), sending);
        if let Err(refusal) = self.relay.recheck() {
            return self.relay.refuse(refusal).into();
        }
        self.send(guard).await
    }

    /// Finds a backend server, waiting for one if need be.
    async fn find(&mut self) -> Result<StartedSend, Refusal> {
        let Relay { plan, shared, tried, .. } = &self.relay;
        let dispatch = shared.state.borrow_mut().dispatch(boot_ms(), plan, tried);
        let number = match dispatch {
            Dispatch::Send(sending) => return Ok(sending),
            Dispatch::Reject(wait_ms) => return Err(not_in_time(wait_ms)),
            Dispatch::Wait(number) => number,
        };
        shared.changed.notify_one();
        let decision = shared.wait_for(number);
        let _place = Place { number, relay: &self.relay };
        let sending = decision.await.ok().flatten();
        let wait_ms = || shared.state.borrow().retry_after_ms(boot_ms(), plan);
        sending.ok_or_else(|| not_in_time(wait_ms()))
    }

    async fn send(&mut self, guard: SendGuard) -> Opened {
        let sending = guard.sending().clone();
        let Some(address) = sending.address else { return self.relay.after_unreached().into() };
        self.relay.tried.push(sending.backend_server.clone());
        let Relay { plan, request, shared, sends, .. } = &self.relay;
        let now_ms = boot_ms();
        info!(
            target: "send",
            request = &*plan.request_id,
            route = &*plan.route.name,
            rank:? = (plan.rank.customer, plan.rank.route),
            backend_server = &*sending.backend_server,
            running = sending.running,
            tokens_ahead = sending.tokens_ahead,
            unread_tokens = sending.unread_tokens,
            waited_ms = now_ms.saturating_sub(plan.arrived_ms),
            send = sends + 1,
            resume_after = self.resume_after.as_deref();
            "The request is sent."
        );
        let to = (&sending.backend_server, address);
        let resume_after = self.resume_after.as_deref();
        let result = exchange(shared, plan, request, to, resume_after).await;
        self.relay.count_send(&result);
        match result {
            Ok(reply) => self.read_head(guard, reply).await,
            Err(failure) => self.failed(guard, &failure),
        }
    }

    async fn read_head(&mut self, guard: SendGuard, reply: Reply) -> Opened {
        if reply.metadata.not_run {
            guard.end(SendOutcome::Refused);
            return self.relay.after_refusal().into();
        }
        let Reply { connection, metadata, response } = reply;
        let (head, body) = response.into_parts();
        if !head.status.is_success() {
            return self.pass_failure(guard, connection, head, body).await;
        }
        if !metadata.sealed {
            let failure = SendFailure::WrongAnswer("it has no digest".to_owned());
            return self.failed(guard, &failure);
        }
        self.relay.ran = true;
        let idle_timeout_ms = metadata.idle_timeout_ms;
        let mut run = Run { body, connection, events: 0, first_ms: 0, idle_timeout_ms, guard };
        loop {
            match self.next_piece(&mut run).await {
                Piece::Bytes(bytes) => match self.take(&mut run, &bytes) {
                    Some(first) => return Opened::Stream(Box::new(Begun { first, head, run })),
                    None => continue,
                },
                Piece::End => {
                    self.close(run);
                    return Opened::Answer(self.whole(head, Bytes::new()));
                }
                Piece::Broken(error) => {
                    return self.failed(run.guard, &SendFailure::BrokenOff(error));
                }
                Piece::Silent => {
                    let failure = SendFailure::BrokenOff("it is silent".to_owned());
                    return self.failed(run.guard, &failure);
                }
                Piece::TimeUp => return self.failed(run.guard, &SendFailure::TimedOut),
            }
        }
    }

    async fn pass_failure(
        &mut self,
        guard: SendGuard,
        connection: Connection,
        head: http::response::Parts,
        body: Incoming,
    ) -> Opened {
        self.relay.ran = true;
        let left_ms = self.relay.plan.deadline_ms.saturating_sub(boot_ms());
        let body = timeout(Duration::from_millis(left_ms), body.collect()).await;
        let Ok(Ok(body)) = body else {
            let failure = SendFailure::BrokenOff("its answer broke off".to_owned());
            return self.failed(guard, &failure);
        };
        drop(connection);
        guard.end(SendOutcome::Failed);
        let repeatable = head.status.is_server_error() && self.relay.plan.route.is_repeatable();
        if repeatable && self.relay.may_retry() {
            return Opened::TryAnother;
        }
        Opened::Answer(self.whole(head, body.to_bytes()))
    }

    fn failed(&mut self, guard: SendGuard, failure: &SendFailure) -> Opened {
        self.relay.after_failure(guard, failure, self.summary).into()
    }

    fn silence_ms(&self) -> u64 {
        (self.relay.plan.route.event_gap_goal_ms * SILENCE_GAPS).max(SHORTEST_SILENCE_MS)
    }

    /// Waits for the next bytes of a stream.
    async fn next_piece(&self, run: &mut Run) -> Piece {
        let Relay { plan, sends, .. } = &self.relay;
        let left_ms = plan.deadline_ms.saturating_sub(boot_ms());
        let silence_ms = self.silence_ms();
        let resumable = plan.route.resumable && *sends < plan.route.attempts;
        let limit_ms = if resumable && run.events > 0 { left_ms.min(silence_ms) } else { left_ms };
        match timeout(Duration::from_millis(limit_ms), run.body.frame()).await {
            Err(_) if limit_ms < left_ms => Piece::Silent,
            Err(_) => Piece::TimeUp,
            Ok(None) if self.splitter.is_inside_event() => {
                Piece::Broken("it ended inside an event".to_owned())
            }
            Ok(None) => Piece::End,
            Ok(Some(Err(error))) => Piece::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => Piece::Bytes(frame.into_data().unwrap_or_default()),
        }
    }

    /// Takes bytes in and returns those that can be passed on.
    fn take(&mut self, run: &mut Run, bytes: &[u8]) -> Option<Bytes> {
        let backend_server = &run.guard.sending().backend_server;
        self.relay.shared.state.borrow_mut().record_activity(boot_ms(), backend_server);
        let whole: Option<CompleteEvents> = self.splitter.push(bytes);
        if let Some(events) = &whole {
            let now_ms = boot_ms();
            if run.events == 0 {
                run.first_ms = now_ms;
                run.guard.record_first_event(now_ms);
            }
            if self.last_event_ms > 0 {
                let gap_ms = now_ms.saturating_sub(self.last_event_ms);
                self.summary.longest_gap_ms = self.summary.longest_gap_ms.max(gap_ms);
            }
            self.last_event_ms = now_ms;
            run.events += events.count;
            self.summary.events += events.count;
            if events.last_id.is_some() {
                self.resume_after = events.last_id.clone();
            }
        }
        let mut passed = whole.map(|events| events.bytes);
        if self.splitter.is_too_long() {
            passed = Some(self.splitter.take_rest());
        }
        passed
    }

    fn whole(&self, mut head: http::response::Parts, body: Bytes) -> Response<ReplyBody> {
        self.relay.log_end(head.status, self.summary);
        self.relay.shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        Response::from_parts(head, full_body(body))
    }

    /// Starts to answer the caller.
    fn start(mut self, begun: Begun) -> Response<ReplyBody> {
        let Begun { first, mut head, run } = begun;
        let Relay { plan, shared, .. } = &self.relay;
        shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let begun_ms = boot_ms().saturating_sub(plan.arrived_ms);
        shared.counters.record_first_event(begun_ms);
        self.summary.first_event_ms = Some(begun_ms);
        let flow = Flow { ended: false, first: Some(first), stream: self, run: Some(run) };
        let pieces = unfold(flow, |mut flow| async move {
            let piece = flow.next().await?;
            Some((piece, flow))
        });
        Response::from_parts(head, ReplyBody::Pieces(Box::pin(pieces)))
    }

    /// Ends a stream that came whole.
    fn close(&self, run: Run) {
        let Run { connection, events, first_ms, idle_timeout_ms, guard, .. } = run;
        self.pace(&guard, events, first_ms);
        let Relay { plan, shared, .. } = &self.relay;
        let place_ms = boot_ms().saturating_sub(guard.sent_ms()) as f64;
        shared.connections.release(connection, idle_timeout_ms);
        let mut state = shared.state.borrow_mut();
        state.record_slot_time(place_ms);
        state.record_answer(&guard.sending().backend_server, plan.fingerprint);
        drop(state);
        guard.end(SendOutcome::Answered);
        self.relay.log_end(StatusCode::OK, self.summary);
    }

    fn pace(&self, guard: &SendGuard, events: u32, first_ms: u64) {
        if events > 2 {
            let elapsed_ms = boot_ms().saturating_sub(first_ms) as f64;
            let event_ms = elapsed_ms / f64::from(events - 1);
            let mut state = self.relay.shared.state.borrow_mut();
            state.record_event_interval(&guard.sending().backend_server, event_ms);
        }
    }
}

fn not_in_time(wait_ms: u64) -> Refusal {
    Refusal::retryable(RefusalReason::NotInTime, wait_ms)
}

/// A stream on its way to the caller.
struct Flow {
    /// Whether the end is noted already.
    ended: bool,
    first: Option<Bytes>,
    stream: StreamRelay,
    run: Option<Run>,
}

impl Flow {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(first) = self.first.take() {
                return Some(Ok(first));
            }
            let run = self.run.as_mut()?;
            match self.stream.next_piece(run).await {
                Piece::Bytes(bytes) => {
                    if let Some(whole) = self.stream.take(run, &bytes) {
                        return Some(Ok(whole));
                    }
                }
                Piece::End => {
                    let run = self.run.take()?;
                    self.stream.close(run);
                    return None;
                }
                Piece::Broken(error) => self.resume(&error).await?,
                Piece::Silent if self.may_move_stream() => self.resume("it is silent").await?,
                Piece::Silent => {}
                Piece::TimeUp => return self.break_off("the time is up"),
            }
            if self.run.is_none() {
                return self.break_off("no backend server goes on with it");
            }
        }
    }

    /// Returns whether a silent stream may leave its backend server.
    fn may_move_stream(&self) -> bool {
        let Some(run) = &self.run else { return false };
        let Relay { plan, shared, .. } = &self.stream.relay;
        let backend_server = &run.guard.sending().backend_server;
        let silence_ms = self.stream.silence_ms();
        shared.state.borrow().may_move_stream(boot_ms(), plan, backend_server, silence_ms)
    }

    /// Goes on at another backend server; without one, no run is left.
    async fn resume(&mut self, cause: &str) -> Option<()> {
        let run = self.run.take()?;
        let stream = &mut self.stream;
        info!(
            target: "send",
            request = &*stream.relay.plan.request_id,
            backend_server = &*run.guard.sending().backend_server,
            cause,
            events = stream.summary.events,
            resume_after = stream.resume_after.as_deref();
            "The stream broke off."
        );
        stream.splitter.take_rest();
        stream.relay.record_broken_send(&run.guard);
        run.guard.end(SendOutcome::Failed);
        drop(run.connection);
        let resumable = stream.relay.plan.route.resumable && stream.resume_after.is_some();
        if !resumable || !stream.relay.may_retry() {
            return Some(());
        }
        loop {
            match stream.open().await {
                Opened::Stream(begun) => {
                    self.first = Some(begun.first);
                    self.run = Some(begun.run);
                    return Some(());
                }
                Opened::Answer(_) => {
                    self.ended = true;
                    return Some(());
                }
                Opened::TryAnother => {}
            }
        }
    }

    fn break_off(&mut self, cause: &'static str) -> Option<io::Result<Bytes>> {
        self.run = None;
        if !self.ended {
            self.stream.relay.log_end(StatusCode::BAD_GATEWAY, self.stream.summary);
        }
        Some(Err(io::Error::other(cause)))
    }
}
