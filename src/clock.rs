//! The clock of the adapters around the decision core, which reads no time itself.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::now::Now;

/// A monotonic clock that starts with the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Reads monotonic and wall-clock time.
    pub fn now(&self) -> Now {
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            monotonic_ms: self.monotonic_ms(),
            wall_clock_ms: u64::try_from(wall_clock.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Reads monotonic time, in milliseconds since the start.
    pub fn monotonic_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
