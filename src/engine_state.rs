//! The state of one backend server at its coordinator: room, health, speed, load and cached
//! prefixes.

use std::collections::VecDeque;

use crate::engine_limit::EngineLimit;
use crate::inventory::BackendServer;
use crate::load_report::LoadReport;
use crate::name::Name;
use crate::prefix_history::PrefixHistory;
use crate::scheduling::GrantRequest;
use crate::server_health::{Health, ServerHealth};
use crate::speed_estimate::SpeedEstimate;
use crate::straggler::{PROBE_INTERVAL_MS, Pace, Straggler};

/// Maximum number of recent grants whose prefill tokens are kept, to add them to an older load
/// sample.
const RECENT_GRANTS_LIMIT: usize = 256;
/// Age at which a load report expires, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 10_000;

/// State of one backend server at its coordinator.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Failures and back-off.
    pub health: ServerHealth,
    /// Time of the last grant, in milliseconds.
    pub last_grant_ms: u64,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// Limit of tokens in progress.
    pub limit: EngineLimit,
    /// Name.
    pub name: Name,
    /// Prompt tokens of granted requests that have no first token yet.
    pub pending_prefill_tokens: u64,
    /// Cached prefixes.
    pub prefixes: PrefixHistory,
    /// Requests in progress.
    pub running_requests: u32,
    /// Tokens in progress.
    pub running_tokens: u64,
    /// Estimate of its speed.
    pub speed: SpeedEstimate,
    /// Slowdown against its usual speed and its peers.
    pub straggler: Straggler,
    /// Whether a granted request expired unreported, and no request at the server succeeded since.
    pub unreported: bool,
    recent_grants: VecDeque<RecentGrant>,
    recent_grants_tokens: u64,
    report: Option<LoadSample>,
}

#[derive(Clone, Debug)]
struct RecentGrant {
    granted_ms: u64,
    tokens: u64,
}

#[derive(Clone, Debug)]
struct LoadSample {
    queued_tokens: u64,
    sampled_ms: u64,
}

impl EngineState {
    /// Returns the initial state of a backend server of the inventory.
    pub fn new(server: &BackendServer) -> Self {
        Self {
            health: ServerHealth::default(),
            last_grant_ms: 0,
            leaving: server.leaving,
            limit: EngineLimit::new(u64::from(server.token_limit_tokens)),
            name: server.name.clone(),
            pending_prefill_tokens: 0,
            prefixes: PrefixHistory::default(),
            recent_grants: VecDeque::new(),
            recent_grants_tokens: 0,
            report: None,
            running_requests: 0,
            running_tokens: 0,
            speed: SpeedEstimate::new(server.prefill_tokens_per_s),
            straggler: Straggler::default(),
            unreported: false,
        }
    }

    /// Returns whether the server may get new requests, now or once it has room.
    pub fn usable(&self, now_ms: u64) -> bool {
        !self.leaving && self.health.health(now_ms) != Health::Down
    }

    /// Returns whether it has room for a request; an idle server has room for any single request.
    pub fn fits(&self, now_ms: u64, cost_tokens: u64) -> bool {
        let room = self.running_tokens + cost_tokens <= self.effective_limit_tokens(now_ms);
        self.running_requests == 0 || room
    }

    /// Returns the limit reduced by health and pace, in tokens.
    pub fn effective_limit_tokens(&self, now_ms: u64) -> u64 {
        let limit_tokens = self.limit.limit_tokens();
        match (self.health.health(now_ms), self.straggler.pace()) {
            _ if self.unreported => 0,
            (Health::Down | Health::Probe, _) | (_, Pace::Probe) => 0,
            (_, Pace::Share(percent)) => limit_tokens * percent / 100,
            (_, Pace::Whole) => limit_tokens,
        }
    }

    /// Returns the expected time until a request would be complete, in milliseconds.
    pub fn expected_completion_ms(
        &self,
        now_ms: u64,
        grant_request: &GrantRequest,
        output_tokens: u32,
    ) -> u64 {
        let cached_tokens = self.prefixes.cached_tokens(&grant_request.prefix_hashes);
        let uncached_tokens = u64::from(grant_request.prompt_tokens).saturating_sub(cached_tokens);
        let prefill_tokens = self.queued_tokens(now_ms).saturating_add(uncached_tokens);
        let decode_ms = self.between_tokens_ms(now_ms) * f64::from(output_tokens);
        self.speed.prefill_ms(prefill_tokens).saturating_add(decode_ms as u64)
    }

    /// Records a load report, and drops the recent grants that its sample includes.
    pub fn update_load(&mut self, now_ms: u64, report: &LoadReport) {
        let sampled_ms = now_ms.saturating_sub(report.age_ms);
        self.report = Some(LoadSample { queued_tokens: report.queued_tokens, sampled_ms });
        while self.recent_grants.front().is_some_and(|grant| grant.granted_ms < sampled_ms) {
            self.remove_oldest_grant();
        }
    }

    /// Resets the limit if its initial value in the inventory changed.
    pub fn set_initial_limit(&mut self, initial_tokens: u64) {
        let new_limit = EngineLimit::new(initial_tokens);
        if new_limit.initial_tokens() != self.limit.initial_tokens() {
            self.limit = new_limit;
        }
    }

    /// Adds a request to those in progress.
    pub fn start_request(&mut self, now_ms: u64, cost_tokens: u64, prefill_tokens: u64) {
        self.running_requests += 1;
        self.running_tokens += cost_tokens;
        self.pending_prefill_tokens += prefill_tokens;
        self.last_grant_ms = now_ms;
        if self.recent_grants.len() >= RECENT_GRANTS_LIMIT {
            self.remove_oldest_grant();
        }
        self.recent_grants.push_back(RecentGrant { granted_ms: now_ms, tokens: prefill_tokens });
        self.recent_grants_tokens += prefill_tokens;
    }

    /// Removes the tokens of a finished prefill from the pending ones.
    pub fn end_prefill(&mut self, prefill_tokens: u64) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Removes a request from those in progress.
    pub fn end_request(&mut self, cost_tokens: u64) {
        self.running_requests = self.running_requests.saturating_sub(1);
        self.running_tokens = self.running_tokens.saturating_sub(cost_tokens);
    }

    /// Returns its state in one word, for operators.
    pub fn state(&self, now_ms: u64) -> &'static str {
        match self.health.health(now_ms) {
            _ if self.leaving => "leaving",
            Health::Down => "down",
            _ if self.unreported || self.straggler.pace() != Pace::Whole => "straggler",
            _ => "in_use",
        }
    }

    fn between_tokens_ms(&self, now_ms: u64) -> f64 {
        let idle = self.running_requests == 0 && now_ms >= self.last_grant_ms + PROBE_INTERVAL_MS;
        match self.straggler.pace() {
            Pace::Whole => self.speed.between_tokens_ms(),
            _ if idle => self.straggler.usual_ms(),
            _ => self.straggler.recent_ms(),
        }
        .unwrap_or(0.0)
    }

    fn remove_oldest_grant(&mut self) {
        if let Some(grant) = self.recent_grants.pop_front() {
            self.recent_grants_tokens -= grant.tokens;
        }
    }

    fn queued_tokens(&self, now_ms: u64) -> u64 {
        let Some(report) = &self.report else { return self.pending_prefill_tokens };
        if now_ms > report.sampled_ms + REPORT_LIFETIME_MS {
            return self.pending_prefill_tokens;
        }
        self.pending_prefill_tokens
            .max(report.queued_tokens.saturating_add(self.recent_grants_tokens))
    }
}
