//! Whether one backend server is down, with back-off and one probe after it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// First back-off, in milliseconds.
const FIRST_BACK_OFF_MS: u64 = 500;
/// Longest back-off before jitter, in milliseconds.
const LONGEST_BACK_OFF_MS: u64 = 16_000;

/// What a backend server may be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Nothing until the back-off ends.
    Down,
    /// One request at a time, until one shows that the server works.
    Probe,
    /// Whatever its limit allows.
    Up,
}

/// Failures of one backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    down_until_ms: u64,
    failures: u32,
}

impl ServerHealth {
    /// Notes a failed connection or a death.
    ///
    /// Failures during one back-off count once, but each keeps the server down for the first
    /// back-off from its own time.
    pub fn record_failure(&mut self, now_ms: u64, name: &str) {
        if self.health(now_ms) == Health::Down {
            self.down_until_ms = self.down_until_ms.max(now_ms + FIRST_BACK_OFF_MS);
            return;
        }
        let back_off_ms = (FIRST_BACK_OFF_MS << self.failures.min(10)).min(LONGEST_BACK_OFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.down_until_ms = now_ms + back_off_ms + self.jitter_ms(name, back_off_ms);
    }

    /// Notes a sign that the server works.
    pub fn record_success(&mut self, now_ms: u64) {
        if self.health(now_ms) != Health::Down {
            self.failures = 0;
        }
    }

    /// Returns what the server may be given.
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
