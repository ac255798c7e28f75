//! Decides whether a backend server is ejected, by comparison with the others of its service.

use crate::gateway::outliers::record::OutcomeRecord;

/// Failures in a row after which a server may be ejected.
const FAILURES_IN_A_ROW: u32 = 5;
/// Fewest outcomes by whose share of failures a server may be ejected.
const MIN_OUTCOMES: u32 = 10;
/// Share of failures above which a server may be ejected, in thousandths.
const MAX_FAILURE_PERMILLE: u32 = 500;
/// Share of failures of the other servers above which the service itself is broken, in thousandths.
const BROKEN_SERVICE_PERMILLE: u32 = 300;
/// Share of a service's servers of which more may not be ejected, in thousandths.
const MAX_EJECTED_PERMILLE: usize = 500;

/// The other servers of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Others {
    /// Number of them that may be sent requests.
    pub usable: usize,
    /// Number of them that are ejected.
    pub ejected: usize,
    /// Recent outcomes of those that are not ejected.
    pub outcomes: u32,
    /// Failures among these.
    pub failures: u32,
}

impl Others {
    /// Adds one of them.
    pub fn add(&mut self, record: &OutcomeRecord) {
        self.usable += 1;
        if record.ejection().is_some() {
            self.ejected += 1;
            return;
        }
        self.outcomes += record.count();
        self.failures += record.failures();
    }

    fn failure_permille(&self) -> u32 {
        permille(self.failures, self.outcomes)
    }
}

/// What follows from an outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The server is ejected.
    Eject,
    /// Nothing changes.
    Keep,
}

/// Decides on a server that is not ejected.
///
/// `has_witnesses` says whether outcomes of several instances are heard, so that those of one alone
/// may be the fault of its path.
pub fn judge(record: &OutcomeRecord, others: Others, has_witnesses: bool) -> Verdict {
    let in_a_row = record.failures_in_a_row(has_witnesses) >= FAILURES_IN_A_ROW;
    let by_share = record.count() >= MIN_OUTCOMES
        && permille(record.failures(), record.count()) > MAX_FAILURE_PERMILLE
        && record.failures_in_a_row(has_witnesses) > 0;
    if !in_a_row && !by_share {
        return Verdict::Keep;
    }
    let servers = others.usable + 1;
    if (others.ejected + 1) * 1_000 > servers * MAX_EJECTED_PERMILLE {
        return Verdict::Keep;
    }
    if others.failure_permille() > BROKEN_SERVICE_PERMILLE {
        return Verdict::Keep;
    }
    Verdict::Eject
}

fn permille(part: u32, whole: u32) -> u32 {
    (part * 1_000).checked_div(whole).unwrap_or_default()
}
