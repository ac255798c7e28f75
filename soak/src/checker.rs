//! What callers and backend servers saw, and what must hold of it.

use std::collections::BTreeMap;

/// Length of a window of a customer's limit, in milliseconds; as on the users' sites.
pub const LIMIT_WINDOW_MS: u64 = 8_000;
/// Part of a customer's limit that may be exceeded; as on the users' sites.
pub const LIMIT_EXCESS_SHARE: f64 = 0.25;
/// Bursts beyond a customer's limit that may be spent; as on the users' sites.
pub const SLACK_BURSTS: f64 = 2.0;
/// Time after which a key that was taken away lets nothing run, in milliseconds.
pub const REVOKE_MS: u64 = 5_000;
/// Time around a planned stop in which another fault excuses a lost answer, in milliseconds.
pub const FAULT_MARGIN_MS: u64 = 3_000;

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// A whole success that is the backend server's.
    Served,
    /// A success that is not the backend server's answer to this request, or not whole.
    Mixed,
    /// It has not run and never will.
    NotRun,
    /// It failed, or nothing came back whole.
    Open,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent, in milliseconds from the start.
    pub at_ms: u64,
    /// When the answer ended, in milliseconds from the start.
    pub ended_ms: u64,
    /// Name of the instance and the number of its start.
    pub instance: (usize, u64),
    /// Key that it came with.
    pub key: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What the caller was told.
    pub told: ReportedOutcome,
}

/// One run at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began, in milliseconds from the start.
    pub at_ms: u64,
    /// Name of the customer that the instance named.
    pub customer: String,
}

/// A time in which something was wrong.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// When it began, in milliseconds from the start.
    pub from_ms: u64,
    /// When it was over.
    pub until_ms: u64,
    /// Instance and its start that was told to stop, if that is all that happened.
    pub stopped_instance: Option<(usize, u64)>,
}

/// A customer's limit.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Requests at once.
    pub burst: f64,
    /// Requests in a second.
    pub per_s: f64,
}

/// Everything that was seen in one trial.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// Limits of customers.
    pub limits: BTreeMap<String, Limit>,
    /// Runs, by id of the request.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// When keys were taken away and given back, in milliseconds from the start.
    pub revocations: BTreeMap<String, Vec<(u64, Option<u64>)>>,
    /// Requests, by id.
    pub sent: BTreeMap<String, Sent>,
    /// Times in which something was wrong.
    pub fault_periods: Vec<FaultPeriod>,
}

impl Checker {
    /// Returns everything that broke a rule.
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        for (id, sent) in &self.sent {
            let runs = self.runs.get(id).map(Vec::as_slice).unwrap_or_default();
            if runs.len() > 1 && !sent.repeatable {
                findings.push(format!("{id} ran {} times: {sent:?}", runs.len()));
            }
            if sent.told == ReportedOutcome::NotRun && !runs.is_empty() {
                findings.push(format!("{id} was told not to have run, and ran: {sent:?}"));
            }
            if sent.told == ReportedOutcome::Mixed {
                findings.push(format!("{id} got another answer or part of one: {sent:?}"));
            }
            if sent.told == ReportedOutcome::Served && runs.is_empty() {
                findings.push(format!("{id} was served and did not run: {sent:?}"));
            }
            if !runs.is_empty() && self.is_revoked(&sent.key, sent.at_ms) {
                findings.push(format!("{id} ran with a key that was taken away: {sent:?}"));
            }
            if !runs.is_empty()
                && sent.told == ReportedOutcome::Open
                && self.is_lost_only_to_stop(sent)
            {
                findings.push(format!("{id} was lost at a planned stop: {sent:?}"));
            }
        }
        let unsent = self.runs.keys().filter(|id| !self.sent.contains_key(*id));
        findings.extend(unsent.map(|id| format!("{id} ran and nobody sent it")));
        findings
            .extend(self.limits.iter().filter_map(|(name, limit)| self.limit_excess(name, limit)));
        findings
    }

    /// Returns the share of requests that were served among those sent with a key after a moment.
    pub fn served_share(&self, key: &str, since_ms: u64) -> f64 {
        let is_counted = |sent: &&Sent| sent.at_ms >= since_ms && sent.key == key;
        let sent: Vec<_> = self.sent.values().filter(is_counted).collect();
        let served = sent.iter().filter(|sent| sent.told == ReportedOutcome::Served).count();
        served as f64 / sent.len().max(1) as f64
    }

    fn is_revoked(&self, key: &str, at_ms: u64) -> bool {
        let spans = self.revocations.get(key).map(Vec::as_slice).unwrap_or_default();
        spans.iter().any(|(from_ms, until_ms)| {
            at_ms > from_ms + REVOKE_MS && until_ms.is_none_or(|until_ms| at_ms < until_ms)
        })
    }

    /// Returns whether only a planned stop of its instance can be why an answer did not come.
    fn is_lost_only_to_stop(&self, sent: &Sent) -> bool {
        let from_ms = sent.at_ms.saturating_sub(FAULT_MARGIN_MS);
        let overlapping = self
            .fault_periods
            .iter()
            .filter(|period| period.from_ms <= sent.ended_ms && period.until_ms >= from_ms);
        let mut stopped = false;
        for period in overlapping {
            match period.stopped_instance {
                Some(instance) => stopped |= instance == sent.instance,
                None => return false,
            }
        }
        stopped
    }

    fn limit_excess(&self, customer: &str, limit: &Limit) -> Option<String> {
        let runs = self.runs.values().flatten().filter(|run| run.customer == customer);
        let mut times: Vec<u64> = runs.map(|run| run.at_ms).collect();
        times.sort_unstable();
        let window_s = LIMIT_WINDOW_MS as f64 / 1_000.0;
        let allowed = (limit.per_s * window_s + limit.burst) * (1.0 + LIMIT_EXCESS_SHARE)
            + SLACK_BURSTS * limit.burst;
        let mut first = 0;
        for last in 0..times.len() {
            while times[last] - times[first] > LIMIT_WINDOW_MS {
                first += 1;
            }
            let count = last - first + 1;
            if count as f64 > allowed {
                let at_ms = times[last];
                return Some(format!(
                    "{customer} ran {count} requests up to {at_ms} ms, {allowed} are allowed"
                ));
            }
        }
        None
    }
}
