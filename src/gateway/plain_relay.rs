//! Requests with one whole answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use log::info;
use tokio::time::timeout;

use crate::gateway::admission::{Plan, Refusal, RefusalReason};
use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, exchange};
use crate::gateway::lease::Lease;
use crate::gateway::relay::{Next, Relay, StreamSummary};
use crate::gateway::reply::{ReplyBody, whole};
use crate::gateway::shared::Shared;
use crate::gateway::state::RETRY_SOON_MS;

/// Sends a request until it has an answer or may not be sent again.
pub(crate) async fn relay_plain(
    shared: Rc<Shared>,
    plan: Plan,
    request: CallerRequest,
) -> Response<ReplyBody> {
    let mut relay = PlainRelay { relay: Relay::new(shared, plan, request) };
    loop {
        if let Next::Answer(response) = relay.step().await {
            return response;
        }
    }
}

struct PlainRelay {
    relay: Relay,
}

impl PlainRelay {
    async fn step(&mut self) -> Next {
        if let Err(refusal) = self.relay.recheck() {
            return self.relay.refuse(refusal);
        }
        let Some(lease) = self.choose(boot_ms()) else {
            let refusal = Refusal::until(RefusalReason::NoBackendServer, RETRY_SOON_MS);
            return self.relay.refuse(refusal);
        };
        self.relay.tried.push(lease.sending().backend_server.clone());
        self.send(lease).await
    }

    fn choose(&mut self, now_ms: u64) -> Option<Lease> {
        let Relay { plan, shared, tried, .. } = &self.relay;
        let mut state = shared.state.borrow_mut();
        let chosen = state.choose_plain(now_ms, &plan.service, tried)?;
        let sending = state.begin_plain(now_ms, &chosen);
        drop(state);
        Some(Lease::new(shared.clone(), sending))
    }

    async fn send(&mut self, lease: Lease) -> Next {
        let sending = lease.sending().clone();
        let Some(address) = sending.address else { return self.relay.after_unreached() };
        let Relay { plan, request, shared, sends, .. } = &self.relay;
        info!(
            target: "send",
            request = &*plan.request_id,
            route = &*plan.route.name,
            backend_server = &*sending.backend_server,
            running = sending.running,
            send = sends + 1,
            left_ms = plan.deadline_ms.saturating_sub(boot_ms());
            "The request is sent."
        );
        let to = (&sending.backend_server, address);
        let result = exchange(shared, plan, request, to, None).await;
        self.relay.count(&result);
        match result {
            Ok(reply) => self.read(lease, reply).await,
            Err(failure) => self.failed(lease, &failure),
        }
    }

    async fn read(&mut self, lease: Lease, reply: Reply) -> Next {
        if reply.facts.not_run {
            lease.end(SendOutcome::Refused);
            return self.relay.after_refusal();
        }
        let Reply { connection, facts, response } = reply;
        let (mut head, body) = response.into_parts();
        let left_ms = self.relay.plan.deadline_ms.saturating_sub(boot_ms());
        let body = match timeout(Duration::from_millis(left_ms), body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                return self.failed(lease, &SendFailure::BrokenOff(error.to_string()));
            }
            Err(_) => return self.failed(lease, &SendFailure::TimedOut),
        };
        if head.status.is_success() && !facts.sealed {
            let failure = SendFailure::WrongAnswer("it has no digest".to_owned());
            return self.failed(lease, &failure);
        }
        let shared = &self.relay.shared;
        shared.connections.keep(connection, facts.idle_timeout_ms);
        let elapsed_ms = boot_ms().saturating_sub(lease.sent_ms()) as f64;
        let backend_server = &lease.sending().backend_server;
        shared.state.borrow_mut().reply_time(backend_server, elapsed_ms);
        shared.state.borrow_mut().answered(backend_server, self.relay.plan.fingerprint);
        shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let response = Response::from_parts(head, body);
        if !response.status().is_server_error() {
            lease.end(SendOutcome::Answered);
            return self.pass(response);
        }
        lease.end(SendOutcome::Failed);
        self.relay.ran = true;
        if self.relay.plan.route.is_repeatable() && self.relay.may_send_again() {
            return Next::TryAnother;
        }
        self.pass(response)
    }

    fn failed(&mut self, lease: Lease, failure: &SendFailure) -> Next {
        self.relay.after_failure(lease, failure, StreamSummary::default())
    }

    fn pass(&self, response: Response<Bytes>) -> Next {
        self.relay.ended(response.status(), StreamSummary::default());
        Next::Answer(response.map(whole))
    }
}
