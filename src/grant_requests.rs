//! Sends grant requests to the coordinator of their service, and sends waiting and running requests
//! to another coordinator when the coordinator changes.

use crate::core::Core;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;
use crate::request::{Request, RequestState};
use crate::scheduler::SchedulerEvent;
use crate::scheduling::{GrantRequest, RunningRequest};
use crate::settings::Policy;

/// Time after which an unanswered grant request is sent again, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 2_000;

impl Core {
    /// Requests a grant from the coordinator of a request's service; a request with a key holds it
    /// by then.
    ///
    /// Skips a running request: an earlier grant request of the same round may have made this
    /// instance's own coordinator grant it.
    pub(crate) fn request_grant(&mut self, now: Now, sequence: u64) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        if request.is_running() {
            return;
        }
        let grant_request = request.grant_request(now);
        let coordinator = self.coordinator_of(&grant_request.service);
        if let Some(request) = self.requests.get_active_mut(sequence) {
            request.add_step(now, format!("Sent a grant request to coordinator {coordinator}."));
            request.state = RequestState::Waiting {
                requested_ms: now.monotonic_ms,
                coordinator: Some(coordinator.clone()),
            };
        }
        self.send_grant_request(now, &coordinator, grant_request);
    }

    /// Sends waiting and running requests to the coordinator of their service if it changed, or if
    /// it is `renewed` and may have no record of them.
    pub(crate) fn move_grant_requests(&mut self, now: Now, renewed: Option<&Name>) {
        for sequence in self.requests.sequences_where(|request| !request.is_ended()) {
            self.move_request(now, sequence, renewed);
        }
    }

    /// Sends the grant requests again that got no answer within [`RESEND_INTERVAL_MS`].
    pub(crate) fn resend_overdue_grant_requests(&mut self, now: Now) {
        let due = |request: &Request| match &request.state {
            RequestState::Waiting { requested_ms, .. } => {
                requested_ms + RESEND_INTERVAL_MS <= now.monotonic_ms
            }
            _ => false,
        };
        for sequence in self.requests.sequences_where(due) {
            self.request_grant(now, sequence);
        }
    }

    /// Sends all grant requests again after the instance became ready: grants that arrived before
    /// then were void.
    pub(crate) fn resend_grant_requests(&mut self, now: Now) {
        let waits = |request: &Request| matches!(request.state, RequestState::Waiting { .. });
        for sequence in self.requests.sequences_where(waits) {
            self.request_grant(now, sequence);
        }
    }

    /// Returns the coordinator of a service; under a baseline policy, that is each instance itself.
    pub(crate) fn coordinator_of(&self, service: &Name) -> Name {
        let own_name = self.own_name();
        if self.settings.dispatch.policy != Policy::Coordinator {
            return own_name;
        }
        let mut candidates = self.membership.live_members();
        candidates.retain(|name| !self.is_stopping(name));
        self.view.coordinator(service, &candidates).unwrap_or(own_name)
    }

    pub(crate) fn withdraw(&mut self, now: Now, coordinator: &Name, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        let service = request.arrival.service.clone();
        let request = request.id.clone();
        if *coordinator == self.own_name() {
            self.send_to_scheduler(now, &service, SchedulerEvent::Withdraw { request });
            return;
        }
        self.send(coordinator, PeerMessage::Withdraw { request, service });
    }

    fn is_stopping(&self, name: &Name) -> bool {
        if *name == self.own_name() {
            return self.stop.is_some();
        }
        self.stopping_peers.binary_search(name).is_ok()
    }

    fn move_request(&mut self, now: Now, sequence: u64, renewed: Option<&Name>) {
        let Some(request) = self.requests.get(sequence) else { return };
        let service = request.arrival.service.clone();
        let coordinator = self.coordinator_of(&service);
        let is_new = |old: &Name| *old != coordinator || renewed == Some(&coordinator);
        match request.state.clone() {
            RequestState::Waiting { coordinator: Some(old), .. } if is_new(&old) => {
                if old != coordinator {
                    self.withdraw(now, &old, sequence);
                }
                self.request_grant(now, sequence);
            }
            RequestState::Running { coordinator: old, .. } if is_new(&old) => {
                self.report_running(now, sequence, coordinator);
            }
            _ => {}
        }
    }

    pub(crate) fn report_running(&mut self, now: Now, sequence: u64, new_coordinator: Name) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        let grant_request = request.grant_request(now);
        let service = grant_request.service.clone();
        let RequestState::Running { backend_server, output_tokens, coordinator } =
            &mut request.state
        else {
            return;
        };
        *coordinator = new_coordinator.clone();
        let running = RunningRequest {
            backend_server: backend_server.clone(),
            grant_request,
            output_tokens: *output_tokens,
        };
        if new_coordinator == self.own_name() {
            self.send_to_scheduler(now, &service, SchedulerEvent::Running(running));
            return;
        }
        self.send(&new_coordinator, PeerMessage::Running(running));
    }

    fn send_grant_request(&mut self, now: Now, coordinator: &Name, grant_request: GrantRequest) {
        if *coordinator == self.own_name() {
            let service = grant_request.service.clone();
            self.send_to_scheduler(now, &service, SchedulerEvent::GrantRequest(grant_request));
            return;
        }
        self.send(coordinator, PeerMessage::GrantRequest(grant_request));
    }
}
