//! Relays requests whose answer is read completely before it is passed on.

use std::rc::Rc;

use bytes::Bytes;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use log::info;

use crate::gateway::admission::RequestPlan;
use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, read_answer};
use crate::gateway::place_finder::find_place;
use crate::gateway::relay::{Relay, RelayStep, StreamSummary};
use crate::gateway::reply::{ReplyBody, full_body};
use crate::gateway::send_guard::SendGuard;
use crate::gateway::shared::Shared;

/// Sends a request until it has an answer or may not be retried.
pub(crate) async fn relay_plain(
    shared: Rc<Shared>,
    plan: RequestPlan,
    request: CallerRequest,
) -> Response<ReplyBody> {
    let mut relay = PlainRelay { relay: Relay::new(shared.clone(), plan, request) };
    loop {
        let step = tokio::select! {
            step = relay.step() => step,
            () = shared.exit_soon() => return relay.relay.answer_exit(StreamSummary::default()),
        };
        match step {
            RelayStep::Answer(response) => return response,
            RelayStep::Fail(failure) => {
                return relay.relay.answer_failure(&failure, StreamSummary::default());
            }
            RelayStep::TryAnother => {}
        }
    }
}

struct PlainRelay {
    relay: Relay,
}

impl PlainRelay {
    async fn step(&mut self) -> RelayStep {
        if let Err(refusal) = self.relay.recheck() {
            return RelayStep::Fail(self.relay.refuse(refusal));
        }
        let Relay { plan, shared, tried, .. } = &mut self.relay;
        let guard = match find_place(shared, plan, tried).await {
            Ok(started_send) => SendGuard::new(shared.clone(), started_send),
            Err(refusal) => return RelayStep::Fail(self.relay.refuse(refusal)),
        };
        if let Err(refusal) = self.relay.recheck() {
            return RelayStep::Fail(self.relay.refuse(refusal));
        }
        self.relay.tried.push(guard.started_send().backend_server.clone());
        self.send(guard).await
    }

    async fn send(&mut self, guard: SendGuard) -> RelayStep {
        let started_send = guard.started_send().clone();
        let Some(address) = started_send.address else { return self.relay.after_unreachable() };
        let Relay { plan, sends, .. } = &self.relay;
        info!(
            target: "send",
            request = &*plan.request_id,
            route = &*plan.route.name,
            backend_server = &*started_send.backend_server,
            running = started_send.running,
            send = sends + 1,
            left_ms = plan.deadline_ms.saturating_sub(boot_ms());
            "Request sent to a backend server."
        );
        let to = (&started_send.backend_server, address);
        match self.relay.exchange(to, None).await {
            Ok(reply) => self.read_reply(guard, reply).await,
            Err(failure) => self.after_send_failure(guard, &failure),
        }
    }

    async fn read_reply(&mut self, mut guard: SendGuard, reply: Reply) -> RelayStep {
        self.relay.record_reply(&mut guard, &reply);
        if reply.metadata.not_run {
            guard.end(SendOutcome::Refused);
            return self.relay.after_refusal();
        }
        if let Some(failure) = reply.fault() {
            return self.after_send_failure(guard, &failure);
        }
        self.relay.may_have_run = true;
        let Reply { connection, metadata, response, .. } = reply;
        let (mut head, body) = response.into_parts();
        let Relay { plan, shared, .. } = &self.relay;
        let backend_server = &guard.started_send().backend_server;
        let body = match read_answer(shared, plan, backend_server, &connection, body).await {
            Ok(body) => body,
            Err(failure) => return self.after_send_failure(guard, &failure),
        };
        let shared = &self.relay.shared;
        shared.connections.release(connection, metadata.idle_timeout_ms);
        let backend_server = &guard.started_send().backend_server;
        shared.state.borrow_mut().record_answer(backend_server, self.relay.plan.fingerprint);
        shared.wire.prepare_reply(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let response = Response::from_parts(head, body);
        if !response.status().is_server_error() {
            guard.end_answered();
            return self.finish(response);
        }
        guard.end(SendOutcome::Failed);
        if self.relay.plan.route.is_repeatable() && self.relay.may_retry() {
            self.relay.keep_error_answer(response.map(full_body));
            return RelayStep::TryAnother;
        }
        self.finish(response)
    }

    fn after_send_failure(&mut self, guard: SendGuard, failure: &SendFailure) -> RelayStep {
        self.relay.after_failure(guard, failure, StreamSummary::default())
    }

    fn finish(&self, response: Response<Bytes>) -> RelayStep {
        self.relay.log_end(response.status(), StreamSummary::default());
        RelayStep::Answer(response.map(full_body))
    }
}
