//! Whether an update is being fetched from another instance, so that the store is not asked for the
//! same over the same link.

/// Fetches of updates from other instances, of which one runs at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpdateFetch {
    has_failed: bool,
    is_running: bool,
}

impl UpdateFetch {
    /// Records that a fetch begins; returns whether none was running.
    pub fn begin(&mut self) -> bool {
        !std::mem::replace(&mut self.is_running, true)
    }

    /// Records the end of the running fetch.
    pub fn end(&mut self, is_success: bool) {
        self.is_running = false;
        self.has_failed = !is_success;
    }

    /// Returns whether what the instance lacks is on its way; not after a failed fetch, until the
    /// store was read.
    pub fn is_under_way(&self) -> bool {
        self.is_running && !self.has_failed
    }

    /// Records that the store was read.
    pub fn record_store_read(&mut self) {
        self.has_failed = false;
    }
}
