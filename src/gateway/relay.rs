//! Decides for plain and streaming requests what follows a failed send: a retry, a refusal or a
//! failure.

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::{Response, StatusCode};
use log::info;
use tokio::task::spawn_local;

use crate::gateway::admission::{Refusal, RefusalReason, RequestPlan};
use crate::gateway::answer_framing::AnswerFraming;
use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::broken_sends::BrokenSend;
use crate::gateway::exchange::{CallerRequest, Reply, SendFailure, exchange};
use crate::gateway::fleet::message::LeavingServer;
use crate::gateway::fleet_dialer::refuses_connections;
use crate::gateway::forward::rejection;
use crate::gateway::rate_limit::StatedLimit;
use crate::gateway::reply::{ReplyBody, failure_response};
use crate::gateway::send_guard::SendGuard;
use crate::gateway::send_progress::SendProgress;
use crate::gateway::shared::Shared;
use crate::gateway::state::{RETRY_ELSEWHERE_MS, RETRY_SOON_MS};
use crate::gateway::wire::ReplyMetadata;
use crate::name::Name;

/// Number of unreachable backend servers after which a request is refused.
const UNREACHABLE_LIMIT: usize = 3;
/// Time after which a caller may retry a request that a backend server refused, in milliseconds.
const RETRY_REFUSED_MS: u64 = 50;

/// Next step of a request after a send.
pub(crate) enum RelayStep {
    /// The caller receives this answer.
    Answer(Response<ReplyBody>),
    /// The request has failed.
    Fail(FinalFailure),
    /// Another backend server is tried.
    TryAnother,
}

/// Why no backend server answers a request.
#[derive(Debug)]
pub(crate) enum FinalFailure {
    /// A send may have run.
    MayHaveRun { cause: &'static str, timed_out: bool },
    /// It did not run.
    Refused(Refusal),
}

impl FinalFailure {
    /// Returns why, for the log.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Self::MayHaveRun { cause, .. } => cause,
            Self::Refused(refusal) => refusal.reason.name(),
        }
    }
}

/// Events and times of a stream, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamSummary {
    pub(crate) events: u32,
    /// Time from the arrival to the first event, in milliseconds.
    pub(crate) first_event_ms: Option<u64>,
    /// Bytes of the event that was incomplete when a send failed.
    pub(crate) incomplete_event_bytes: usize,
    /// Longest time between two arrivals of events, in milliseconds.
    pub(crate) longest_gap_ms: u64,
}

/// How the answer to the last send arrived, for the log.
#[derive(Clone, Debug)]
struct AnswerSource {
    framing: AnswerFraming,
    on_new_connection: bool,
    /// The instance that its connection ran through.
    via: Option<Name>,
}

/// A request in progress, with the history of its sends.
pub(crate) struct Relay {
    answer_source: Option<AnswerSource>,
    /// The error answer of a backend server, while another one is tried.
    error_answer: Option<Response<ReplyBody>>,
    pub(crate) plan: RequestPlan,
    pub(crate) request: CallerRequest,
    pub(crate) sends: u32,
    pub(crate) shared: Rc<Shared>,
    /// Backend servers that the request was sent to, or that could not be reached.
    pub(crate) tried: Vec<Name>,
    /// Whether a send may have run.
    pub(crate) may_have_run: bool,
    unreachable_count: usize,
    progress: Rc<SendProgress>,
}

impl Relay {
    pub(crate) fn new(shared: Rc<Shared>, plan: RequestPlan, request: CallerRequest) -> Self {
        Self {
            answer_source: None,
            error_answer: None,
            plan,
            request,
            sends: 0,
            shared,
            tried: Vec::new(),
            may_have_run: false,
            unreachable_count: 0,
            progress: Rc::default(),
        }
    }

    /// Sends the request to a backend server and waits for the head of the answer.
    pub(crate) async fn exchange(
        &mut self,
        to: (&Name, SocketAddr),
        resume_after: Option<&str>,
    ) -> Result<Reply, SendFailure> {
        self.record_spent();
        let Self { plan, request, shared, progress, .. } = &*self;
        let result = exchange(shared, plan, request, to, resume_after, progress).await;
        self.count_send(&result);
        result
    }

    /// Records that the backend server of the send in progress has accepted the request.
    pub(crate) fn record_accepted(&mut self) {
        self.error_answer = None;
        self.progress.record_accepted();
    }

    /// Returns the progress of the sends from now on.
    pub(crate) fn next_progress(&mut self) -> Rc<SendProgress> {
        self.progress = Rc::default();
        self.progress.clone()
    }

    /// Records that the send in progress was cancelled; its backend server, unless it was tried
    /// before, may be tried again.
    pub(crate) fn record_cancelled(&mut self, tried_before: usize) {
        if self.progress.is_written() {
            self.sends += 1;
        }
        self.progress.clear_written();
        if self.tried.len() > tried_before {
            self.tried.pop();
        }
    }

    /// Checks again whether the request may be sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal if it may not.
    pub(crate) fn recheck(&self) -> Result<(), Refusal> {
        self.shared.state.borrow().recheck(boot_ms(), &self.plan)
    }

    /// Counts a send whose bytes may have reached a backend server.
    fn count_send(&mut self, result: &Result<Reply, SendFailure>) {
        self.answer_source = None;
        self.progress.clear_written();
        if !result.as_ref().is_err_and(SendFailure::sent_nothing) {
            self.sends += 1;
        }
    }

    /// Records the units of the request as spent before its first send.
    fn record_spent(&mut self) {
        self.shared.state.borrow_mut().record_spent(boot_ms(), &mut self.plan);
    }

    /// Records how an answer arrived, and what the backend server announced about itself in it.
    pub(crate) fn record_reply(&mut self, guard: &mut SendGuard, reply: &Reply) {
        let on_new_connection = reply.connection.is_new;
        let via = reply.connection.via().cloned();
        let now_ms = boot_ms();
        if via.is_none() {
            self.shared.paths.borrow_mut().record_answer(now_ms);
        }
        let backend_server = &guard.started_send().backend_server;
        self.shared.state.borrow_mut().record_activity(now_ms, backend_server);
        self.answer_source = Some(AnswerSource { framing: reply.framing, on_new_connection, via });
        self.note_announcements(guard, &reply.metadata);
    }

    fn note_announcements(&self, guard: &mut SendGuard, reply: &ReplyMetadata) {
        guard.record_pause(reply.pause_ms);
        self.note_limit(guard, reply.limit);
        if let Some(cold_ms) = reply.cold_ms {
            let backend_server = &guard.started_send().backend_server;
            self.shared.state.borrow_mut().record_stated_cold(boot_ms(), backend_server, cold_ms);
        }
        if !reply.is_leaving {
            return;
        }
        let mut state = self.shared.state.borrow_mut();
        let backend_server = guard.started_send().backend_server.clone();
        let born_ms = state.backends().get(&backend_server).and_then(|known| known.record.born_ms);
        for id in state.mark_leaving(&[LeavingServer { backend_server, born_ms }]) {
            info!(target: "beliefs", backend_server = &*id; "Backend server announced that it leaves.");
            self.shared.connections.close(&id);
        }
        self.shared.report_soon.notify_one();
    }

    fn note_limit(&self, guard: &SendGuard, stated: StatedLimit) {
        let backend_server = &guard.started_send().backend_server;
        let mut state = self.shared.state.borrow_mut();
        if !state.record_stated_limit(boot_ms(), guard.sent_ms(), backend_server, stated) {
            return;
        }
        let limit = state.backends().get(backend_server).map(|known| known.limits.stated);
        let requests_per_s = limit.and_then(|limit| limit.millirequests_per_s());
        let requests_per_s = requests_per_s.map(|rate| rate as f64 / 1_000.0);
        info!(
            target: "limits",
            backend_server = &**backend_server,
            requests_per_s;
            "Limit stated by a backend server changed."
        );
        self.shared.report_soon.notify_one();
    }

    /// Returns whether the route and the retry budget allow a retry, and takes it from the budget.
    pub(crate) fn may_retry(&mut self) -> bool {
        self.sends < self.plan.route.attempts
            && self.shared.state.borrow_mut().take_retry(boot_ms(), &self.plan.service)
    }

    /// Returns the next step after a backend server reported that it did not run the request.
    pub(crate) fn after_refusal(&mut self) -> RelayStep {
        if self.may_retry() {
            return RelayStep::TryAnother;
        }
        let refusal = Refusal::retryable(RefusalReason::RefusedByBackend, RETRY_REFUSED_MS);
        RelayStep::Fail(self.refuse(refusal))
    }

    /// Returns the next step after a backend server could not be reached.
    pub(crate) fn after_unreachable(&mut self) -> RelayStep {
        self.unreachable_count += 1;
        if self.unreachable_count < UNREACHABLE_LIMIT {
            return RelayStep::TryAnother;
        }
        let refusal = Refusal::retryable(RefusalReason::NoBackendServer, RETRY_SOON_MS);
        RelayStep::Fail(self.refuse(refusal))
    }

    /// Ends a failed send and returns the next step.
    pub(crate) fn after_failure(
        &mut self,
        guard: SendGuard,
        failure: &SendFailure,
        summary: StreamSummary,
    ) -> RelayStep {
        let backend_server = guard.started_send().backend_server.clone();
        info!(
            target: "send",
            request = &*self.plan.request_id,
            backend_server = &*backend_server,
            failure:%,
            after_ms = boot_ms().saturating_sub(guard.sent_ms()),
            events = summary.events,
            framing = self.answer_source.as_ref().map(|source| source.framing.name()),
            on_new_connection = self.answer_source.as_ref().map(|source| source.on_new_connection),
            incomplete_event_bytes = summary.incomplete_event_bytes,
            via = self.answer_source.as_ref().and_then(|source| source.via.as_deref());
            "Send failed."
        );
        if matches!(failure, SendFailure::NoLongerAllowed) {
            return RelayStep::TryAnother;
        }
        if failure.sent_nothing() {
            let state = self.shared.state.borrow();
            let awaits_proof = state.awaits_crash_proof(boot_ms(), &backend_server);
            drop(state);
            if failure.is_refused_connection() && awaits_proof {
                self.check_for_crash(&guard);
            }
            match failure.is_refused_connection() {
                true => guard.end_refused(),
                false => guard.end(SendOutcome::Unreachable),
            }
            self.shared.connections.close(&backend_server);
            return self.after_unreachable();
        }
        if matches!(failure, SendFailure::ConnectionBroken(_)) {
            self.record_broken_send(&guard);
        }
        guard.end(SendOutcome::Failed);
        self.may_have_run = true;
        let timed_out = matches!(failure, SendFailure::TimedOut);
        if !timed_out && self.plan.route.is_repeatable() && self.may_retry() {
            return RelayStep::TryAnother;
        }
        RelayStep::Fail(FinalFailure::MayHaveRun { cause: "send_failed", timed_out })
    }

    /// Records that the request of a send may have crashed its backend server.
    pub(crate) fn record_broken_send(&self, guard: &SendGuard) {
        let broken_send = self.broken_send(guard);
        if self.shared.state.borrow_mut().record_broken_send(broken_send) {
            self.check_for_crash(guard);
        }
    }

    /// Returns what is recorded of a send whose connection breaks now.
    pub(crate) fn broken_send(&self, guard: &SendGuard) -> BrokenSend {
        let prompt = self.plan.prompt.as_ref().filter(|_| !guard.has_started());
        BrokenSend {
            backend_server: guard.started_send().backend_server.clone(),
            broken_ms: boot_ms(),
            fingerprint: self.plan.fingerprint,
            sent_ms: guard.sent_ms(),
            unstarted_parts: prompt.map(|prompt| prompt.shared_parts()).unwrap_or_default(),
        }
    }

    /// Finds out whether the backend server of a broken send crashed.
    fn check_for_crash(&self, guard: &SendGuard) {
        let Some(address) = guard.started_send().address else { return };
        let backend_server = guard.started_send().backend_server.clone();
        let shared = self.shared.clone();
        spawn_local(async move {
            if refuses_connections(&shared, &backend_server, address).await {
                shared.state.borrow_mut().record_crash(boot_ms(), &backend_server);
                shared.dispatch_waiting();
            }
        });
    }

    /// Returns the failure of a request that is refused now: it did not run unless a send may have.
    pub(crate) fn refuse(&self, refusal: Refusal) -> FinalFailure {
        if self.may_have_run {
            let timed_out = refusal.reason == RefusalReason::TimedOut;
            return FinalFailure::MayHaveRun { cause: refusal.reason.name(), timed_out };
        }
        FinalFailure::Refused(refusal)
    }

    /// Returns the answer to the caller of a request that the process can't wait for any more.
    pub(crate) fn answer_exit(&mut self, summary: StreamSummary) -> Response<ReplyBody> {
        self.may_have_run |= self.progress.is_written();
        let refusal = Refusal::retryable(RefusalReason::Stopping, RETRY_ELSEWHERE_MS);
        let failure = self.refuse(refusal);
        self.answer_failure(&failure, summary)
    }

    /// Keeps the error answer of a backend server in case no other one answers.
    pub(crate) fn keep_error_answer(&mut self, response: Response<ReplyBody>) {
        self.error_answer = Some(response);
    }

    /// Returns the answer to the caller of a failed request.
    pub(crate) fn answer_failure(
        &mut self,
        failure: &FinalFailure,
        summary: StreamSummary,
    ) -> Response<ReplyBody> {
        if let Some(response) = self.error_answer.take() {
            self.log_end(response.status(), summary);
            return response;
        }
        let timed_out = match failure {
            FinalFailure::Refused(refusal) => return rejection(&self.shared, &self.plan, refusal),
            FinalFailure::MayHaveRun { timed_out, .. } => *timed_out,
        };
        let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.log_end(status, summary);
        failure_response(timed_out)
    }

    /// Logs and counts the end of the request.
    pub(crate) fn log_end(&self, status: StatusCode, summary: StreamSummary) {
        let elapsed_ms = boot_ms().saturating_sub(self.plan.arrived_ms);
        info!(
            target: "end",
            request = &*self.plan.request_id,
            route = &*self.plan.route.name,
            status = status.as_u16(),
            sends = self.sends,
            events = summary.events,
            first_event_ms = summary.first_event_ms,
            longest_gap_ms = summary.longest_gap_ms,
            framing = self.answer_source.as_ref().map(|source| source.framing.name()),
            on_new_connection = self.answer_source.as_ref().map(|source| source.on_new_connection),
            elapsed_ms,
            via = self.answer_source.as_ref().and_then(|source| source.via.as_deref());
            "Request completed."
        );
        self.shared.counters.record_answer(status, elapsed_ms);
    }
}
