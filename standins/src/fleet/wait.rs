//! Wait for a condition with a time limit.

use std::thread;
use std::time::{Duration, Instant};

use super::error::FleetError;

/// Interval between two checks of a condition.
const POLL_INTERVAL_MS: u64 = 10;

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns an error if it does not hold within `limit_ms` milliseconds.
pub fn wait_until<C>(condition: &str, limit_ms: u64, mut holds: C) -> Result<(), FleetError>
where
    C: FnMut() -> bool,
{
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    while !holds() {
        if Instant::now() >= deadline {
            return Err(FleetError::Timeout { condition: condition.to_owned(), limit_ms });
        }
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    Ok(())
}
