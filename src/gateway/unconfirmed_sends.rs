//! Sends that failed before their first event, until it is known whether their engine crashed.

use std::collections::VecDeque;

use crate::name::Name;

/// Time after a send failed before its first event for which the crash it may have caused is not
/// known yet wherever places are granted, in milliseconds.
const UNCONFIRMED_MS: u64 = 500;
/// Maximum number of such sends that are kept.
const UNCONFIRMED_LIMIT: usize = 256;

/// A send that failed before its first event.
#[derive(Clone, Debug)]
struct FailedSend {
    backend_server: Name,
    failed_ms: u64,
    /// Shared parts of its prompt.
    parts: Vec<u64>,
}

/// Sends that failed lately, the oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfirmedSends {
    sends: VecDeque<FailedSend>,
}

impl UnconfirmedSends {
    /// Records a failed send whose prompt has these shared parts, and removes old ones.
    pub(crate) fn record(&mut self, now_ms: u64, backend_server: &Name, parts: Vec<u64>) {
        let is_old = |failed: &FailedSend| now_ms >= failed.failed_ms + UNCONFIRMED_MS;
        while self.sends.front().is_some_and(is_old) {
            self.sends.pop_front();
        }
        if parts.is_empty() {
            return;
        }
        if self.sends.len() == UNCONFIRMED_LIMIT {
            self.sends.pop_front();
        }
        let backend_server = backend_server.clone();
        self.sends.push_back(FailedSend { backend_server, failed_ms: now_ms, parts });
    }

    /// Removes the sends to an engine of which the crash is known.
    pub(crate) fn confirm(&mut self, backend_server: &Name) {
        self.sends.retain(|failed| failed.backend_server != *backend_server);
    }

    /// Returns whether a send with any of these parts failed lately.
    pub(crate) fn has_any(&self, now_ms: u64, parts: &[u64]) -> bool {
        self.sends.iter().any(|failed| {
            now_ms < failed.failed_ms + UNCONFIRMED_MS
                && failed.parts.iter().any(|part| parts.contains(part))
        })
    }
}
