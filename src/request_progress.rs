//! Applies grants, refusals, progress and timeouts to the requests of this instance.

use crate::answers;
use crate::core::Core;
use crate::effect::{Dispatch, Effect};
use crate::final_answer::{FinalAnswer, Outcome};
use crate::inventory::ServiceKind;
use crate::metric::{Counter, Quantity};
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;
use crate::request::{Request, RequestState};
use crate::scheduler::SchedulerEvent;
use crate::scheduling::{Grant, Progress, Refusal};
use crate::span_record::Hop;

/// How a grant applies to a request in its current state.
enum GrantUse {
    /// The request may be dispatched.
    Dispatch(Dispatch),
    /// The backend server is leaving; the coordinator granted it by an older document or list.
    Leaving,
    /// The request already runs by an earlier grant.
    RunsAlready,
    /// The request is not waiting, or the backend server is gone.
    Void,
}

impl Core {
    /// Answers a waiting request and ends it.
    ///
    /// A request that is running or has ended is left unchanged: when an earlier request of the
    /// same round ended, this instance's own coordinator may have granted or refused this one.
    pub(crate) fn end_with(&mut self, now: Now, sequence: u64, answer: FinalAnswer) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        if request.is_running() {
            return;
        }
        self.add_step(now, sequence, format!("Answered {}.", answer.reason));
        let outcome = answer.outcome;
        self.effects.push(Effect::Answer { answer, sequence });
        self.end(sequence, now, outcome);
    }

    /// Ends a request; its key is released if it never ran, and kept otherwise.
    pub(crate) fn end(&mut self, sequence: u64, now: Now, outcome: Outcome) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        let ran = request.is_running();
        let tier = request.tier.clone();
        let has_key = request.arrival.key.is_some();
        request.state = RequestState::Ended { outcome, ran };
        if has_key && !ran {
            self.release_key(sequence);
        }
        let counter = Counter::Requests { outcome, tier };
        self.effects.push(Effect::Count { amount: 1, counter });
        let keep = has_key && ran;
        let until_ms = now.monotonic_ms + self.settings.keys.lifetime_ms;
        self.requests.end(sequence, keep.then_some(until_ms));
        if !keep {
            self.effects.push(Effect::RemoveAnswer { sequence });
        }
    }

    /// Applies the progress of a dispatched request and reports it to the coordinator.
    pub(crate) fn apply_progress(&mut self, now: Now, sequence: u64, progress: Progress) {
        if progress == Progress::Crashed {
            // The coordinator must receive the suspect before it can grant another send of it.
            self.record_crash(now, sequence);
        }
        self.report_progress(now, sequence, progress.clone());
        match progress {
            Progress::Abandoned => self.abandon(now, sequence),
            Progress::Cancelled => self.end(sequence, now, Outcome::Failed),
            Progress::ConnectFailed => self.retry_elsewhere(now, sequence),
            Progress::Crashed => {
                self.add_step(now, sequence, "The backend server crashed or lost the request.");
                self.end(sequence, now, Outcome::Unknown);
            }
            Progress::Lost => {
                self.add_step(now, sequence, "The backend server can't be reached.");
                self.end(sequence, now, Outcome::Unknown);
            }
            Progress::Finished { cached_tokens, output_tokens } => {
                self.count_prefill(sequence, cached_tokens);
                self.add_step(now, sequence, format!("Finished with {output_tokens} tokens."));
                self.clear_suspicion(sequence);
                self.end(sequence, now, Outcome::Done);
            }
            Progress::FirstToken { elapsed_ms } => {
                self.add_step(now, sequence, format!("First token after {elapsed_ms} ms."));
                self.measure_first_token(now, sequence);
            }
            Progress::Tokens { output_tokens, .. } => {
                self.set_output_tokens(sequence, output_tokens)
            }
        }
    }

    /// Answers requests whose deadline or claim time limit has passed, and drops expired answers.
    pub(crate) fn sweep_requests(&mut self, now: Now) {
        let limit_ms = self.settings.keys.grant_limit_ms;
        let is_expired = |request: &Request| match &request.state {
            RequestState::Claiming { .. } | RequestState::Waiting { .. } => {
                request.deadline_ms <= now.monotonic_ms
            }
            _ => false,
        };
        for sequence in self.requests.sequences_where(is_expired) {
            self.withdraw_waiting(now, sequence);
            self.end_with(now, sequence, answers::deadline_passed());
        }
        let is_claim_overdue = |request: &Request| match &request.state {
            RequestState::Claiming { claimed_ms, .. } => claimed_ms + limit_ms < now.monotonic_ms,
            _ => false,
        };
        for sequence in self.requests.sequences_where(is_claim_overdue) {
            self.end_with(now, sequence, answers::key_home_silent());
        }
        self.resend_overdue_grant_requests(now);
        for sequence in self.requests.expire(now.monotonic_ms) {
            self.effects.push(Effect::RemoveAnswer { sequence });
        }
    }

    pub(crate) fn add_step<S>(&mut self, now: Now, sequence: u64, text: S)
    where
        S: Into<String>,
    {
        if let Some(request) = self.requests.get_active_mut(sequence) {
            request.add_step(now, text);
        }
    }

    pub(crate) fn receive_grant(&mut self, now: Now, coordinator: &Name, grant: Grant) {
        let sequence = grant.request.sequence;
        match self.grant_use(now, &grant) {
            GrantUse::Dispatch(dispatch) => {
                let text = format!("Coordinator {coordinator} granted {}.", grant.backend_server);
                self.add_step(now, sequence, text);
                if let Some(RequestState::Waiting { requested_ms, .. }) =
                    self.requests.get(sequence).map(|request| request.state.clone())
                {
                    self.record_hop(now, sequence, Hop::GrantRequest, requested_ms);
                }
                if let Some(request) = self.requests.get_active_mut(sequence) {
                    request.granted_ms = now.monotonic_ms;
                    request.state = RequestState::Running {
                        backend_server: grant.backend_server,
                        output_tokens: 0,
                        coordinator: coordinator.clone(),
                    };
                }
                self.effects.push(Effect::Dispatch(dispatch));
            }
            GrantUse::Leaving => {
                let backend_server = grant.backend_server.clone();
                self.add_step(now, sequence, format!("{backend_server} is leaving."));
                self.return_grant(now, coordinator, grant);
                self.wait_again(now, sequence, Some(backend_server));
            }
            GrantUse::RunsAlready => self.report_running(now, sequence, coordinator.clone()),
            GrantUse::Void => self.return_grant(now, coordinator, grant),
        }
    }

    pub(crate) fn receive_refusal(&mut self, now: Now, refusal: Refusal) {
        if refusal.request != self.request_id(refusal.request.sequence) {
            return;
        }
        let sequence = refusal.request.sequence;
        let is_waiting = self
            .requests
            .get(sequence)
            .is_some_and(|request| matches!(request.state, RequestState::Waiting { .. }));
        if is_waiting {
            let answer = answers::refused(refusal.reason, refusal.retry_after_ms);
            self.end_with(now, sequence, answer);
        }
    }

    pub(crate) fn withdraw_waiting(&mut self, now: Now, sequence: u64) {
        let state = self.requests.get(sequence).map(|request| request.state.clone());
        if let Some(RequestState::Waiting { coordinator: Some(coordinator), .. }) = state {
            self.withdraw(now, &coordinator, sequence);
        }
    }

    /// Lets a request whose grant was void at the first byte wait again, or ends it if its deadline
    /// has passed.
    fn abandon(&mut self, now: Now, sequence: u64) {
        self.wait_again(now, sequence, None);
    }

    /// Lets a request that could not connect wait for another backend server.
    fn retry_elsewhere(&mut self, now: Now, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        let RequestState::Running { backend_server, .. } = &request.state else { return };
        let backend_server = backend_server.clone();
        self.add_step(now, sequence, format!("No connection to {backend_server}."));
        self.wait_again(now, sequence, Some(backend_server));
    }

    fn count_prefill(&mut self, sequence: u64, cached_tokens: u32) {
        let Some(request) = self.requests.get(sequence) else { return };
        let prefilled = request.arrival.prompt_tokens.saturating_sub(cached_tokens);
        let amount = u64::from(prefilled);
        self.effects.push(Effect::Count { amount, counter: Counter::PrefillTokens });
    }

    fn set_output_tokens(&mut self, sequence: u64, tokens: u32) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        if let RequestState::Running { output_tokens, .. } = &mut request.state {
            *output_tokens = tokens;
        }
    }

    /// Records a hop of a request that ends now.
    pub(crate) fn record_hop(&mut self, now: Now, sequence: u64, hop: Hop, started_ms: u64) {
        let ended_ms = now.monotonic_ms;
        self.effects.push(Effect::Hop { ended_ms, hop, sequence, started_ms });
    }

    fn measure_first_token(&mut self, now: Now, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        let value = now.monotonic_ms.saturating_sub(request.arrived_ms);
        let quantity = Quantity::FirstTokenMs { tier: request.tier.clone() };
        self.effects.push(Effect::Measure { quantity, value });
    }

    fn report_progress(&mut self, now: Now, sequence: u64, progress: Progress) {
        let Some(request) = self.requests.get(sequence) else { return };
        let RequestState::Running { coordinator, .. } = &request.state else { return };
        let coordinator = coordinator.clone();
        let service = request.arrival.service.clone();
        let request = request.id.clone();
        self.send_progress(now, &coordinator, &service, request, progress);
    }

    fn return_grant(&mut self, now: Now, coordinator: &Name, grant: Grant) {
        let Some(service) = self
            .inventory
            .backend_server(&grant.backend_server)
            .map(|backend_server| backend_server.service.clone())
        else {
            return;
        };
        self.send_progress(now, coordinator, &service, grant.request, Progress::Abandoned);
    }

    fn send_progress(
        &mut self,
        now: Now,
        coordinator: &Name,
        service: &Name,
        request: crate::request_id::RequestId,
        progress: Progress,
    ) {
        if *coordinator == self.own_name() {
            self.send_to_scheduler(now, service, SchedulerEvent::Progress { progress, request });
            return;
        }
        let service = service.clone();
        self.send(coordinator, PeerMessage::Progress { progress, request, service });
    }

    fn grant_use(&self, now: Now, grant: &Grant) -> GrantUse {
        let sequence = grant.request.sequence;
        let Some(request) = self.requests.get(sequence) else { return GrantUse::Void };
        if grant.request != request.id {
            return GrantUse::Void;
        }
        match request.state {
            RequestState::Running { .. } => return GrantUse::RunsAlready,
            RequestState::Waiting { .. } if !self.adoption.is_ready() => return GrantUse::Void,
            RequestState::Waiting { .. } => {}
            _ => return GrantUse::Void,
        }
        let Some(backend_server) = self.inventory.backend_server(&grant.backend_server) else {
            return GrantUse::Void;
        };
        if backend_server.leaving || self.is_leaving(&backend_server.name) {
            return GrantUse::Leaving;
        }
        let model = self
            .inventory
            .service(&backend_server.service)
            .is_some_and(|service| service.kind != ServiceKind::Plain);
        GrantUse::Dispatch(Dispatch {
            address: backend_server.address,
            backend_server: backend_server.name.clone(),
            deadline_ms: request.deadline_ms,
            expires_ms: (now.monotonic_ms + grant.expires_in_ms).min(request.deadline_ms),
            granted_ms: now.monotonic_ms,
            model,
            path: request.arrival.path.clone(),
            request: request.id.to_string(),
            sequence,
        })
    }

    fn wait_again(&mut self, now: Now, sequence: u64, excluded: Option<Name>) {
        let Some(request) = self.requests.get_active_mut(sequence) else { return };
        request.excluded.extend(excluded);
        request.state = RequestState::Waiting { requested_ms: now.monotonic_ms, coordinator: None };
        if request.deadline_ms <= now.monotonic_ms {
            self.end_with(now, sequence, answers::deadline_passed());
            return;
        }
        self.request_grant(now, sequence);
    }
}
