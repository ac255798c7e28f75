//! Limits the number of fleets that run at once in one test program.

use std::sync::{Condvar, Mutex};

const FLEETS_AT_ONCE: usize = 5;

static CHANGED: Condvar = Condvar::new();
static RUNNING: Mutex<usize> = Mutex::new(0);

/// A permit to run a fleet, released on drop.
#[derive(Debug)]
pub struct FleetPermit;

impl FleetPermit {
    /// Waits for a permit to run a fleet.
    pub fn wait() -> Self {
        let running = RUNNING.lock().unwrap();
        let mut running =
            CHANGED.wait_while(running, |running| *running >= FLEETS_AT_ONCE).unwrap();
        *running += 1;
        Self
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        // The count stays valid when another test panics.
        let mut running = RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        *running -= 1;
        CHANGED.notify_one();
    }
}
