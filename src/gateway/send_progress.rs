//! How far the send in progress has come, for those who wait beside it.

use std::cell::Cell;

use tokio::sync::Notify;

/// Progress of one send after the other of a request.
#[derive(Default)]
pub(crate) struct SendProgress {
    accepted: Notify,
    is_written: Cell<bool>,
}

impl SendProgress {
    /// Records that bytes of the request may reach a backend server from now on.
    pub(crate) fn record_written(&self) {
        self.is_written.set(true);
    }

    /// Records that no byte was written after all, or that the send has been counted.
    pub(crate) fn clear_written(&self) {
        self.is_written.set(false);
    }

    /// Returns whether bytes may have reached a backend server in a send that is not counted yet.
    pub(crate) fn is_written(&self) -> bool {
        self.is_written.get()
    }

    /// Records that a backend server has accepted the request.
    pub(crate) fn record_accepted(&self) {
        self.accepted.notify_one();
    }

    /// Waits until a backend server has accepted the request.
    pub(crate) async fn accepted(&self) {
        self.accepted.notified().await;
    }
}
