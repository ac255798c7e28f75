//! Limits the retries of requests whose connection to a backend server failed, as a share of the
//! first grant requests.

/// Maximum number of retries that the budget can hold, in thousandths of a retry.
const CAPACITY_MILLIRETRIES: u32 = 20_000;
/// Share that each first grant request adds, in thousandths of a retry.
const EARNED_MILLIRETRIES: u32 = 200;
const ONE_RETRY_MILLIRETRIES: u32 = 1_000;

/// Retries earned by recent first grant requests and not spent yet.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_milliretries: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_milliretries: CAPACITY_MILLIRETRIES }
    }
}

impl RetryBudget {
    /// Adds the share of one first grant request.
    pub fn earn(&mut self) {
        let saved = self.saved_milliretries + EARNED_MILLIRETRIES;
        self.saved_milliretries = saved.min(CAPACITY_MILLIRETRIES);
    }

    /// Spends one retry; returns whether the budget had one.
    pub fn spend(&mut self) -> bool {
        let left = self.saved_milliretries.checked_sub(ONE_RETRY_MILLIRETRIES);
        self.saved_milliretries = left.unwrap_or(self.saved_milliretries);
        left.is_some()
    }
}
