//! The health of one backend server: it is down after a failure until a back-off ends, then it gets
//! one probe request at a time until one succeeds.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// First back-off, in milliseconds.
const FIRST_BACK_OFF_MS: u64 = 500;
/// Longest back-off before jitter, in milliseconds.
const MAX_BACK_OFF_MS: u64 = 16_000;

/// Which requests a backend server may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// None until the back-off ends.
    Down,
    /// One request at a time, until one succeeds.
    Probe,
    /// Any that its limit allows.
    Up,
}

/// Failures of one backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    down_until_ms: u64,
    failures: u32,
}

impl ServerHealth {
    /// Records a failed connection or a crash.
    ///
    /// Failures during one back-off count once, but each keeps the server down for at least the
    /// first back-off from then on.
    pub fn record_failure(&mut self, now_ms: u64, name: &str) {
        if self.health(now_ms) == Health::Down {
            self.down_until_ms = self.down_until_ms.max(now_ms + FIRST_BACK_OFF_MS);
            return;
        }
        let back_off_ms = (FIRST_BACK_OFF_MS << self.failures.min(10)).min(MAX_BACK_OFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.down_until_ms = now_ms + back_off_ms + self.jitter_ms(name, back_off_ms);
    }

    /// Records a success; it is ignored while the server is down.
    pub fn record_success(&mut self, now_ms: u64) {
        if self.health(now_ms) != Health::Down {
            self.failures = 0;
        }
    }

    /// Returns which requests the server may get.
    pub fn health(&self, now_ms: u64) -> Health {
        match self.failures {
            0 => Health::Up,
            _ if now_ms < self.down_until_ms => Health::Down,
            _ => Health::Probe,
        }
    }

    fn jitter_ms(&self, name: &str, back_off_ms: u64) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), u64::from(self.failures)) % (back_off_ms / 2 + 1)
    }
}
