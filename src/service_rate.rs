//! Measures the rate at which a service completes tokens while requests wait for it.

/// Length of one measurement, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Fewest measurements with which the rate may be used.
const TRUSTED_WINDOWS: u32 = 5;
const WEIGHT: f64 = 0.25;

/// Smoothed rate of completed tokens while requests waited.
#[derive(Clone, Debug, Default)]
pub struct ServiceRate {
    tokens: u64,
    tokens_per_s: f64,
    window_start_ms: Option<u64>,
    windows: u32,
}

impl ServiceRate {
    /// Records a completed request; the open measurement is dropped if no request waits.
    pub fn record_completion(&mut self, now_ms: u64, cost_tokens: u64, requests_wait: bool) {
        if !requests_wait {
            self.window_start_ms = None;
            return;
        }
        let start_ms = *self.window_start_ms.get_or_insert(now_ms);
        if start_ms == now_ms {
            self.tokens = 0;
            return;
        }
        self.tokens += cost_tokens;
        if now_ms >= start_ms + WINDOW_MS {
            self.close_window(now_ms, now_ms - start_ms);
        }
    }

    /// Returns the expected time to serve a number of tokens, in milliseconds, once measured.
    pub fn wait_ms(&self, tokens: u64) -> Option<u64> {
        let trusted = self.windows >= TRUSTED_WINDOWS && self.tokens_per_s > 0.0;
        trusted.then(|| (tokens as f64 * 1_000.0 / self.tokens_per_s) as u64)
    }

    fn close_window(&mut self, now_ms: u64, elapsed_ms: u64) {
        let measured = self.tokens as f64 * 1_000.0 / elapsed_ms as f64;
        let weight = if self.windows == 0 { 1.0 } else { WEIGHT };
        self.tokens_per_s += weight * (measured - self.tokens_per_s);
        self.windows = self.windows.saturating_add(1);
        self.window_start_ms = Some(now_ms);
        self.tokens = 0;
    }
}
