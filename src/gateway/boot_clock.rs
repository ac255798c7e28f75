//! The boot clock, which also advances while the machine is suspended.

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, suspension included, in milliseconds.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanoseconds / 1_000_000
}
