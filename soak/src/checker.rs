//! Checks what callers and backend servers recorded in a trial against the rules that must hold.

use std::collections::BTreeMap;

use crate::Name;
use crate::streams::Try;

/// Window in which a customer's limit is checked, in milliseconds; as on the users' sites.
pub const LIMIT_WINDOW_MS: u64 = 8_000;
/// Share by which a customer's limit may be exceeded; as on the users' sites.
pub const LIMIT_EXCESS_SHARE: f64 = 0.25;
/// Number of bursts that may run in addition to a customer's limit; as on the users' sites.
pub const SLACK_BURSTS: f64 = 2.0;
/// Time after the revocation of a key, in milliseconds; a request that is sent with the key later
/// than that must not run.
pub const REVOKE_MS: u64 = 5_000;
/// Time after the evacuation of a data centre, in milliseconds; a request that reaches it later than
/// that must come from an instance that was disturbed itself or had no store.
pub const EVACUATE_MS: u64 = 5_000;
/// Time for which an instance must be undisturbed so that its runs in an evacuated data centre count, in
/// milliseconds.
pub const UNDISTURBED_MS: u64 = 4_000;
/// Time before a request, in milliseconds; a fault that ended within it still excuses a lost
/// answer.
pub const FAULT_MARGIN_MS: u64 = 3_000;

/// Time after which an answer that does not come counts as late rather than as lost, in
/// milliseconds; seven tenths of the time of a request.
pub const LOSS_TIME_MS: u64 = 1_800;

/// Requests a second that a cold backend server bears; as on the users' sites.
pub const COLD_PER_S: f64 = 12.0;
/// Time for which a backend server is cold after its start, in milliseconds; as on the users' sites.
pub const COLD_MS: u64 = 3_000;
/// Share of what a cold backend server bears that may reach it in one second.
pub const COLD_OVER: f64 = 1.5;
/// Further requests that may reach it in one second.
pub const COLD_SLACK: f64 = 5.0;
/// Window in which the requests at a cold backend server are counted, in milliseconds.
const COLD_WINDOW_MS: u64 = 1_000;

/// Outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// The complete answer of the backend server to this request.
    Served,
    /// A success that is not the complete answer to this request, or an answer to another request.
    Mixed,
    /// A refusal, which says that the request has not run and never will.
    NotRun,
    /// A failure, or no complete answer: the request may have run.
    Open,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent, in milliseconds from the start.
    pub at_ms: u64,
    /// When the answer ended, in milliseconds from the start.
    pub ended_ms: u64,
    /// Number of the instance and number of its start.
    pub instance: (usize, u64),
    /// Key that it was sent with.
    pub key: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Outcome as its caller saw it.
    pub told: ReportedOutcome,
}

/// One run at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the event after which it resumed a stream; 0 if it started one or was plain.
    pub after: u64,
    /// When it began, in milliseconds from the start.
    pub at_ms: u64,
    /// Name of the backend server's data centre.
    pub data_centre: Name,
    /// Whether the backend server was to break off its answer.
    pub breaks_off: bool,
    /// Name of the customer, as the instance reported it.
    pub customer: String,
    /// Software version of the backend server.
    pub version: Name,
}

/// Period of one injected fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// When it began, in milliseconds from the start.
    pub from_ms: u64,
    /// When it ended, in milliseconds from the start.
    pub until_ms: u64,
    /// Number of the instance and number of its start, if the fault is only its planned stop.
    pub stopped_instance: Option<(usize, u64)>,
}

/// A customer's limit.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Number of requests at once.
    pub burst: f64,
    /// Rate of requests, per second.
    pub per_s: f64,
}

/// Record of one trial.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// When requests reached each backend server while it was cold, in milliseconds from the start.
    pub cold_arrivals: BTreeMap<String, Vec<u64>>,
    /// Limits of customers.
    pub limits: BTreeMap<String, Limit>,
    /// Instances that were disturbed, or all of them, and from when until when, in milliseconds from the
    /// start.
    pub disturbances: Vec<(Option<usize>, u64, u64)>,
    /// When data centres were evacuated and taken back, in milliseconds from the start.
    pub evacuations: Vec<(Name, u64, Option<u64>)>,
    /// Runs, by id of the request.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// When keys were revoked and restored, in milliseconds from the start.
    pub revocations: BTreeMap<String, Vec<(u64, Option<u64>)>>,
    /// Requests, by id.
    pub sent: BTreeMap<String, Sent>,
    /// Tries of each stream in order, by the id of the first one.
    pub streams: BTreeMap<String, Vec<Try>>,
    /// Periods of the faults.
    pub fault_periods: Vec<FaultPeriod>,
}

impl Checker {
    /// Returns a message for each broken rule.
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        for (id, sent) in &self.sent {
            let runs = self.runs.get(id).map(Vec::as_slice).unwrap_or_default();
            if runs.len() > 1 && !sent.repeatable {
                findings.push(format!("{id} ran {} times: {sent:?}", runs.len()));
            }
            if sent.told == ReportedOutcome::NotRun && !runs.is_empty() {
                findings.push(format!("{id} was reported as not run, but ran: {sent:?}"));
            }
            if sent.told == ReportedOutcome::Mixed {
                findings.push(format!("{id} received a wrong or incomplete answer: {sent:?}"));
            }
            if sent.told == ReportedOutcome::Served && runs.is_empty() {
                findings.push(format!("{id} was served and did not run: {sent:?}"));
            }
            if !runs.is_empty() && self.is_revoked(&sent.key, sent.at_ms) {
                findings.push(format!("{id} ran with a revoked key: {sent:?}"));
            }
            if !runs.is_empty()
                && sent.told == ReportedOutcome::Open
                && !runs.iter().any(|run| run.breaks_off)
                && self.is_lost_only_to_stop(sent)
            {
                findings.push(format!("{id} was lost at a planned stop: {sent:?}"));
            }
        }
        let unsent = self.runs.keys().filter(|id| !self.sent.contains_key(*id));
        findings.extend(unsent.map(|id| format!("{id} ran and nobody sent it")));
        findings.extend(self.evacuation_findings());
        findings.extend(self.stream_findings());
        findings.extend(self.cold_excess());
        findings
            .extend(self.limits.iter().filter_map(|(name, limit)| self.limit_excess(name, limit)));
        findings
    }

    /// Returns a message for each answer that was lost in a trial without faults, though its request
    /// ran and had time left.
    pub fn losses(&self) -> Vec<String> {
        let lost = self.sent.iter().filter(|(id, sent)| {
            let ran = self.runs.contains_key(*id);
            let used_ms = sent.ended_ms.saturating_sub(sent.at_ms);
            ran && sent.told == ReportedOutcome::Open && used_ms < LOSS_TIME_MS
        });
        lost.map(|(id, sent)| format!("{id} was lost without a fault: {sent:?}")).collect()
    }

    /// Returns the share of served requests among those sent with a key from `since_ms` on.
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

    fn evacuation_findings(&self) -> Vec<String> {
        let all = self.runs.iter().flat_map(|(id, runs)| runs.iter().map(move |run| (id, run)));
        let late = all.filter(|(id, run)| {
            let sent = self.sent.get(*id);
            let is_in_touch = |sent: &Sent| !self.is_disturbed(sent.instance.0, run.at_ms);
            self.is_evacuated(run) && sent.is_some_and(is_in_touch)
        });
        late.map(|(id, run)| format!("{id} ran in an evacuated data centre: {run:?}")).collect()
    }

    fn is_evacuated(&self, run: &Run) -> bool {
        self.evacuations.iter().any(|(data_centre, from_ms, until_ms)| {
            *data_centre == run.data_centre
                && run.at_ms > from_ms + EVACUATE_MS
                && until_ms.is_none_or(|until_ms| run.at_ms < until_ms)
        })
    }

    /// Returns whether an instance, or the store for it, was disturbed at a time or shortly before.
    fn is_disturbed(&self, instance: usize, at_ms: u64) -> bool {
        let since_ms = at_ms.saturating_sub(UNDISTURBED_MS);
        self.disturbances.iter().any(|(disturbed, from_ms, until_ms)| {
            disturbed.is_none_or(|disturbed| disturbed == instance)
                && *from_ms <= at_ms
                && *until_ms >= since_ms
        })
    }

    /// Returns whether a planned stop of its instance is the only possible cause of a lost answer.
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

    /// Returns a finding for each backend server that got more requests in a second than a cold one may.
    fn cold_excess(&self) -> Vec<String> {
        let allowed = COLD_PER_S * COLD_OVER + COLD_SLACK;
        let most = |times: &Vec<u64>| {
            let counts = times.iter().map(|begin_ms| {
                let window = *begin_ms..begin_ms + COLD_WINDOW_MS;
                times.iter().filter(|at_ms| window.contains(at_ms)).count()
            });
            counts.max().unwrap_or_default()
        };
        let servers = self.cold_arrivals.iter().map(|(id, times)| (id, most(times)));
        let excess = servers.filter(|(_, count)| *count as f64 > allowed);
        excess
            .map(|(id, count)| format!("{id} got {count} requests in a second while cold"))
            .collect()
    }

    /// Returns a finding if a customer ran more requests within a window than its limit allows.
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
