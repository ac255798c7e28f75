//! Budget for requests that come back because a connection failed.

/// Most retries that can be saved up, in thousandths of a retry.
const CAPACITY_MILLIRETRIES: u32 = 20_000;
/// What each first grant request adds, in thousandths of a retry.
const EARNED_MILLIRETRIES: u32 = 200;
const ONE_RETRY_MILLIRETRIES: u32 = 1_000;

/// Retries that the first grant requests of late have earned.
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
    /// Notes a first grant request.
    pub fn earn(&mut self) {
        let saved = self.saved_milliretries + EARNED_MILLIRETRIES;
        self.saved_milliretries = saved.min(CAPACITY_MILLIRETRIES);
    }

    /// Spends one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let left = self.saved_milliretries.checked_sub(ONE_RETRY_MILLIRETRIES);
        self.saved_milliretries = left.unwrap_or(self.saved_milliretries);
        left.is_some()
    }
}
