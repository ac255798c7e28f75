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

use crate::gateway::admission::{Plan, Refusal, RefusalReason};
use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::Connection;
use crate::gateway::dispatching::{Dispatch, Sending};
use crate::gateway::event_splitter::{EventSplitter, WholeEvents};
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, exchange};
use crate::gateway::forward::give_up;
use crate::gateway::lease::Lease;
use crate::gateway::reply::{ReplyBody, broken, whole};
use crate::gateway::shared::Shared;
use crate::gateway::state::RETRY_SOON_MS;
use crate::name::Name;

/// Most backend servers that could not be reached at all before a request is refused.
const UNREACHED_LIMIT: usize = 3;
/// Silence of a backend server after which a stream that may be resumed goes on at another one, as
/// a multiple of the longest pause of a timely answer.
const SILENCE_GAPS: u64 = 4;
/// Shortest silence after which a stream goes on at another backend server, in milliseconds.
const SHORTEST_SILENCE_MS: u64 = 1_000;

/// Sends a request and passes its events on.
pub(crate) async fn relay_stream(
    shared: Rc<Shared>,
    plan: Plan,
    request: CallerRequest,
) -> Response<ReplyBody> {
    let resume_after = None;
    let splitter = EventSplitter::default();
    let mut relay = StreamRelay {
        plan,
        ran: false,
        request,
        resume_after,
        sends: 0,
        shared,
        splitter,
        tried: Vec::new(),
        unreached: 0,
        events: 0,
        first_event_ms: None,
        last_event_ms: 0,
        longest_gap_ms: 0,
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
    lease: Lease,
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
    events: u32,
    last_event_ms: u64,
    /// Longest time between two arrivals of events, in milliseconds.
    longest_gap_ms: u64,
    /// Time from the arrival to the first event, in milliseconds.
    first_event_ms: Option<u64>,
    plan: Plan,
    /// Whether a send may have run.
    ran: bool,
    request: CallerRequest,
    resume_after: Option<String>,
    sends: u32,
    shared: Rc<Shared>,
    splitter: EventSplitter,
    tried: Vec<Name>,
    unreached: usize,
}

/// Takes a request out of the line when its caller leaves.
struct Place<'a> {
    number: u64,
    relay: &'a StreamRelay,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let shared = &self.relay.shared;
        shared.forget_waiter(self.number);
        shared.state.borrow_mut().leave(&self.relay.plan.service, self.number);
    }
}

impl StreamRelay {
    async fn open(&mut self) -> Opened {
        let sending = match self.find().await {
            Ok(sending) => sending,
            Err(refusal) => return self.refuse(refusal),
        };
        let lease = Lease::new(self.shared.clone(), sending);
        let checked = self.shared.state.borrow().recheck(boot_ms(), &self.plan);
        if let Err(refusal) = checked {
            return self.refuse(refusal);
        }
        self.send(lease).await
    }

    /// Finds a backend server, waiting for one if need be.
    async fn find(&mut self) -> Result<Sending, Refusal> {
        let dispatch = self.shared.state.borrow_mut().dispatch(boot_ms(), &self.plan, &self.tried);
        let number = match dispatch {
            Dispatch::Send(sending) => return Ok(sending),
            Dispatch::GiveUp(wait_ms) => return Err(not_in_time(wait_ms)),
            Dispatch::Wait(number) => number,
        };
        self.shared.changed.notify_one();
        let decision = self.shared.wait_for(number);
        let _place = Place { number, relay: self };
        let sending = decision.await.ok().flatten();
        let wait_ms = || self.shared.state.borrow().come_back(boot_ms(), &self.plan);
        sending.ok_or_else(|| not_in_time(wait_ms()))
    }

    async fn send(&mut self, lease: Lease) -> Opened {
        let sending = lease.sending().clone();
        let Some(address) = sending.address else { return self.unreached() };
        self.tried.push(sending.backend_server.clone());
        let now_ms = boot_ms();
        info!(
            target: "send",
            request = &*self.plan.request_id,
            route = &*self.plan.route.name,
            rank:? = (self.plan.rank.customer, self.plan.rank.route),
            backend_server = &*sending.backend_server,
            running = sending.running,
            tokens_ahead = sending.tokens_ahead,
            unread_tokens = sending.unread_tokens,
            waited_ms = now_ms.saturating_sub(self.plan.arrived_ms),
            send = self.sends + 1,
            resume_after = self.resume_after.as_deref();
            "The request is sent."
        );
        let to = (&sending.backend_server, address);
        let resume_after = self.resume_after.as_deref();
        let result = exchange(&self.shared, &self.plan, &self.request, to, resume_after).await;
        match result {
            Ok(reply) => self.read_head(lease, reply).await,
            Err(failure) => self.failed(lease, failure),
        }
    }

    async fn read_head(&mut self, lease: Lease, reply: Reply) -> Opened {
        self.sends += 1;
        if reply.facts.not_run {
            lease.end(SendOutcome::Refused);
            return self.refused();
        }
        let Reply { connection, facts, response } = reply;
        let (head, body) = response.into_parts();
        if !head.status.is_success() {
            return self.pass_failure(lease, connection, head, body).await;
        }
        if !facts.sealed {
            return self.failed(lease, SendFailure::WrongAnswer("it has no digest".to_owned()));
        }
        self.ran = true;
        let idle_timeout_ms = facts.idle_timeout_ms;
        let mut run = Run { body, connection, events: 0, first_ms: 0, idle_timeout_ms, lease };
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
                    return self.failed(run.lease, SendFailure::BrokenOff(error));
                }
                Piece::Silent => {
                    let failure = SendFailure::BrokenOff("it is silent".to_owned());
                    return self.failed(run.lease, failure);
                }
                Piece::TimeUp => return self.failed(run.lease, SendFailure::TimedOut),
            }
        }
    }

    async fn pass_failure(
        &mut self,
        lease: Lease,
        connection: Connection,
        head: http::response::Parts,
        body: Incoming,
    ) -> Opened {
        self.ran = true;
        let left_ms = self.plan.deadline_ms.saturating_sub(boot_ms());
        let body = timeout(Duration::from_millis(left_ms), body.collect()).await;
        let Ok(Ok(body)) = body else {
            return self.failed(lease, SendFailure::BrokenOff("its answer broke off".to_owned()));
        };
        drop(connection);
        lease.end(SendOutcome::Failed);
        if head.status.is_server_error() && self.plan.route.is_repeatable() && self.may_send_again()
        {
            return Opened::TryAnother;
        }
        Opened::Answer(self.whole(head, body.to_bytes()))
    }

    fn failed(&mut self, lease: Lease, failure: SendFailure) -> Opened {
        let sending = lease.sending().clone();
        info!(
            target: "send",
            request = &*self.plan.request_id,
            backend_server = &*sending.backend_server,
            failure:%,
            after_ms = boot_ms().saturating_sub(lease.sent_ms()),
            events = self.events;
            "The send failed."
        );
        let timed_out = match failure {
            SendFailure::NotSent(_) => {
                lease.end(SendOutcome::Unreachable);
                self.shared.connections.close(&sending.backend_server);
                return self.unreached();
            }
            SendFailure::TimedOut => true,
            SendFailure::BrokenOff(_) => {
                let mut state = self.shared.state.borrow_mut();
                let fingerprint = self.plan.fingerprint;
                state.died(boot_ms(), &sending.backend_server, fingerprint, lease.sent_ms());
                false
            }
            SendFailure::WrongAnswer(_) => false,
        };
        lease.end(SendOutcome::Failed);
        self.ran = true;
        self.sends = self.sends.max(1);
        if !timed_out && self.plan.route.is_repeatable() && self.may_send_again() {
            return Opened::TryAnother;
        }
        self.ended(if timed_out { 504 } else { 502 });
        Opened::Answer(broken(timed_out))
    }

    fn refused(&mut self) -> Opened {
        if self.may_send_again() {
            return Opened::TryAnother;
        }
        self.refuse(Refusal::until(RefusalReason::RefusedByBackend, RETRY_SOON_MS / 6))
    }

    fn unreached(&mut self) -> Opened {
        self.unreached += 1;
        if self.unreached < UNREACHED_LIMIT {
            return Opened::TryAnother;
        }
        self.refuse(Refusal::until(RefusalReason::NoBackendServer, RETRY_SOON_MS))
    }

    fn refuse(&mut self, refusal: Refusal) -> Opened {
        if self.ran {
            let timed_out = refusal.reason == RefusalReason::TimedOut;
            self.ended(if timed_out { 504 } else { 502 });
            return Opened::Answer(broken(timed_out));
        }
        Opened::Answer(give_up(&self.shared, &self.plan, &refusal))
    }

    fn may_send_again(&mut self) -> bool {
        self.sends < self.plan.route.attempts
            && self.shared.state.borrow_mut().take_resend(boot_ms(), &self.plan.service)
    }

    fn silence_ms(&self) -> u64 {
        (self.plan.route.event_gap_goal_ms * SILENCE_GAPS).max(SHORTEST_SILENCE_MS)
    }

    /// Waits for the next bytes of a stream.
    async fn next_piece(&self, run: &mut Run) -> Piece {
        let left_ms = self.plan.deadline_ms.saturating_sub(boot_ms());
        let silence_ms = self.silence_ms();
        let resumable = self.plan.route.resumable && self.sends < self.plan.route.attempts;
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
        let backend_server = &run.lease.sending().backend_server;
        self.shared.state.borrow_mut().heard(boot_ms(), backend_server);
        let whole: Option<WholeEvents> = self.splitter.push(bytes);
        if let Some(events) = &whole {
            let now_ms = boot_ms();
            if run.events == 0 {
                run.first_ms = now_ms;
                run.lease.first_event(now_ms);
            }
            if self.last_event_ms > 0 {
                let gap_ms = now_ms.saturating_sub(self.last_event_ms);
                self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
            }
            self.last_event_ms = now_ms;
            run.events += events.count;
            self.events += events.count;
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
        self.ended(head.status.as_u16());
        self.shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        Response::from_parts(head, whole(body))
    }

    /// Starts to answer the caller.
    fn start(mut self, begun: Begun) -> Response<ReplyBody> {
        let Begun { first, mut head, run } = begun;
        self.shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let begun_ms = boot_ms().saturating_sub(self.plan.arrived_ms);
        self.shared.counters.begun(begun_ms);
        self.first_event_ms = Some(begun_ms);
        let flow = Flow { first: Some(first), relay: self, run: Some(run) };
        let pieces = unfold(flow, |mut flow| async move {
            let piece = flow.next().await?;
            Some((piece, flow))
        });
        Response::from_parts(head, ReplyBody::Pieces(Box::pin(pieces)))
    }

    /// Ends a stream that came whole.
    fn close(&self, run: Run) {
        let Run { connection, events, first_ms, idle_timeout_ms, lease, .. } = run;
        self.pace(&lease, events, first_ms);
        let place_ms = boot_ms().saturating_sub(lease.sent_ms()) as f64;
        self.shared.state.borrow_mut().place_time(place_ms);
        self.shared.connections.keep(connection, idle_timeout_ms);
        lease.end(SendOutcome::Answered);
        self.shared.state.borrow_mut().answered(self.plan.fingerprint);
        self.ended(StatusCode::OK.as_u16());
    }

    fn pace(&self, lease: &Lease, events: u32, first_ms: u64) {
        if events > 2 {
            let elapsed_ms = boot_ms().saturating_sub(first_ms) as f64;
            let event_ms = elapsed_ms / f64::from(events - 1);
            let mut state = self.shared.state.borrow_mut();
            state.event_pace(&lease.sending().backend_server, event_ms);
        }
    }

    fn ended(&self, status: u16) {
        let elapsed_ms = boot_ms().saturating_sub(self.plan.arrived_ms);
        info!(
            target: "end",
            request = &*self.plan.request_id,
            route = &*self.plan.route.name,
            status,
            sends = self.sends,
            events = self.events,
            first_event_ms = self.first_event_ms,
            longest_gap_ms = self.longest_gap_ms,
            elapsed_ms;
            "The request has its answer."
        );
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        self.shared.counters.answered(status, elapsed_ms);
    }
}

fn not_in_time(wait_ms: u64) -> Refusal {
    Refusal::until(RefusalReason::NotInTime, wait_ms)
}

/// A stream on its way to the caller.
struct Flow {
    first: Option<Bytes>,
    relay: StreamRelay,
    run: Option<Run>,
}

impl Flow {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(first) = self.first.take() {
                return Some(Ok(first));
            }
            let run = self.run.as_mut()?;
            match self.relay.next_piece(run).await {
                Piece::Bytes(bytes) => {
                    if let Some(whole) = self.relay.take(run, &bytes) {
                        return Some(Ok(whole));
                    }
                }
                Piece::End => {
                    let run = self.run.take()?;
                    self.relay.close(run);
                    return None;
                }
                Piece::Broken(error) => self.resume(&error).await?,
                Piece::Silent if self.may_leave() => self.resume("it is silent").await?,
                Piece::Silent => {}
                Piece::TimeUp => return self.break_off("the time is up"),
            }
            if self.run.is_none() {
                return self.break_off("no backend server goes on with it");
            }
        }
    }

    /// Returns whether a silent stream may leave its backend server.
    fn may_leave(&self) -> bool {
        let Some(run) = &self.run else { return false };
        let relay = &self.relay;
        let state = relay.shared.state.borrow();
        let backend_server = &run.lease.sending().backend_server;
        state.may_leave(boot_ms(), &relay.plan, backend_server, relay.silence_ms())
    }

    /// Goes on at another backend server; without one, no run is left.
    async fn resume(&mut self, cause: &str) -> Option<()> {
        let run = self.run.take()?;
        let relay = &mut self.relay;
        info!(
            target: "send",
            request = &*relay.plan.request_id,
            backend_server = &*run.lease.sending().backend_server,
            cause,
            events = relay.events,
            resume_after = relay.resume_after.as_deref();
            "The stream broke off."
        );
        relay.splitter.take_rest();
        let sent_ms = run.lease.sent_ms();
        let backend_server = run.lease.sending().backend_server.clone();
        let fingerprint = relay.plan.fingerprint;
        relay.shared.state.borrow_mut().died(boot_ms(), &backend_server, fingerprint, sent_ms);
        run.lease.end(SendOutcome::Failed);
        drop(run.connection);
        let resumable = relay.plan.route.resumable && relay.resume_after.is_some();
        while resumable && relay.may_send_again() {
            match relay.open().await {
                Opened::Stream(begun) => {
                    self.first = Some(begun.first);
                    self.run = Some(begun.run);
                    return Some(());
                }
                Opened::Answer(_) => return Some(()),
                Opened::TryAnother => {}
            }
        }
        Some(())
    }

    fn break_off(&mut self, cause: &'static str) -> Option<io::Result<Bytes>> {
        self.run = None;
        self.relay.ended(StatusCode::BAD_GATEWAY.as_u16());
        Some(Err(io::Error::other(cause)))
    }
}
