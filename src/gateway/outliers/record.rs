//! The recent outcomes of one backend server, and whether it is ejected.

use crate::gateway::backend::SendOutcome;
use crate::name::Name;

/// Number of outcomes that are kept.
const OUTCOMES: u32 = 20;
/// Number of failures in a row of one instance that count; more may be the fault of its path.
const FAILURES_PER_INSTANCE: u32 = 2;
/// Number of instances of which failures in a row are counted.
const INSTANCES: usize = 8;

/// Whether a backend server gets requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// It gets requests like the others.
    #[default]
    Trusted,
    /// It gets trials alone.
    Ejected(Ejection),
}

/// An ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ejection {
    /// When it began, in milliseconds of the boot clock.
    pub since_ms: u64,
    /// When the next trial may begin, in milliseconds of the boot clock.
    pub next_trial_ms: u64,
    /// Trials in a row that were answered.
    pub answered_trials: u32,
    /// Trials in a row that failed.
    pub failed_trials: u32,
}

/// Outcomes of the requests at one backend server.
#[derive(Clone, Debug, Default)]
pub struct OutcomeRecord {
    /// Number of outcomes in `failures`.
    count: u32,
    /// The last outcomes, a bit each, the newest lowest; set for a failure.
    failures: u32,
    /// Failures in a row, by instance.
    in_a_row: Vec<(Name, u32)>,
    /// Whether it gets requests.
    pub standing: Standing,
}

impl OutcomeRecord {
    /// Records how a request of an instance ended; returns whether that says anything of the server.
    pub fn record(&mut self, instance: &Name, outcome: SendOutcome) -> bool {
        let failure = match outcome {
            SendOutcome::Answered => false,
            SendOutcome::Failed => true,
            // A path that fails is not the server's fault, nor is a caller that leaves; a server that
            // turns requests away is busy.
            SendOutcome::Abandoned | SendOutcome::Refused | SendOutcome::Unreachable => {
                return false;
            }
        };
        self.failures = (self.failures << 1 | u32::from(failure)) & ((1 << OUTCOMES) - 1);
        self.count = (self.count + 1).min(OUTCOMES);
        if !failure {
            self.in_a_row.clear();
            return true;
        }
        let known = self.in_a_row.iter().position(|(known, _)| known == instance);
        match known {
            Some(index) => self.in_a_row[index].1 += 1,
            None if self.in_a_row.len() < INSTANCES => self.in_a_row.push((instance.clone(), 1)),
            None => {}
        }
        true
    }

    /// Returns the number of outcomes that are kept.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the number of failures among them.
    pub fn failures(&self) -> u32 {
        self.failures.count_ones()
    }

    /// Returns the failures in a row: of each instance a few, or all if there is no other instance
    /// to compare with.
    pub fn failures_in_a_row(&self, has_witnesses: bool) -> u32 {
        let most = if has_witnesses { FAILURES_PER_INSTANCE } else { u32::MAX };
        self.in_a_row.iter().map(|(_, failures)| (*failures).min(most)).sum()
    }

    /// Returns the ejection in force.
    pub fn ejection(&self) -> Option<&Ejection> {
        match &self.standing {
            Standing::Trusted => None,
            Standing::Ejected(ejection) => Some(ejection),
        }
    }

    /// Has the server be trusted, and forgets its outcomes.
    pub fn trust(&mut self) {
        *self = Self::default();
    }
}
