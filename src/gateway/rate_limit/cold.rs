//! Whether a backend server is cold, and the limit on the requests that it bears until it is warm.
//!
//! The load it answers: a server that starts or comes back is idle, so that every decision on a
//! request prefers it, and it falls over if it gets what a warm one bears. Whether it is cold comes
//! from its record and its answers. A server that was out of reach may have started anew before its
//! record says so; it counts as cold until its record or the time says otherwise.

use serde::{Deserialize, Serialize};

use crate::gateway::rate_limit::allowance::{Allowance, SharedRate};

/// Longest time for which a backend server is taken for cold on its word, in milliseconds.
pub const MAX_COLD_MS: u64 = 600_000;

/// What a record says of how long its backend server stays cold.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ColdLeft {
    /// Nothing.
    #[default]
    #[serde(rename = "n")]
    Unstated,
    /// This time, in milliseconds; 0 if it is warm.
    #[serde(rename = "m")]
    Ms(u64),
    /// A number that can't be true.
    #[serde(rename = "u")]
    Unreadable,
}

/// What the cold servers of a service bear.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdBounds {
    /// Time for which a server is cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests that a cold server gets from all instances, in thousandths of a request a second; 0
    /// if the servers of the service bear as much as warm ones.
    pub millirequests_per_s: u64,
}

/// News of how long a backend server stays cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdNews {
    /// Whether they come from a record, which all instances read.
    pub is_from_record: bool,
    /// Number of the record that the news comes from or that was known when it arrived.
    pub sequence: u64,
    /// When it was stated, in milliseconds of the boot clock.
    pub stated_ms: u64,
    /// When the server is warm, in milliseconds of the boot clock.
    pub until_ms: u64,
}

impl ColdNews {
    fn is_later_than(&self, known: &ColdNews) -> bool {
        (self.sequence, self.stated_ms) > (known.sequence, known.stated_ms)
    }
}

/// The limit of a cold backend server, and what of it this instance may still use.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdLimit {
    allowance: Allowance,
    bounds: ColdBounds,
    /// Whether a send of any instance last failed to reach it.
    is_out_of_reach: bool,
    latest: Option<ColdNews>,
    /// Part of a request with which the allowance begins, in thousandths.
    part_permille: u64,
    /// Whether the change to cold or warm was reported as the present state.
    was_cold: bool,
}

impl ColdLimit {
    /// Sets what the cold servers of its service bear, and the part of a request with which this
    /// instance's allowance begins, in thousandths.
    pub fn set_bounds(&mut self, bounds: ColdBounds, part_permille: u64) {
        (self.bounds, self.part_permille) = (bounds, part_permille);
    }

    /// Returns the same state for a new run of the backend server, which nothing is known of.
    #[must_use]
    pub fn restarted(&self) -> Self {
        Self { is_out_of_reach: false, latest: None, ..*self }
    }

    /// Returns whether the backend server is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        let is_cold = |news: ColdNews| now_ms < news.until_ms;
        self.bounds.millirequests_per_s > 0
            && (self.is_out_of_reach || self.latest.is_some_and(is_cold))
    }

    /// Returns the limit in force, in thousandths of a request a second.
    pub fn millirequests_per_s(&self, now_ms: u64) -> Option<u64> {
        self.is_cold(now_ms).then_some(self.bounds.millirequests_per_s)
    }

    /// Returns the time for which the server stays cold, in milliseconds, if it is.
    pub fn left_ms(&self, now_ms: u64) -> Option<u64> {
        let known_ms = self.latest.map(|news| news.until_ms.saturating_sub(now_ms));
        let left_ms = if self.is_out_of_reach { Some(self.bounds.cold_ms) } else { known_ms };
        left_ms.filter(|_| self.is_cold(now_ms))
    }

    /// Returns whether a send of any instance last failed to reach it.
    pub fn is_out_of_reach(&self) -> bool {
        self.is_out_of_reach
    }

    /// Returns the latest news.
    pub fn latest(&self) -> Option<ColdNews> {
        self.latest
    }

    /// Returns whether it is cold by news that other instances don't have from its record.
    pub fn is_told(&self, now_ms: u64) -> bool {
        self.is_cold(now_ms)
            && (self.is_out_of_reach || self.latest.is_some_and(|news| !news.is_from_record))
    }

    /// Merges news; returns whether they are later than those known.
    pub fn merge(&mut self, now_ms: u64, news: ColdNews) -> bool {
        if self.latest.is_some_and(|known| !news.is_later_than(&known)) {
            return false;
        }
        let was_cold = self.is_cold(now_ms);
        self.latest = Some(news);
        self.is_out_of_reach = false;
        self.begin(now_ms, was_cold);
        true
    }

    /// Merges what a new record says.
    pub fn merge_record(&mut self, now_ms: u64, sequence: u64, left: ColdLeft) {
        let left_ms = match left {
            ColdLeft::Ms(left_ms) => left_ms,
            // What was known of the run holds, or else it has just started.
            ColdLeft::Unstated | ColdLeft::Unreadable if self.latest.is_some() => return,
            ColdLeft::Unstated | ColdLeft::Unreadable => self.bounds.cold_ms,
        };
        let until_ms = now_ms.saturating_add(left_ms.min(MAX_COLD_MS));
        let is_from_record = true;
        self.merge(now_ms, ColdNews { is_from_record, sequence, stated_ms: now_ms, until_ms });
    }

    /// Records that the backend server can't be reached, so that it may have started anew when it is
    /// reached next.
    pub fn record_out_of_reach(&mut self, now_ms: u64) {
        let was_cold = self.is_cold(now_ms);
        self.is_out_of_reach = true;
        self.begin(now_ms, was_cold);
    }

    /// Records that the backend server, whose present record has this number, was reached.
    pub fn record_contact(&mut self, now_ms: u64, sequence: u64) {
        if std::mem::take(&mut self.is_out_of_reach) {
            let until_ms = now_ms.saturating_add(self.bounds.cold_ms);
            self.latest =
                Some(ColdNews { is_from_record: false, sequence, stated_ms: now_ms, until_ms });
        }
    }

    /// Returns the time until a request may be sent, in milliseconds; `None` if none may.
    pub fn wait_ms(&self, now_ms: u64, share_permille: u64) -> Option<u64> {
        match self.is_cold(now_ms) {
            true => self.allowance.wait_ms(now_ms, self.rate(share_permille)),
            false => Some(0),
        }
    }

    /// Returns the requests that may be sent now; `None` if the limit does not bound them.
    pub fn requests(&self, now_ms: u64, share_permille: u64) -> Option<usize> {
        self.is_cold(now_ms).then(|| self.allowance.requests(now_ms, self.rate(share_permille)))
    }

    /// Takes a request.
    pub fn take(&mut self, now_ms: u64, share_permille: u64) {
        if self.is_cold(now_ms) {
            self.allowance.take(now_ms, self.rate(share_permille));
        }
    }

    /// Keeps what was earned with a share that changes now.
    pub fn change_share(&mut self, now_ms: u64, before_permille: u64) {
        if self.is_cold(now_ms) {
            self.allowance.settle(now_ms, self.rate(before_permille));
        }
    }

    /// Returns whether the backend server is cold if that has changed since the last call.
    pub fn take_change(&mut self, now_ms: u64) -> Option<bool> {
        let is_cold = self.is_cold(now_ms);
        (std::mem::replace(&mut self.was_cold, is_cold) != is_cold).then_some(is_cold)
    }

    fn begin(&mut self, now_ms: u64, was_cold: bool) {
        if !was_cold && self.is_cold(now_ms) {
            self.allowance = Allowance::begun(now_ms, self.part_permille);
        }
    }

    fn rate(&self, permille: u64) -> SharedRate {
        SharedRate { millirequests_per_s: self.bounds.millirequests_per_s, permille }
    }
}
