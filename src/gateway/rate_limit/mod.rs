//! The limits on the requests a second that a backend server bears, for one reason each: what it
//! states in its answers (`stated`), and that it is cold (`cold`). Of those in force the smallest
//! holds.
//!
//! Each reason keeps an allowance of its own (`allowance`), since they count over different times
//! and are shared among instances in different ways; a send takes from all of them.

pub mod allowance;
pub mod cold;
pub mod stated;

pub use stated::{LimitStatement, RateLimit, StatedLimit};

use crate::gateway::rate_limit::cold::ColdLimit;

/// The shares of limits that an instance may use, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitShares {
    /// Of what cold backend servers bear.
    pub cold_permille: u64,
    /// Of the limits that backend servers state.
    pub stated_permille: u64,
}

/// The backend servers of a service that have a limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitedServers {
    /// Their number.
    pub count: usize,
    /// The smallest limit, in thousandths of a request a second.
    pub least: Option<u64>,
}

impl LimitedServers {
    /// Returns the smallest limit, in requests a second.
    pub fn least_per_s(&self) -> Option<f64> {
        self.least.map(|rate| rate as f64 / 1_000.0)
    }
}

/// The limits of one backend server, and what of them this instance may still use.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLimits {
    /// Because it is cold.
    pub cold: ColdLimit,
    /// What it states.
    pub stated: RateLimit,
}

impl ServerLimits {
    /// Returns the smallest limit in force, in thousandths of a request a second.
    pub fn millirequests_per_s(&self, now_ms: u64) -> Option<u64> {
        let stated = self.stated.millirequests_per_s();
        stated.into_iter().chain(self.cold.millirequests_per_s(now_ms)).min()
    }

    /// Returns the time until a request may be sent by an instance with these shares, in
    /// milliseconds: 0 if it may be sent now, `None` if the instance may send none.
    pub fn wait_ms(&self, now_ms: u64, shares: LimitShares) -> Option<u64> {
        let stated_ms = self.stated.wait_ms(now_ms, shares.stated_permille)?;
        Some(stated_ms.max(self.cold.wait_ms(now_ms, shares.cold_permille)?))
    }

    /// Takes a request from all allowances.
    pub fn take(&mut self, now_ms: u64, shares: LimitShares) {
        self.stated.take(now_ms, shares.stated_permille);
        self.cold.take(now_ms, shares.cold_permille);
    }

    /// Has other shares be earned from now on.
    pub fn change_shares(&mut self, now_ms: u64, before: LimitShares, shares: LimitShares) {
        if before.stated_permille != shares.stated_permille {
            self.stated.change_share(now_ms, before.stated_permille, shares.stated_permille);
        }
        if before.cold_permille != shares.cold_permille {
            self.cold.change_share(now_ms, before.cold_permille);
        }
    }
}
