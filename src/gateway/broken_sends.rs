//! Distinguishes requests that crashed their backend server from those whose connection merely
//! broke.
//!
//! A broken connection alone proves no crash: answers get lost and connections are reset while the
//! backend server keeps running, and one that is silent for a moment accepts no connection in time.
//! It counts as crashed once it is found to refuse connections or its record is removed, and as running
//! once it answers any request completely. What one of several instances finds of its own path alone is
//! no proof: the instance may be cut off from a backend server that runs.

use crate::name::Name;

/// Time after a connection broke within which a crash of the backend server counts against the
/// request, in milliseconds; the record of a crashed one is removed after three of its report
/// intervals.
const CRASH_CONFIRMATION_MS: u64 = 6_000;

/// A send whose connection broke; its request may have crashed the backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenSend {
    /// Id of the backend server.
    pub backend_server: Name,
    /// When the connection broke, in milliseconds of the boot clock.
    pub broken_ms: u64,
    /// Hash of path, body and key of the request.
    pub fingerprint: u64,
    /// When the request was sent, in milliseconds of the boot clock.
    pub sent_ms: u64,
    /// Shared parts of its prompt, if no event of its answer had arrived.
    pub unstarted_parts: Vec<u64>,
}

/// Sends whose connections broke and whose backend servers have not answered since.
#[derive(Clone, Debug, Default)]
pub struct BrokenSends {
    sends: Vec<BrokenSend>,
}

impl BrokenSends {
    /// Records a send whose connection broke, and removes expired ones.
    pub fn record(&mut self, broken_send: BrokenSend) {
        let since_ms = broken_send.broken_ms.saturating_sub(CRASH_CONFIRMATION_MS);
        self.sends.retain(|known| known.broken_ms >= since_ms);
        self.sends.push(broken_send);
    }

    /// Discards the broken sends of a backend server, since it answered.
    pub fn discard(&mut self, backend_server: &str) {
        self.sends.retain(|known| &*known.backend_server != backend_server);
    }

    /// Returns whether a crash of a backend server would count against a request.
    pub fn awaits_proof(&self, now_ms: u64, backend_server: &str) -> bool {
        let since_ms = now_ms.saturating_sub(CRASH_CONFIRMATION_MS);
        let mut recent = self.sends.iter().filter(|known| known.broken_ms >= since_ms);
        recent.any(|known| &*known.backend_server == backend_server)
    }

    /// Removes the broken sends of a crashed backend server, and returns those that are recent
    /// enough to have caused the crash.
    pub fn take_for_crash(&mut self, now_ms: u64, backend_server: &str) -> Vec<BrokenSend> {
        let since_ms = now_ms.saturating_sub(CRASH_CONFIRMATION_MS);
        let is_affected = |known: &mut BrokenSend| &*known.backend_server == backend_server;
        let found: Vec<_> = self.sends.extract_if(.., is_affected).collect();
        found.into_iter().filter(|known| known.broken_ms >= since_ms).collect()
    }
}
