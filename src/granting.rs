//! Decides which waiting requests of a service are granted a backend server now.

use crate::backend_choice::{BackendChoice, Candidate, choose_backend_server};
use crate::coordinator::Coordinator;
use crate::name::Name;
use crate::running_requests::RunningRequests;
use crate::scheduler::SchedulerEffect;
use crate::scheduling::{Grant, GrantRequest, RefusalReason};
use crate::shedding::Timeliness;
use crate::waiting_queue::QueuePosition;

/// Time for which a grant is valid after its arrival, in milliseconds.
pub const GRANT_EXPIRES_MS: u64 = 1_000;
/// Maximum number of requests that one decision skips in one tier.
const SKIPPED_LIMIT_REQUESTS: usize = 64;
/// Multiple of the expected time to first token after which an unreported grant counts as lost.
const FIRST_TOKEN_TOLERANCE: u64 = 2;
/// Smallest room with which a busy backend server is considered, in tokens.
const MIN_ROOM_TOKENS: u64 = 1;

/// Outcome of trying to grant one waiting request.
enum GrantAttempt {
    /// The request was granted or refused.
    Decided,
    /// The request stays in the queue; others may be granted.
    Skipped(QueuePosition),
    /// No further request of this tier can be granted now.
    TierDone,
}

impl Coordinator {
    /// Refuses the waiting requests that must be refused, and grants those that fit.
    pub(crate) fn serve_queue(&mut self, now_ms: u64, effects: &mut Vec<SchedulerEffect>) {
        self.refuse_expired(now_ms, effects);
        self.refuse_infeasible(now_ms, effects);
        if self.settled_ms.is_some_and(|settled_ms| settled_ms <= now_ms) {
            self.grant_waiting(now_ms, effects);
        }
    }

    fn grant_waiting(&mut self, now_ms: u64, effects: &mut Vec<SchedulerEffect>) {
        let has_room = |engine: &crate::engine_state::EngineState| {
            engine.usable(now_ms) && engine.fits(now_ms, MIN_ROOM_TOKENS)
        };
        let mut reserved: Vec<bool> = self.engines.iter().map(|e| !has_room(e)).collect();
        for rank in self.queue.ranks() {
            let mut skipped_requests = 0;
            self.queue.clear_skipped(rank);
            while reserved.contains(&false) && skipped_requests < SKIPPED_LIMIT_REQUESTS {
                match self.grant_next(now_ms, rank, &mut reserved, effects) {
                    GrantAttempt::Decided => {}
                    GrantAttempt::Skipped(position) => {
                        self.queue.skip(rank, position);
                        skipped_requests += 1;
                    }
                    GrantAttempt::TierDone => break,
                }
            }
        }
    }

    fn grant_next(
        &mut self,
        now_ms: u64,
        rank: u8,
        reserved: &mut [bool],
        effects: &mut Vec<SchedulerEffect>,
    ) -> GrantAttempt {
        let Some((position, waiting)) = self.queue.next_in_order(rank) else {
            return GrantAttempt::TierDone;
        };
        let candidate = Candidate {
            grant_request: &waiting.grant_request,
            cost_tokens: waiting.cost_tokens,
            output_tokens: waiting.output_tokens,
        };
        if must_wait_for_duplicate(&self.suspects, &self.running, candidate.grant_request) {
            return GrantAttempt::Skipped(position);
        }
        match choose_backend_server(now_ms, &self.engines, reserved, candidate) {
            BackendChoice::Skip => GrantAttempt::Skipped(position),
            BackendChoice::Reserve(index) => {
                reserved[index] = true;
                GrantAttempt::Skipped(position)
            }
            BackendChoice::Select(index) => {
                let request = waiting.grant_request.request.clone();
                match self.timeliness(now_ms, rank, index, &request) {
                    Timeliness::InTime => {
                        let backend_server = self.engines[index].name.clone();
                        effects.push(self.grant(now_ms, request, backend_server));
                    }
                    Timeliness::LateHere => return GrantAttempt::Skipped(position),
                    Timeliness::LateEverywhere => {
                        if let Some(waiting) = self.queue.remove(&request) {
                            let reason = RefusalReason::CannotFinishInTime;
                            effects.push(self.refusal(&waiting.grant_request, reason));
                        }
                    }
                }
                GrantAttempt::Decided
            }
        }
    }

    fn grant(
        &mut self,
        now_ms: u64,
        request: crate::request_id::RequestId,
        backend_server: Name,
    ) -> SchedulerEffect {
        if let Some(waiting) = self.queue.grant(&request) {
            let prefill_tokens = self.prefill_tokens(&waiting.grant_request, &backend_server);
            let first_token_ms =
                self.first_token_ms(prefill_tokens, &waiting.grant_request, &backend_server);
            let reported_expiry_ms = RunningRequests::reported_expiry_ms(waiting.deadline_ms);
            let unreported_expiry_ms =
                RunningRequests::unreported_expiry_ms(now_ms, GRANT_EXPIRES_MS, first_token_ms);
            let expires_ms = if self.is_plain() {
                reported_expiry_ms
            } else {
                unreported_expiry_ms.min(reported_expiry_ms)
            };
            self.start(now_ms, &backend_server, waiting, prefill_tokens, expires_ms);
        }
        SchedulerEffect::Grant(Grant { backend_server, expires_in_ms: GRANT_EXPIRES_MS, request })
    }

    fn prefill_tokens(&self, grant_request: &GrantRequest, backend_server: &Name) -> u64 {
        let engine = self.engines.iter().find(|engine| engine.name == *backend_server);
        let cached_tokens =
            engine.map_or(0, |e| e.prefixes.cached_tokens(&grant_request.prefix_hashes));
        u64::from(grant_request.prompt_tokens).saturating_sub(cached_tokens)
    }

    fn first_token_ms(
        &self,
        prefill_tokens: u64,
        grant_request: &GrantRequest,
        backend_server: &Name,
    ) -> u64 {
        let engine = self.engines.iter().find(|engine| engine.name == *backend_server);
        let backlog_ms =
            engine.map_or(0, |e| e.speed.prefill_ms(e.pending_prefill_tokens + prefill_tokens));
        let target_ms = self.tier(grant_request.tier_rank).map_or(0, |tier| tier.first_token_ms);
        backlog_ms.max(target_ms).saturating_mul(FIRST_TOKEN_TOLERANCE)
    }
}

fn must_wait_for_duplicate(
    suspects: &[u64],
    running: &RunningRequests,
    grant_request: &GrantRequest,
) -> bool {
    suspects.binary_search(&grant_request.fingerprint).is_ok()
        && running.contains_fingerprint(grant_request.fingerprint)
}
