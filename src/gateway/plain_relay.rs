//! Requests with one whole answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use log::info;
use tokio::time::timeout;

use crate::gateway::admission::{Plan, Refusal, RefusalReason};
use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, exchange};
use crate::gateway::forward::give_up;
use crate::gateway::lease::Lease;
use crate::gateway::reply::{ReplyBody, broken, whole};
use crate::gateway::shared::Shared;
use crate::gateway::state::RETRY_SOON_MS;
use crate::name::Name;

/// Most backend servers that could not be reached at all before a request is refused.
const UNREACHED_LIMIT: usize = 3;

/// What one send came to.
enum Sent {
    /// An answer that is passed on.
    Answer(Response<Bytes>),
    /// An answer of the backend server that tells of its failure.
    Error(Response<Bytes>),
    /// The backend server failed; the request may have run.
    Failed { timed_out: bool },
    /// The backend server did not run it.
    NotRun,
    /// It was not sent.
    Unreached,
}

/// What comes after a send.
enum Next {
    Answer(Response<ReplyBody>),
    TryAnother,
}

/// Sends a request until it has an answer or may not be sent again.
pub(crate) async fn relay_plain(
    shared: Rc<Shared>,
    plan: Plan,
    request: CallerRequest,
) -> Response<ReplyBody> {
    let mut relay =
        PlainRelay { plan, request, sends: 0, shared, tried: Vec::new(), unreached: 0, ran: false };
    loop {
        if let Next::Answer(response) = relay.step().await {
            return response;
        }
    }
}

struct PlainRelay {
    plan: Plan,
    /// Whether a send may have run.
    ran: bool,
    request: CallerRequest,
    sends: u32,
    shared: Rc<Shared>,
    tried: Vec<Name>,
    unreached: usize,
}

impl PlainRelay {
    async fn step(&mut self) -> Next {
        let now_ms = boot_ms();
        let checked = self.shared.state.borrow().recheck(now_ms, &self.plan);
        if let Err(refusal) = checked {
            return self.refuse(refusal);
        }
        let Some(lease) = self.choose(now_ms) else {
            return self.refuse(Refusal::until(RefusalReason::NoBackendServer, RETRY_SOON_MS));
        };
        self.tried.push(lease.sending().backend_server.clone());
        match self.send(lease).await {
            Sent::Answer(response) => Next::Answer(self.pass(response)),
            Sent::Error(response) => self.after_error(response),
            Sent::Failed { timed_out } => self.after_failure(timed_out),
            Sent::NotRun => self.after_refusal(),
            Sent::Unreached => self.after_unreached(),
        }
    }

    fn choose(&mut self, now_ms: u64) -> Option<Lease> {
        let mut state = self.shared.state.borrow_mut();
        let chosen = state.choose_plain(now_ms, &self.plan.service, &self.tried)?;
        let sending = state.begin_plain(now_ms, &chosen);
        drop(state);
        Some(Lease::new(self.shared.clone(), sending))
    }

    async fn send(&mut self, lease: Lease) -> Sent {
        let sending = lease.sending().clone();
        let Some(address) = sending.address else { return Sent::Unreached };
        let now_ms = boot_ms();
        info!(
            target: "send",
            request = &*self.plan.request_id,
            route = &*self.plan.route.name,
            backend_server = &*sending.backend_server,
            running = sending.running,
            send = self.sends + 1,
            left_ms = self.plan.deadline_ms.saturating_sub(now_ms);
            "The request is sent."
        );
        let to = (&sending.backend_server, address);
        let result = exchange(&self.shared, &self.plan, &self.request, to, None).await;
        match result {
            Ok(reply) => self.read(lease, reply).await,
            Err(failure) => self.failed(lease, failure),
        }
    }

    async fn read(&mut self, lease: Lease, reply: Reply) -> Sent {
        self.sends += 1;
        if reply.facts.not_run {
            lease.end(SendOutcome::Refused);
            return Sent::NotRun;
        }
        let Reply { connection, facts, response } = reply;
        let (mut head, body) = response.into_parts();
        let left_ms = self.plan.deadline_ms.saturating_sub(boot_ms());
        let body = match timeout(Duration::from_millis(left_ms), body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return self.failed(lease, SendFailure::BrokenOff(error.to_string())),
            Err(_) => return self.failed(lease, SendFailure::TimedOut),
        };
        if head.status.is_success() && !facts.sealed {
            return self.failed(lease, SendFailure::WrongAnswer("it has no digest".to_owned()));
        }
        self.shared.connections.keep(connection, facts.idle_timeout_ms);
        let elapsed_ms = boot_ms().saturating_sub(lease.sent_ms()) as f64;
        self.shared.state.borrow_mut().reply_time(&lease.sending().backend_server, elapsed_ms);
        self.shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let failed = head.status.is_server_error();
        let response = Response::from_parts(head, body);
        if failed {
            lease.end(SendOutcome::Failed);
            return Sent::Error(response);
        }
        lease.end(SendOutcome::Answered);
        Sent::Answer(response)
    }

    fn failed(&mut self, lease: Lease, failure: SendFailure) -> Sent {
        let sending = lease.sending().clone();
        info!(
            target: "send",
            request = &*self.plan.request_id,
            backend_server = &*sending.backend_server,
            failure:%,
            after_ms = boot_ms().saturating_sub(lease.sent_ms());
            "The send failed."
        );
        match failure {
            SendFailure::NotSent(_) => {
                lease.end(SendOutcome::Unreachable);
                self.shared.connections.close(&sending.backend_server);
                Sent::Unreached
            }
            SendFailure::TimedOut => {
                lease.end(SendOutcome::Failed);
                self.sends += 1;
                Sent::Failed { timed_out: true }
            }
            SendFailure::BrokenOff(_) | SendFailure::WrongAnswer(_) => {
                lease.end(SendOutcome::Failed);
                self.sends += 1;
                Sent::Failed { timed_out: false }
            }
        }
    }

    fn after_error(&mut self, response: Response<Bytes>) -> Next {
        self.ran = true;
        if self.plan.route.is_repeatable() && self.may_send_again() {
            return Next::TryAnother;
        }
        Next::Answer(self.pass(response))
    }

    fn after_failure(&mut self, timed_out: bool) -> Next {
        self.ran = true;
        if !timed_out && self.plan.route.is_repeatable() && self.may_send_again() {
            return Next::TryAnother;
        }
        Next::Answer(self.broken(timed_out))
    }

    fn after_refusal(&mut self) -> Next {
        if self.may_send_again() {
            return Next::TryAnother;
        }
        self.refuse(Refusal::until(RefusalReason::RefusedByBackend, RETRY_SOON_MS / 6))
    }

    fn after_unreached(&mut self) -> Next {
        self.unreached += 1;
        if self.unreached < UNREACHED_LIMIT {
            return Next::TryAnother;
        }
        self.refuse(Refusal::until(RefusalReason::NoBackendServer, RETRY_SOON_MS))
    }

    fn may_send_again(&mut self) -> bool {
        self.sends < self.plan.route.attempts
            && self.shared.state.borrow_mut().take_resend(boot_ms(), &self.plan.service)
    }

    fn refuse(&mut self, refusal: Refusal) -> Next {
        if self.ran {
            let timed_out = refusal.reason == RefusalReason::TimedOut;
            return Next::Answer(self.broken(timed_out));
        }
        Next::Answer(give_up(&self.shared, &self.plan, &refusal))
    }

    fn broken(&self, timed_out: bool) -> Response<ReplyBody> {
        self.ended(if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY });
        broken(timed_out)
    }

    fn pass(&self, response: Response<Bytes>) -> Response<ReplyBody> {
        self.ended(response.status());
        response.map(whole)
    }

    fn ended(&self, status: StatusCode) {
        let elapsed_ms = boot_ms().saturating_sub(self.plan.arrived_ms);
        info!(
            target: "end",
            request = &*self.plan.request_id,
            route = &*self.plan.route.name,
            status = status.as_u16(),
            sends = self.sends,
            elapsed_ms;
            "The request has its answer."
        );
        self.shared.counters.answered(status, elapsed_ms);
    }
}
