//! Decides how long a transfer of state may last, by how it arrives.

/// Longest time without bytes amid an answer, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 500;
/// Rate below which a transfer is given up, in bytes per millisecond; a tenth of a link of 1 Mbit/s.
pub const MIN_BYTES_PER_MS: u64 = 12;

/// A transfer of state to this instance, with the time at which it is given up.
///
/// The time until the answer begins is limited as a whole. From then on each byte that arrives
/// extends the limit, so that a transfer may last as long as its size needs on a slow link, and what
/// has arrived is not thrown away.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    deadline_ms: u64,
    received_bytes: usize,
    started_ms: u64,
}

impl Transfer {
    /// Starts a transfer whose answer must begin within this time, in milliseconds.
    pub fn new(now_ms: u64, answer_limit_ms: u64) -> Self {
        Self { deadline_ms: now_ms + answer_limit_ms, received_bytes: 0, started_ms: now_ms }
    }

    /// Records that the answer begins.
    pub fn record_begin(&mut self, now_ms: u64) {
        self.deadline_ms = now_ms + SILENCE_LIMIT_MS;
    }

    /// Records bytes that have arrived.
    pub fn record_bytes(&mut self, now_ms: u64, bytes: usize) {
        self.received_bytes += bytes;
        let earned_ms = bytes as u64 / MIN_BYTES_PER_MS;
        let extended_ms = self.deadline_ms.max(now_ms) + earned_ms;
        self.deadline_ms = extended_ms.min(now_ms + SILENCE_LIMIT_MS);
    }

    /// Returns the time until the transfer is given up unless more arrives, in milliseconds.
    pub fn time_left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Returns the number of bytes that have arrived.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Returns the time since the start, in milliseconds.
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }
}
