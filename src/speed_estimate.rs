//! Estimates the prefill and decode speed of one backend server.

/// Fewest tokens of a prefill from which its speed is measured.
const MEASURABLE_PREFILL_TOKENS: u64 = 64;
const WEIGHT: f64 = 0.2;

/// Smoothed speed of one backend server.
#[derive(Clone, Debug)]
pub struct SpeedEstimate {
    between_tokens_ms: Option<f64>,
    prefill_tokens_per_s: f64,
}

impl SpeedEstimate {
    /// Returns an estimate that starts at a prefill speed, in tokens per second.
    pub fn new(prefill_tokens_per_s: u32) -> Self {
        Self {
            between_tokens_ms: None,
            prefill_tokens_per_s: f64::from(prefill_tokens_per_s.max(1)),
        }
    }

    /// Records a time to first token, in milliseconds, and the tokens prefilled in that time.
    pub fn record_prefill(&mut self, prefilled_tokens: u64, elapsed_ms: u64) {
        if prefilled_tokens < MEASURABLE_PREFILL_TOKENS {
            return;
        }
        let measured = prefilled_tokens as f64 * 1_000.0 / elapsed_ms.max(1) as f64;
        self.prefill_tokens_per_s += WEIGHT * (measured - self.prefill_tokens_per_s);
    }

    /// Records a mean time between tokens, in milliseconds.
    pub fn record_decode(&mut self, between_tokens_ms: u64) {
        let measured_ms = between_tokens_ms as f64;
        let before_ms = self.between_tokens_ms.unwrap_or(measured_ms);
        self.between_tokens_ms = Some(before_ms + WEIGHT * (measured_ms - before_ms));
    }

    /// Returns the time between tokens, in milliseconds, once measured.
    pub fn between_tokens_ms(&self) -> Option<f64> {
        self.between_tokens_ms
    }

    /// Returns the expected time of a prefill, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        (tokens as f64 * 1_000.0 / self.prefill_tokens_per_s) as u64
    }
}
