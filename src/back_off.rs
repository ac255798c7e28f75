//! Exponential back-off between attempts, with jitter.

use rand::RngExt;

/// Computes the waits between attempts, whose limit doubles from a shortest to a longest one.
#[derive(Clone, Debug)]
pub struct BackOff {
    longest_ms: u64,
    next_ms: u64,
    shortest_ms: u64,
}

impl BackOff {
    /// Creates a back-off whose waits are at most `shortest_ms` at first and `longest_ms` later.
    pub fn new(shortest_ms: u64, longest_ms: u64) -> Self {
        Self { longest_ms, next_ms: shortest_ms, shortest_ms }
    }

    /// Returns the next wait in milliseconds, between half of the current limit and all of it.
    pub fn next_wait_ms(&mut self) -> u64 {
        let limit_ms = self.next_ms;
        self.next_ms = limit_ms.saturating_mul(2).min(self.longest_ms);
        rand::rng().random_range(limit_ms / 2..=limit_ms)
    }

    /// Returns a wait in milliseconds between 0 and half of the shortest limit.
    pub fn jitter_ms(&self) -> u64 {
        rand::rng().random_range(0..=self.shortest_ms / 2)
    }

    /// Resets the limit to the shortest wait.
    pub fn reset(&mut self) {
        self.next_ms = self.shortest_ms;
    }
}
