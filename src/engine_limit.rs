//! The limit of the tokens in progress at one backend server, adapted from measured latency.
//!
//! Additive increase and multiplicative decrease after Chiu and Jain, "Analysis of the increase
//! and decrease algorithms for congestion avoidance in computer networks", 1989.

/// Tokens that are added on an increase.
const INCREASE_TOKENS: u64 = 64;
/// Share of the limit that is kept on a decrease, in percent.
const DECREASE_PERCENT: u64 = 80;
/// Shortest time between two decreases, in milliseconds.
const DECREASE_INTERVAL_MS: u64 = 1_000;
/// Shortest time between two increases, in milliseconds.
const INCREASE_INTERVAL_MS: u64 = 100;
/// Factor between the initial limit and either bound.
const BOUND_FACTOR: u64 = 8;
/// Lowest bound of any limit, in tokens.
const MIN_LIMIT_TOKENS: u64 = 64;

/// Limit of the tokens in progress at one backend server.
#[derive(Clone, Debug)]
pub struct EngineLimit {
    initial_tokens: u64,
    last_decrease_ms: Option<u64>,
    last_increase_ms: Option<u64>,
    limit_tokens: u64,
}

impl EngineLimit {
    /// Returns a limit that starts at `initial_tokens`.
    pub fn new(initial_tokens: u64) -> Self {
        let initial_tokens = initial_tokens.max(MIN_LIMIT_TOKENS);
        Self {
            initial_tokens,
            last_decrease_ms: None,
            last_increase_ms: None,
            limit_tokens: initial_tokens,
        }
    }

    /// Returns the initial limit, in tokens.
    pub fn initial_tokens(&self) -> u64 {
        self.initial_tokens
    }

    /// Returns the current limit, in tokens.
    pub fn limit_tokens(&self) -> u64 {
        self.limit_tokens
    }

    /// Returns the lowest limit, in tokens.
    pub fn lower_bound_tokens(&self) -> u64 {
        (self.initial_tokens / BOUND_FACTOR).max(MIN_LIMIT_TOKENS)
    }

    /// Returns the highest limit, in tokens.
    pub fn upper_bound_tokens(&self) -> u64 {
        self.initial_tokens * BOUND_FACTOR
    }

    /// Adapts the limit to one measured latency; it rises only if `running_tokens` is at least half
    /// of it.
    pub fn measure(&mut self, now_ms: u64, measured_ms: u64, target_ms: u64, running_tokens: u64) {
        if measured_ms > target_ms {
            self.decrease(now_ms);
        } else if running_tokens * 2 >= self.limit_tokens {
            self.increase(now_ms);
        }
    }

    fn decrease(&mut self, now_ms: u64) {
        if is_within(self.last_decrease_ms, DECREASE_INTERVAL_MS, now_ms) {
            return;
        }
        self.last_decrease_ms = Some(now_ms);
        let lowered_tokens = self.limit_tokens * DECREASE_PERCENT / 100;
        self.limit_tokens = lowered_tokens.max(self.lower_bound_tokens());
    }

    fn increase(&mut self, now_ms: u64) {
        if is_within(self.last_increase_ms, INCREASE_INTERVAL_MS, now_ms) {
            return;
        }
        self.last_increase_ms = Some(now_ms);
        let raised_tokens = self.limit_tokens + INCREASE_TOKENS;
        self.limit_tokens = raised_tokens.min(self.upper_bound_tokens());
    }
}

fn is_within(last_ms: Option<u64>, interval_ms: u64, now_ms: u64) -> bool {
    last_ms.is_some_and(|last_ms| now_ms < last_ms + interval_ms)
}
