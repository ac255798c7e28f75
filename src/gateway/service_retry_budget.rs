//! Limits the retries of one service at other backend servers, by the number of its requests and a
//! fixed allowance.
//!
//! Each instance spends only what its own requests earn and a fixed share of the common allowance,
//! so that the bound over all instances holds whichever of them can reach each other.

use std::collections::VecDeque;

use crate::gateway::gateway_settings::Bounds;

/// Share of the permitted ratio that is used; the rest covers overlapping windows.
const RATIO_SHARE: f64 = 0.7;
/// Share of the common allowance that all instances together use.
const ALLOWANCE_SHARE: f64 = 0.6;

/// Times of the requests and retries of one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct ServiceRetryBudget {
    retried_ms: VecDeque<u64>,
    request_ms: VecDeque<u64>,
}

impl ServiceRetryBudget {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now_ms: u64, bounds: &Bounds) {
        self.expire(now_ms, bounds);
        self.request_ms.push_back(now_ms);
    }

    /// Takes one retry, and returns whether the budget permits it; `instances` instances share the
    /// allowance.
    pub fn try_take(&mut self, now_ms: u64, bounds: &Bounds, instances: usize) -> bool {
        self.expire(now_ms, bounds);
        let earned = bounds.retry_ratio * RATIO_SHARE * self.request_ms.len() as f64;
        let share = ALLOWANCE_SHARE * f64::from(bounds.retry_allowance) / instances.max(1) as f64;
        let allowed = (self.retried_ms.len() as f64) + 1.0 <= earned + share;
        if allowed {
            self.retried_ms.push_back(now_ms);
        }
        allowed
    }

    fn expire(&mut self, now_ms: u64, bounds: &Bounds) {
        let since_ms = now_ms.saturating_sub(bounds.retry_window_ms);
        for times in [&mut self.retried_ms, &mut self.request_ms] {
            while times.front().is_some_and(|time_ms| *time_ms < since_ms) {
                times.pop_front();
            }
        }
    }
}
