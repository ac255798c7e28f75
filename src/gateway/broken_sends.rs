//! Whether a backend server died with a request, or only its answer was lost.
//!
//! A connection that breaks says little: answers get lost and connections are reset while the backend
//! server lives. It counts as dead once it takes no connection or its record goes, and as alive once
//! it answers anything whole.

use crate::name::Name;

/// Time after a connection broke within which the backend server has to be found dead, in
/// milliseconds; its record is gone after three intervals of its reports.
const CRASH_CONFIRMATION_MS: u64 = 6_000;

/// A request whose backend server may have died with it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenSend {
    /// Id of the backend server.
    pub backend_server: Name,
    /// When the connection broke, in milliseconds of the boot clock.
    pub broken_ms: u64,
    /// Digest of the request.
    pub fingerprint: u64,
    /// When the request was sent, in milliseconds of the boot clock.
    pub sent_ms: u64,
}

/// Requests whose backend servers may have died with them.
#[derive(Clone, Debug, Default)]
pub struct BrokenSends {
    sends: Vec<BrokenSend>,
}

impl BrokenSends {
    /// Notes that a connection broke under a request.
    pub fn record(&mut self, broken_send: BrokenSend) {
        let since_ms = broken_send.broken_ms.saturating_sub(CRASH_CONFIRMATION_MS);
        self.sends.retain(|known| known.broken_ms >= since_ms);
        self.sends.push(broken_send);
    }

    /// Takes in that a backend server answered: it lives.
    pub fn discard(&mut self, backend_server: &str) {
        self.sends.retain(|known| &*known.backend_server != backend_server);
    }

    /// Takes in that a backend server is dead, and returns the requests that it may have died of.
    pub fn take_for_crash(&mut self, now_ms: u64, backend_server: &str) -> Vec<BrokenSend> {
        let since_ms = now_ms.saturating_sub(CRASH_CONFIRMATION_MS);
        let is_affected = |known: &mut BrokenSend| &*known.backend_server == backend_server;
        let found: Vec<_> = self.sends.extract_if(.., is_affected).collect();
        found.into_iter().filter(|known| known.broken_ms >= since_ms).collect()
    }
}
