//! Decides when an ejected backend server gets a request again, and when it is trusted.

use crate::gateway::outliers::record::{Ejection, OutcomeRecord, Standing};

/// Time between two trials, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;
/// Time between two trials of a server that answered the last one, in milliseconds.
const ANSWERED_INTERVAL_MS: u64 = 200;
/// Longest time between two trials of a server whose trials fail, in milliseconds.
const MAX_TRIAL_INTERVAL_MS: u64 = 8_000;
/// Failed trials after which the time between two of them doubles.
const TRIALS_PER_INTERVAL: u32 = 4;
/// Answered trials in a row after which a server is trusted.
const ANSWERED_TRIALS: u32 = 3;

/// What the end of a request means for an ejected server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrialResult {
    /// It stays ejected.
    Ejected,
    /// It is trusted again.
    Trusted,
}

impl Ejection {
    /// Returns an ejection that begins now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            next_trial_ms: now_ms + TRIAL_INTERVAL_MS,
            answered_trials: 0,
            failed_trials: 0,
        }
    }

    /// Records that a request is sent there.
    pub fn begin_trial(&mut self, now_ms: u64) {
        self.next_trial_ms = now_ms + self.interval_ms();
    }

    fn interval_ms(&self) -> u64 {
        let doublings = self.failed_trials / TRIALS_PER_INTERVAL;
        (TRIAL_INTERVAL_MS << doublings.min(8)).min(MAX_TRIAL_INTERVAL_MS)
    }
}

impl OutcomeRecord {
    /// Returns whether a request may be sent there as a trial.
    pub fn is_trial_due(&self, now_ms: u64) -> bool {
        self.ejection().is_some_and(|ejection| now_ms >= ejection.next_trial_ms)
    }

    /// Records that a request is sent there.
    pub fn begin_send(&mut self, now_ms: u64) {
        if let Standing::Ejected(ejection) = &mut self.standing {
            ejection.begin_trial(now_ms);
        }
    }

    /// Records the end of a request that was begun at `begun_ms` at an ejected server; one that was
    /// begun before the ejection is no trial.
    pub fn end_trial(&mut self, now_ms: u64, begun_ms: u64, failed: bool) -> TrialResult {
        let Standing::Ejected(ejection) = &mut self.standing else { return TrialResult::Trusted };
        if begun_ms < ejection.since_ms {
            return TrialResult::Ejected;
        }

        if failed {
            ejection.answered_trials = 0;
            ejection.failed_trials = ejection.failed_trials.saturating_add(1);
            return TrialResult::Ejected;
        }
        ejection.answered_trials += 1;
        ejection.failed_trials = 0;
        ejection.next_trial_ms = ejection.next_trial_ms.min(now_ms + ANSWERED_INTERVAL_MS);
        if ejection.answered_trials < ANSWERED_TRIALS {
            return TrialResult::Ejected;
        }
        self.trust();
        TrialResult::Trusted
    }
}
