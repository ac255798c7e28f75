//! The limit on the requests a second that a backend server states in its answers.
//!
//! Each statement has the time from which it holds, so that instances can exchange statements and
//! merge them in any order: the latest one counts.

/// Least rate that is allowed, so that a server is asked from time to time whether its limit still
/// holds, in thousandths of a request a second.
const MIN_MILLIREQUESTS_PER_S: u64 = 100;
/// Longest burst, as the requests of this time, in milliseconds; a burst has one request at least.
const BURST_MS: u64 = 400;
/// One request, in the unit of the allowance: a request a second earns one in a millisecond.
const REQUEST: u64 = 1_000_000;
/// Time for which other instances are told that a limit has ended, in milliseconds.
const END_EXPIRY_MS: u64 = 10_000;

/// What an answer says of the limit of its backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StatedLimit {
    /// It states none.
    #[default]
    None,
    /// It states this one, in thousandths of a request a second.
    MillirequestsPerS(u64),
    /// It states something that can't be read.
    Unreadable,
}

/// A statement of a limit, or that there is none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitStatement {
    /// The limit, in thousandths of a request a second; `None` if it has ended.
    pub millirequests_per_s: Option<u64>,
    /// When the statement was made at the latest, in milliseconds of the boot clock.
    pub stated_ms: u64,
}

impl LimitStatement {
    /// Returns what an answer states to a request that was sent at `sent_ms`; `None` if it states
    /// nothing readable.
    ///
    /// An answer without a limit may have been begun before one that has it, but not before its own
    /// request was sent.
    pub fn of_answer(now_ms: u64, sent_ms: u64, stated: StatedLimit) -> Option<Self> {
        match stated {
            StatedLimit::None => Some(Self { millirequests_per_s: None, stated_ms: sent_ms }),
            StatedLimit::MillirequestsPerS(rate) => {
                Some(Self { millirequests_per_s: Some(rate), stated_ms: now_ms })
            }
            StatedLimit::Unreadable => None,
        }
    }
}

/// The limit of one backend server, and what of it this instance may still use.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    /// What may be sent, in millionths of a request.
    allowance: u64,
    /// When the statement last changed, in milliseconds of the boot clock.
    changed_ms: u64,
    earned_ms: u64,
    latest: Option<LimitStatement>,
}

impl RateLimit {
    /// Merges a statement; returns whether the limit changed.
    pub fn merge(&mut self, now_ms: u64, statement: LimitStatement) -> bool {
        let before = self.millirequests_per_s();
        if self.latest.is_none() && statement.millirequests_per_s.is_none() {
            return false;
        }
        if self.latest.is_some_and(|latest| statement.stated_ms <= latest.stated_ms) {
            return false;
        }
        self.latest = Some(statement);
        let changed = self.millirequests_per_s() != before;
        if changed {
            self.changed_ms = now_ms;
        }
        if before.is_none() {
            (self.allowance, self.earned_ms) = (0, now_ms);
        }
        changed
    }

    /// Returns the limit in force, in thousandths of a request a second.
    pub fn millirequests_per_s(&self) -> Option<u64> {
        self.latest.and_then(|latest| latest.millirequests_per_s)
    }

    /// Returns the statement for other instances, unless it says that no limit holds, and that for
    /// long.
    pub fn told(&self, now_ms: u64) -> Option<LimitStatement> {
        let latest = self.latest?;
        let is_told =
            latest.millirequests_per_s.is_some() || now_ms < self.changed_ms + END_EXPIRY_MS;
        is_told.then_some(latest)
    }

    /// Returns when the limit last changed, in milliseconds of the boot clock.
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Has another share of the limit be earned from now on; an instance that may use none of it has
    /// nothing left.
    pub fn change_share(&mut self, now_ms: u64, before_permille: u64, permille: u64) {
        let rate = self.rate().filter(|_| before_permille > 0 && permille > 0);
        let allowance = rate.map(|rate| self.allowance_at(now_ms, rate, before_permille));
        (self.allowance, self.earned_ms) = (allowance.unwrap_or_default(), now_ms);
    }

    /// Returns the time until a request may be sent by an instance with this share of the limit, in
    /// milliseconds: 0 if it may be sent now, `None` if the instance may send none.
    pub fn wait_ms(&self, now_ms: u64, share_permille: u64) -> Option<u64> {
        let Some(rate) = self.rate() else { return Some(0) };
        let missing = REQUEST.saturating_sub(self.allowance_at(now_ms, rate, share_permille));
        missing.saturating_mul(1_000).div_ceil(rate).checked_div(share_permille)
    }

    /// Takes a request from the allowance.
    pub fn take(&mut self, now_ms: u64, share_permille: u64) {
        let Some(rate) = self.rate() else { return };
        let allowance = self.allowance_at(now_ms, rate, share_permille);
        (self.allowance, self.earned_ms) = (allowance.saturating_sub(REQUEST), now_ms);
    }

    /// Returns what may be sent at a time, in millionths of a request.
    fn allowance_at(&self, now_ms: u64, rate: u64, share_permille: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.earned_ms);
        let earned_in = |time_ms: u64| rate.saturating_mul(time_ms) / 1_000 * share_permille;
        let burst = earned_in(BURST_MS).max(REQUEST);
        self.allowance.saturating_add(earned_in(elapsed_ms)).min(burst)
    }

    fn rate(&self) -> Option<u64> {
        self.millirequests_per_s().map(|rate| rate.max(MIN_MILLIREQUESTS_PER_S))
    }
}
