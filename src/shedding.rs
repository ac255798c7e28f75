//! Decides which requests a coordinator refuses, and when.
//!
//! Requests are shed only from the lowest waiting tier upwards, and within a tier the request with
//! the least slack to its deadline first. Nothing is refused on an estimate before enough answers
//! were measured.
//!
//! A waiting request is refused early only by a low estimate of its time: a short answer at the
//! best server. Right before its grant it is refused by a high estimate: a long answer at each
//! server under its current load, since a wasted prefill delays requests that could finish in time.

use crate::coordinator::Coordinator;
use crate::engine_state::EngineState;
use crate::request_id::RequestId;
use crate::scheduler::SchedulerEffect;
use crate::scheduling::{GrantRequest, Refusal, RefusalReason};

/// Maximum number of requests that wait at one coordinator.
pub const QUEUE_LIMIT_REQUESTS: usize = 4_096;
/// Share of an estimated time that is assumed as the least possible time, in percent.
const ESTIMATE_PERCENT: u64 = 80;
const RETRY_AFTER_NO_BACKEND_SERVER_MS: u64 = 1_000;
/// Shortest retry delay of a request refused for overload, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 500;
/// Longest retry delay of a request refused for overload, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// Retry delay of a request refused for overload before the service rate was measured, in
/// milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 2_000;
const RETRY_AFTER_QUARANTINE_MS: u64 = 60_000;

/// Whether a grant request is admitted to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueAdmission {
    /// It is admitted.
    Admitted,
    /// It is refused.
    Refused(RefusalReason),
}

/// Whether a request would be complete before its deadline, by estimate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Timeliness {
    /// It would be, or it may not be refused on an estimate.
    InTime,
    /// It would be late at each backend server.
    LateEverywhere,
    /// It would be late at the given backend server, but not at each one.
    LateHere,
}

impl Coordinator {
    /// Estimates whether a waiting request of the lowest tier would be in time at a server.
    pub(crate) fn timeliness(
        &self,
        now_ms: u64,
        rank: u8,
        index: usize,
        request: &RequestId,
    ) -> Timeliness {
        if self.queue.lowest_rank() != Some(rank) {
            return Timeliness::InTime;
        }
        let Some(waiting) = self.queue.get(request) else { return Timeliness::InTime };
        let grant_request = &waiting.grant_request;
        let Some(output_tokens) = self
            .lengths
            .trusted_upper_tokens(&grant_request.customer, grant_request.max_output_tokens)
        else {
            return Timeliness::InTime;
        };
        let late = |engine: &EngineState| {
            let completion_ms = engine.expected_completion_ms(now_ms, grant_request, output_tokens);
            now_ms.saturating_add(completion_ms) > waiting.deadline_ms
        };
        let mut usable = self.engines.iter().filter(|engine| engine.usable(now_ms));
        match late(&self.engines[index]) {
            false => Timeliness::InTime,
            true if usable.all(late) => Timeliness::LateEverywhere,
            true => Timeliness::LateHere,
        }
    }

    /// Returns the effect that refuses a request, and counts it if it is refused for load.
    pub(crate) fn refusal(
        &mut self,
        grant_request: &GrantRequest,
        reason: RefusalReason,
    ) -> SchedulerEffect {
        let request = grant_request.request.clone();
        let retry_after_ms = match reason {
            RefusalReason::CannotFinishInTime | RefusalReason::NoRoom => {
                self.count_shed(grant_request.tier_rank);
                self.overload_retry_after_ms()
            }
            RefusalReason::NoBackendServer => RETRY_AFTER_NO_BACKEND_SERVER_MS,
            RefusalReason::Quarantined => RETRY_AFTER_QUARANTINE_MS,
        };
        SchedulerEffect::Refuse(Refusal { reason, request, retry_after_ms })
    }

    /// Counts a request that was refused for load or expired.
    pub(crate) fn count_shed(&mut self, rank: u8) {
        let lower_waits = self.queue.lowest_rank().is_some_and(|lowest| lowest > rank);
        self.shed.count(rank, lower_waits);
    }

    /// Returns the retry delay of a request refused for overload, in milliseconds: the estimated
    /// time until the current queue is served, within the shortest and the longest delay.
    fn overload_retry_after_ms(&self) -> u64 {
        let wait_ms = self.service_rate.wait_ms(self.queue.tokens_above(u8::MAX));
        let retry_after_ms = wait_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
        retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Decides whether a grant request may join the queue, apart from the queue's limit.
    pub(crate) fn admit(&mut self, grant_request: &GrantRequest) -> QueueAdmission {
        if self.quarantined.binary_search(&grant_request.fingerprint).is_ok() {
            return QueueAdmission::Refused(RefusalReason::Quarantined);
        }
        if grant_request.time_left_ms == 0 {
            return QueueAdmission::Refused(RefusalReason::CannotFinishInTime);
        }
        if self.inventory.is_some() && !self.has_candidate(grant_request) {
            return QueueAdmission::Refused(RefusalReason::NoBackendServer);
        }
        self.admit_retry(grant_request)
    }

    /// Refuses the waiting requests that no backend server is left for.
    pub(crate) fn refuse_without_candidates(&mut self, effects: &mut Vec<SchedulerEffect>) {
        let queue = std::mem::take(&mut self.queue);
        let mut kept = queue;
        let removed = kept.remove_where(|grant_request| !self.has_candidate(grant_request));
        self.queue = kept;
        for waiting in removed {
            effects.push(self.refusal(&waiting.grant_request, RefusalReason::NoBackendServer));
        }
    }

    /// Refuses requests from the lowest tier upwards while the queue is over its limit.
    pub(crate) fn make_room(&mut self, effects: &mut Vec<SchedulerEffect>) {
        while self.queue.len() > QUEUE_LIMIT_REQUESTS {
            let Some(waiting) = self.queue.least_slack() else { return };
            let request = waiting.grant_request.request.clone();
            if let Some(waiting) = self.queue.remove(&request) {
                effects.push(self.refusal(&waiting.grant_request, RefusalReason::NoRoom));
            }
        }
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub(crate) fn refuse_expired(&mut self, now_ms: u64, effects: &mut Vec<SchedulerEffect>) {
        while let Some(request) = self.queue.expired(now_ms) {
            if let Some(waiting) = self.queue.remove(&request) {
                effects
                    .push(self.refusal(&waiting.grant_request, RefusalReason::CannotFinishInTime));
            }
        }
    }

    /// Refuses the requests of the lowest waiting tier that can't finish in time.
    pub(crate) fn refuse_infeasible(&mut self, now_ms: u64, effects: &mut Vec<SchedulerEffect>) {
        while let Some(waiting) = self.queue.least_slack() {
            let start_ms =
                now_ms.saturating_add(self.least_wait_ms(waiting.grant_request.tier_rank));
            if waiting.latest_start_ms >= start_ms {
                return;
            }
            let request = waiting.grant_request.request.clone();
            let Some(waiting) = self.queue.remove(&request) else { return };
            let deadline_ms = waiting.deadline_ms;
            let mut grant_request = waiting.grant_request;
            grant_request.time_left_ms = deadline_ms.saturating_sub(now_ms);
            let reestimated = self.estimate(now_ms, grant_request);
            if reestimated.latest_start_ms < start_ms {
                effects.push(
                    self.refusal(&reestimated.grant_request, RefusalReason::CannotFinishInTime),
                );
            } else {
                let weight = self.weight(&reestimated.grant_request.customer);
                self.queue.insert(reestimated, weight);
            }
        }
    }

    /// Estimates the least time until the higher tiers are served, in milliseconds; 0 before
    /// enough was measured.
    fn least_wait_ms(&self, rank: u8) -> u64 {
        let wait_ms = self.service_rate.wait_ms(self.queue.tokens_above(rank)).unwrap_or(0);
        wait_ms / 100 * ESTIMATE_PERCENT
    }

    /// Estimates the least time that a request takes at the best backend server, in milliseconds,
    /// or nothing before enough was measured.
    pub(crate) fn least_service_ms(&self, grant_request: &GrantRequest) -> Option<u64> {
        let output_tokens =
            self.lengths.lower_tokens(&grant_request.customer, grant_request.max_output_tokens)?;
        let measured = self.engines.iter().filter(|engine| !engine.leaving);
        let between_ms =
            measured.filter_map(|engine| engine.speed.between_tokens_ms()).reduce(f64::min)?;
        let prefill_ms = self.engines.iter().map(|engine| {
            let cached_tokens = engine.prefixes.cached_tokens(&grant_request.prefix_hashes);
            engine
                .speed
                .prefill_ms(u64::from(grant_request.prompt_tokens).saturating_sub(cached_tokens))
        });
        let decode_ms = (between_ms * f64::from(output_tokens)) as u64;
        let service_ms = prefill_ms.min()?.saturating_add(decode_ms);
        Some(service_ms / 100 * ESTIMATE_PERCENT)
    }

    fn admit_retry(&mut self, grant_request: &GrantRequest) -> QueueAdmission {
        if grant_request.excluded.is_empty() {
            self.retry_budget.earn();
            return QueueAdmission::Admitted;
        }
        let lower_waits =
            self.queue.lowest_rank().is_some_and(|rank| rank > grant_request.tier_rank);
        if self.queue.contains(&grant_request.request) || self.retry_budget.spend() || lower_waits {
            return QueueAdmission::Admitted;
        }
        QueueAdmission::Refused(RefusalReason::NoBackendServer)
    }

    fn has_candidate(&self, grant_request: &GrantRequest) -> bool {
        let mut candidates = self.engines.iter().filter(|engine| !engine.leaving);
        candidates.any(|engine| !grant_request.excluded.contains(&engine.name))
    }
}
