//! Shares the limits that backend servers state among all instances.
//!
//! The coordinator that grants the places at a backend server grants no more of them than its limit
//! allows. While none is known, each instance uses its part of the limit.

use crate::gateway::fleet::additions::ToldLimit;
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::rate_limit::{LimitShares, LimitStatement, StatedLimit};
use crate::gateway::state::GatewayState;
use crate::name::Name;

/// Time for which reports repeat a limit that changed, in milliseconds.
const REPEAT_MS: u64 = 1_500;
/// Maximum number of limits in one report.
const REPORTED_LIMIT: usize = 64;
/// Number of limits in one report that did not change lately.
const REPEATED_LIMITS: usize = 8;
/// Share of a limit that a coordinator uses for each share of the known instances that it hears, in
/// thousandths.
const LIVE_SHARE_PERMILLE: u64 = 1_250;
/// Time after which a report repeats others of these, in milliseconds.
const ROTATION_MS: u64 = 300;

impl GatewayState {
    /// Records what an answer to a request that was sent at `sent_ms` states of the limit of its backend
    /// server; returns whether the limit changed.
    pub fn record_stated_limit(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        backend_server: &Name,
        stated: StatedLimit,
    ) -> bool {
        let Some(statement) = LimitStatement::of_answer(now_ms, sent_ms, stated) else {
            return false;
        };
        let Some(backend) = self.backends.get_mut(backend_server) else { return false };
        let changed = backend.limits.stated.merge(now_ms, statement);
        self.fleet.is_urgent |= changed;
        changed
    }

    pub(crate) fn merge_limits(&mut self, now_ms: u64, told: &[ToldLimit]) {
        for limit in told {
            let statement = LimitStatement {
                millirequests_per_s: limit.millirequests_per_s,
                stated_ms: now_ms.saturating_sub(limit.age_ms),
            };
            self.backends.merge_limit(now_ms, &limit.backend_server, limit.born_ms, statement);
        }
    }

    /// Returns the limits for a report: those that changed lately, and some of the others in turn.
    pub(crate) fn limits_for_report(&self, now_ms: u64) -> Vec<ToldLimit> {
        let mut news = Vec::new();
        let mut others = Vec::new();
        for (backend, statement) in self.backends.told_limits(now_ms) {
            let told = ToldLimit {
                age_ms: now_ms.saturating_sub(statement.stated_ms),
                backend_server: backend.id.clone(),
                born_ms: backend.record.born_ms,
                millirequests_per_s: statement.millirequests_per_s,
            };
            let is_news = now_ms < backend.limits.stated.changed_ms() + REPEAT_MS;
            if is_news { news.push(told) } else { others.push(told) }
        }
        news.truncate(REPORTED_LIMIT);
        if !others.is_empty() {
            let turn = (now_ms / ROTATION_MS) as usize * REPEATED_LIMITS;
            let count = others.len();
            others.rotate_left(turn % count);
            others.truncate(REPEATED_LIMITS);
        }
        news.extend(others);
        news
    }

    /// Updates the shares of limits that this instance may use: a coordinator that hears few of the
    /// known instances leaves room for another one that may hear the rest.
    pub(crate) fn update_limit_shares(&mut self, now_ms: u64) {
        let known = (self.fleet.known_count(now_ms) as u64).max(1);
        let stated_permille = match self.fleet.decider(now_ms) {
            Decider::Own => {
                let live = self.fleet.live_count(now_ms) as u64;
                (live * LIVE_SHARE_PERMILLE / known).clamp(1, 1_000)
            }
            Decider::Other(_) => 0,
            Decider::None => (1_000 / known).max(1),
        };
        let cold_permille = self.cold_share_permille(now_ms, known, stated_permille);
        self.backends.set_limit_shares(now_ms, LimitShares { cold_permille, stated_permille });
    }

    /// Returns the time after which the caller of a request that finds no backend server may retry, in
    /// milliseconds: at least `least_ms`, and not before a limit allows a request.
    pub(crate) fn retry_within_limits_ms(&self, now_ms: u64, service: &str, least_ms: u64) -> u64 {
        let limited_ms = self.backends.limited_for_ms(now_ms, service).unwrap_or_default();
        limited_ms.max(least_ms)
    }
}
