//! Records which requests were running at a backend server when it crashed.

use crate::gateway::broken_sends::BrokenSend;
use crate::gateway::part_stage::PartChange;
use crate::gateway::state::{GatewayState, monotonic_now};
use crate::name::Name;

/// Something to log about a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashNotice {
    /// A backend server was found to have crashed after the connection of a request broke.
    Crashed {
        /// Id of the backend server.
        backend_server: Name,
        /// Time from the break to the proof of the crash, in milliseconds.
        confirmed_after_ms: u64,
        /// Hash of path, body and key of the request.
        fingerprint: u64,
        /// Shared parts of its prompt, if no event of its answer had arrived.
        unstarted_parts: Vec<u64>,
    },
    /// A prompt part is suspected, quarantined or released.
    PartChanged(PartChange),
}

impl GatewayState {
    /// Records a send whose connection broke; its request may have crashed the backend server.
    /// Returns whether that should be found out at once, since nothing proves its prompt sound.
    pub fn record_broken_send(&mut self, broken_send: BrokenSend) -> bool {
        let parts = &broken_send.unstarted_parts;
        let is_unproved = !parts.is_empty() && !self.parts.are_proved(broken_send.broken_ms, parts);
        self.broken_sends.record(broken_send);
        is_unproved
    }

    /// Returns whether a crash of a backend server would count against a request.
    pub fn awaits_crash_proof(&self, now_ms: u64, backend: &str) -> bool {
        self.broken_sends.awaits_proof(now_ms, backend)
    }

    /// Records a crash of a backend server, against the requests that may have caused it.
    pub fn record_crash(&mut self, now_ms: u64, backend: &str) {
        for broken_send in self.broken_sends.take_for_crash(now_ms, backend) {
            let BrokenSend { backend_server, broken_ms, fingerprint, sent_ms, unstarted_parts } =
                broken_send;
            self.quarantine.record_crash(
                monotonic_now(now_ms),
                &backend_server,
                fingerprint,
                sent_ms,
            );
            if let Some(suspect) = self.quarantine.own_suspect(fingerprint) {
                self.fleet.suspect_feeds.add_own(now_ms, &self.fleet.own_name, &suspect);
            }
            self.record_crash_of_parts(now_ms, broken_ms, &backend_server, &unstarted_parts);
            self.crash_notices.push(CrashNotice::Crashed {
                backend_server,
                confirmed_after_ms: now_ms.saturating_sub(broken_ms),
                fingerprint,
                unstarted_parts,
            });
        }
    }

    /// Records that a backend server answered a request completely.
    pub fn record_answer(&mut self, backend: &str, fingerprint: u64) {
        self.broken_sends.discard(backend);
        self.quarantine.record_finish(fingerprint);
        self.fleet.suspect_feeds.remove_own(&self.fleet.own_name, fingerprint);
    }

    /// Removes and returns what is to be logged about crashes.
    pub fn take_crash_notices(&mut self) -> Vec<CrashNotice> {
        std::mem::take(&mut self.crash_notices)
    }
}
