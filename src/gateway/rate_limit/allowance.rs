//! What an instance may still send to a cold backend server, earned evenly over time.
//!
//! The load it answers: every caller wants the idle server at once, from all instances. A large
//! share earns like a bucket that holds hardly more than one request. Small shares are many: as
//! buckets, they would all be full after a quiet time and send together, one request each. So a
//! request that a small share has earned lapses soon and has to be earned again, and small shares
//! earn half, since their sends fall together by chance.

/// One request, in the unit of allowances: a request a second earns one in a millisecond.
const REQUEST: u64 = 1_000_000;
/// Longest burst of a large share, as the requests of this time, in milliseconds.
const BURST_MS: u64 = 150;
/// Least share that is large, in thousandths.
const LARGE_PERMILLE: u64 = 250;
/// Time after which a request that a small share has earned lapses, in milliseconds.
const LAPSE_MS: u64 = 100;

/// A rate of requests, and the share of it that an instance may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedRate {
    /// Rate of all instances, in thousandths of a request a second.
    pub millirequests_per_s: u64,
    /// Share, in thousandths.
    pub permille: u64,
}

impl SharedRate {
    /// Returns what is earned in a second, in thousandths of the unit of allowances.
    fn per_s(self) -> u64 {
        let earned = self.millirequests_per_s.saturating_mul(self.permille);
        if self.is_large() { earned } else { earned / 2 }
    }

    fn is_large(self) -> bool {
        self.permille >= LARGE_PERMILLE
    }

    fn earned(self, time_ms: u64) -> u64 {
        self.per_s().saturating_mul(time_ms) / 1_000
    }

    /// Returns the time in which this much is earned, in milliseconds; `None` if nothing is.
    fn time_ms(self, units: u64) -> Option<u64> {
        (self.per_s() > 0).then(|| units.saturating_mul(1_000).div_ceil(self.per_s()))
    }
}

/// What may be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    earned_ms: u64,
    units: u64,
}

impl Allowance {
    /// Returns an allowance that has earned this part of a request, in thousandths.
    ///
    /// Instances that begin at the same time with different parts send in turn.
    pub fn begun(now_ms: u64, part_permille: u64) -> Self {
        Self { earned_ms: now_ms, units: REQUEST / 1_000 * part_permille.min(999) }
    }

    /// Returns the time until a request may be sent, in milliseconds; `None` if none may.
    pub fn wait_ms(&self, now_ms: u64, rate: SharedRate) -> Option<u64> {
        let elapsed_ms = now_ms.saturating_sub(self.earned_ms);
        let first_ms = rate.time_ms(REQUEST.saturating_sub(self.units))?;
        if elapsed_ms < first_ms {
            return Some(first_ms - elapsed_ms);
        }
        if rate.is_large() {
            return Some(0);
        }
        let turn_ms = rate.time_ms(REQUEST)? + LAPSE_MS;
        let into_turn_ms = (elapsed_ms - first_ms) % turn_ms;
        Some(if into_turn_ms < LAPSE_MS { 0 } else { turn_ms - into_turn_ms })
    }

    /// Returns the requests that may be sent now.
    pub fn requests(&self, now_ms: u64, rate: SharedRate) -> usize {
        if self.wait_ms(now_ms, rate) != Some(0) {
            return 0;
        }
        if rate.is_large() { (self.units_at(now_ms, rate) / REQUEST).max(1) as usize } else { 1 }
    }

    /// Takes a request.
    pub fn take(&mut self, now_ms: u64, rate: SharedRate) {
        let units = if rate.is_large() { self.units_at(now_ms, rate) } else { 0 };
        *self = Self { earned_ms: now_ms, units: units.saturating_sub(REQUEST) };
    }

    /// Keeps what was earned at this rate up to now, at most one request.
    pub fn settle(&mut self, now_ms: u64, rate: SharedRate) {
        let units = match self.wait_ms(now_ms, rate) {
            None => self.units,
            Some(wait_ms) => REQUEST.saturating_sub(rate.earned(wait_ms)),
        };
        *self = Self { earned_ms: now_ms, units: units.min(REQUEST) };
    }

    /// Returns what a large share may send, in millionths of a request.
    fn units_at(&self, now_ms: u64, rate: SharedRate) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.earned_ms);
        let burst = rate.earned(BURST_MS).max(REQUEST);
        self.units.saturating_add(rate.earned(elapsed_ms)).min(burst)
    }
}
