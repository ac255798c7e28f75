//! Updates a coordinator's estimates and counts from the progress of granted requests.

use crate::coordinator::Coordinator;
use crate::name::Name;
use crate::request_id::RequestId;
use crate::running_requests::{GrantedRequest, RunningRequests};
use crate::scheduling::Progress;

/// Factor on the estimated time of its own prefill within which a first token counts as in time.
const PREFILL_TOLERANCE: u64 = 2;

impl Coordinator {
    /// Applies the progress of a granted request.
    pub(crate) fn apply_progress(&mut self, now_ms: u64, request: &RequestId, progress: &Progress) {
        if !self.running.contains(request) {
            self.record_unknown_progress(request, progress);
            self.restore_lost_grant(now_ms, request);
        }
        match progress {
            Progress::Abandoned | Progress::Cancelled => {
                self.end(request);
            }
            Progress::ConnectFailed => self.record_failure(now_ms, request),
            Progress::Crashed | Progress::Lost => self.record_crash(now_ms, request),
            Progress::Finished { output_tokens, .. } => {
                self.record_finish(now_ms, request, *output_tokens);
            }
            Progress::FirstToken { elapsed_ms } => {
                self.mark_reported(now_ms, request);
                self.record_first_token(now_ms, request, *elapsed_ms);
            }
            Progress::Tokens { between_tokens_ms, .. } => {
                self.mark_reported(now_ms, request);
                self.record_token_interval(now_ms, request, *between_tokens_ms);
            }
        }
    }

    /// Applies progress of a request that is not known to run.
    ///
    /// If a grant that counted as lost dispatched it, a renewed grant request for it may be waiting
    /// and must not be granted.
    fn record_unknown_progress(&mut self, request: &RequestId, progress: &Progress) {
        match progress {
            Progress::Abandoned | Progress::ConnectFailed => {}
            Progress::Cancelled
            | Progress::Crashed
            | Progress::Finished { .. }
            | Progress::FirstToken { .. }
            | Progress::Lost
            | Progress::Tokens { .. } => {
                self.queue.remove(request);
            }
        }
    }

    fn mark_reported(&mut self, now_ms: u64, request: &RequestId) {
        let Some(running) = self.running.get(request) else { return };
        let backend_server = running.backend_server.clone();
        let expires_ms = RunningRequests::reported_expiry_ms(running.deadline_ms.max(now_ms));
        if !running.reported || running.expires_ms < expires_ms {
            self.running.mark_reported(request, expires_ms);
        }
        self.record_success(now_ms, &backend_server);
    }

    fn record_success(&mut self, now_ms: u64, backend_server: &Name) {
        if let Some(engine) = self.engine_mut(backend_server) {
            engine.health.record_success(now_ms);
            engine.unreported = false;
        }
    }

    fn record_crash(&mut self, now_ms: u64, request: &RequestId) {
        let backend_server = self.running.get(request).map(|r| r.backend_server.clone());
        self.record_failure(now_ms, request);
        if let Some(engine) = backend_server.and_then(|name| self.engine_mut(&name)) {
            engine.prefixes.clear();
        }
    }

    fn record_failure(&mut self, now_ms: u64, request: &RequestId) {
        let Some(running) = self.end(request) else { return };
        if let Some(engine) = self.engine_mut(&running.backend_server) {
            engine.health.record_failure(now_ms, &running.backend_server);
        }
    }

    fn record_finish(&mut self, now_ms: u64, request: &RequestId, output_tokens: u32) {
        let Some(running) = self.end(request) else { return };
        self.record_success(now_ms, &running.backend_server);
        self.service_rate.record_completion(now_ms, running.cost_tokens, !self.queue.is_empty());
        if self.is_plain() {
            self.record_plain_answer(now_ms, &running);
        } else {
            self.lengths.record(&running.grant_request.customer, output_tokens);
        }
    }

    fn record_plain_answer(&mut self, now_ms: u64, running: &GrantedRequest) {
        let Some(target_ms) =
            self.tier(running.grant_request.tier_rank).map(|tier| tier.first_token_ms)
        else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(running.granted_ms);
        if let Some(engine) = self.engine_mut(&running.backend_server) {
            let running_tokens = engine.running_tokens + running.cost_tokens;
            engine.limit.measure(now_ms, elapsed_ms, target_ms, running_tokens);
        }
    }

    fn record_first_token(&mut self, now_ms: u64, request: &RequestId, elapsed_ms: u64) {
        let Some(running) = self.running.get_mut(request) else { return };
        let prefill_tokens = std::mem::take(&mut running.prefill_tokens);
        let backlog_tokens = running.prefill_backlog_tokens;
        let backend_server = running.backend_server.clone();
        let tier_rank = running.grant_request.tier_rank;
        let target_ms = self.tier(tier_rank).map_or(u64::MAX, |tier| tier.first_token_ms);
        let Some(engine) = self.engine_mut(&backend_server) else { return };
        engine.end_prefill(prefill_tokens);
        engine.speed.record_prefill(backlog_tokens, elapsed_ms);
        let prefill_limit_ms =
            engine.speed.prefill_ms(prefill_tokens).saturating_mul(PREFILL_TOLERANCE);
        let running_tokens = engine.running_tokens;
        engine.limit.measure(now_ms, elapsed_ms, target_ms.max(prefill_limit_ms), running_tokens);
    }

    fn record_token_interval(&mut self, now_ms: u64, request: &RequestId, between_tokens_ms: u64) {
        let Some(running) = self.running.get(request) else { return };
        let backend_server = running.backend_server.clone();
        let tier = self.tier(running.grant_request.tier_rank);
        let target_ms = tier.map_or(u64::MAX, |tier| tier.between_tokens_ms);
        let peers_ms = self.peers_between_ms(&backend_server);
        let Some(engine) = self.engine_mut(&backend_server) else { return };
        engine.speed.record_decode(between_tokens_ms);
        engine.straggler.measure(between_tokens_ms, peers_ms);
        let running_tokens = engine.running_tokens;
        engine.limit.measure(now_ms, between_tokens_ms, target_ms, running_tokens);
    }

    /// Returns the median of the other servers' recent times between tokens, in milliseconds.
    fn peers_between_ms(&self, backend_server: &Name) -> Option<f64> {
        let peers = self.engines.iter().filter(|engine| engine.name != *backend_server);
        let mut between_ms: Vec<f64> = peers.filter_map(|e| e.straggler.recent_ms()).collect();
        between_ms.sort_by(f64::total_cmp);
        between_ms.get(between_ms.len() / 2).copied()
    }
}
