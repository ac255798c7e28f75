//! Decides whether a new connection to a backend server is opened directly or through another
//! instance, and which instance is asked; uses no clock, socket or task.

use std::net::SocketAddr;

use crate::name::Name;

/// Time for which connections to a backend server go round after a direct one failed, in
/// milliseconds.
const BYPASS_MS: u64 = 1_000;
/// Time for which one connection alone tries the direct way again, in milliseconds.
const TRIAL_MS: u64 = 500;
/// Backend servers that could only be reached through others before this instance counts as cut off.
const CUT_OFF_COUNT: usize = 2;
/// Time after a direct connection was opened for which the failure of others is no sign of a cut, in
/// milliseconds.
const OPENED_MS: u64 = 300;
/// Longest time between two checks whether another direct connection was opened, in milliseconds.
const ROUND_CHECK_MS: u64 = 20;
/// Time after an answer or a new connection for which no backend server is probed, in milliseconds.
const REACHED_MS: u64 = 250;
/// Shortest time between two probes of a backend server, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time for which an instance that did not help is not asked again, in milliseconds.
const LEFT_OUT_MS: u64 = 2_000;

/// How to open a connection to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Directly, and soon also through another instance if that does not succeed.
    DirectFirst,
    /// Through another instance.
    Relayed,
}

/// What follows for a connection that is not opened directly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundStep {
    /// It fails: others are opened meanwhile.
    GiveUp,
    /// It goes through another instance.
    GoRound,
    /// It is decided after this time, in milliseconds.
    Wait(u64),
}

/// A change that is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathNotice {
    /// This instance counts as cut off.
    CutOff {
        /// Backend servers that could not be reached directly and were reached through others.
        bypassed: Vec<Name>,
    },
    /// This instance reaches backend servers again.
    Restored {
        /// Time for which it counted as cut off, in milliseconds.
        after_ms: u64,
        /// The backend server that was reached.
        backend_server: Name,
    },
}

/// A backend server that could only be reached through others.
#[derive(Clone, Debug)]
struct Bypass {
    backend_server: Name,
    /// When a direct connection last failed, in milliseconds of the boot clock.
    failed_ms: u64,
    /// When one connection tries the direct way again, in milliseconds of the boot clock.
    trial_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct CutOff {
    since_ms: u64,
    /// When one connection tries the direct way again, in milliseconds of the boot clock.
    trial_ms: u64,
}

/// What is known of the ways to backend servers.
#[derive(Clone, Debug, Default)]
pub struct EnginePaths {
    /// Sorted by backend server.
    bypasses: Vec<Bypass>,
    cut_off: Option<CutOff>,
    /// Until when instances are not asked, in milliseconds of the boot clock; sorted by address.
    left_out: Vec<(SocketAddr, u64)>,
    notices: Vec<PathNotice>,
    /// When backend servers were last probed, in milliseconds of the boot clock; sorted by id.
    probes: Vec<(Name, u64)>,
    /// When a direct connection was last opened, in milliseconds of the boot clock.
    opened_ms: Option<u64>,
    /// When a direct connection last succeeded or brought an answer, in milliseconds of the boot clock.
    reached_ms: Option<u64>,
}

impl EnginePaths {
    /// Returns how to open the next connection to a backend server.
    pub fn way(&mut self, now_ms: u64, backend_server: &str) -> Way {
        let trial_ms = match (&mut self.cut_off, find(&self.bypasses, backend_server)) {
            (Some(cut_off), _) => &mut cut_off.trial_ms,
            (None, Ok(index)) => &mut self.bypasses[index].trial_ms,
            (None, Err(_)) => return Way::DirectFirst,
        };
        if now_ms < *trial_ms {
            return Way::Relayed;
        }
        *trial_ms = now_ms + TRIAL_MS;
        Way::DirectFirst
    }

    /// Returns what follows for a connection that was begun at `begun_ms` and is not opened directly.
    ///
    /// Backend servers that are busy or gone fail connections as well, so it goes round only where no
    /// other direct one is opened.
    pub fn round_step(&self, now_ms: u64, begun_ms: u64) -> RoundStep {
        let Some(opened_ms) = self.opened_ms.filter(|_| self.cut_off.is_none()) else {
            return RoundStep::GoRound;
        };
        if opened_ms > begun_ms {
            return RoundStep::GiveUp;
        }
        match (opened_ms + OPENED_MS).saturating_sub(now_ms) {
            0 => RoundStep::GoRound,
            left_ms => RoundStep::Wait(left_ms.min(ROUND_CHECK_MS)),
        }
    }

    /// Returns whether connections to a backend server are direct.
    pub fn is_direct(&self, backend_server: &str) -> bool {
        self.cut_off.is_none() && find(&self.bypasses, backend_server).is_err()
    }

    /// Returns whether this instance counts as cut off from backend servers.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.is_some()
    }

    /// Records an answer on a direct connection, which may be an old one.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.reached_ms = self.reached_ms.max(Some(now_ms));
    }

    /// Records a direct connection to a backend server.
    pub fn record_direct(&mut self, now_ms: u64, backend_server: &Name) {
        self.reached_ms = Some(now_ms);
        self.opened_ms = Some(now_ms);
        if let Ok(index) = find(&self.bypasses, backend_server) {
            self.bypasses.remove(index);
        }
        let Some(cut_off) = self.cut_off.take() else { return };
        // One connection to each of the others tries the direct way.
        for bypass in &mut self.bypasses {
            bypass.trial_ms = now_ms;
        }
        let after_ms = now_ms.saturating_sub(cut_off.since_ms);
        let backend_server = backend_server.clone();
        self.notices.push(PathNotice::Restored { after_ms, backend_server });
    }

    /// Records that a direct connection to a backend server failed and one through another instance
    /// succeeded.
    pub fn record_bypassed(&mut self, now_ms: u64, backend_server: &Name) {
        let trial_ms = now_ms + BYPASS_MS;
        match find(&self.bypasses, backend_server) {
            Ok(index) => {
                self.bypasses[index].failed_ms = now_ms;
                self.bypasses[index].trial_ms = trial_ms;
            }
            Err(index) => {
                let backend_server = backend_server.clone();
                let bypass = Bypass { backend_server, failed_ms: now_ms, trial_ms };
                self.bypasses.insert(index, bypass);
            }
        }
        if self.cut_off.is_some() {
            return;
        }
        let reached_ms = self.reached_ms;
        let failed_since = |bypass: &&Bypass| {
            now_ms <= bypass.failed_ms + 2 * BYPASS_MS && Some(bypass.failed_ms) > reached_ms
        };
        let bypassed: Vec<Name> = self
            .bypasses
            .iter()
            .filter(failed_since)
            .map(|bypass| bypass.backend_server.clone())
            .collect();
        if bypassed.len() >= CUT_OFF_COUNT {
            self.cut_off = Some(CutOff { since_ms: now_ms, trial_ms: now_ms + TRIAL_MS });
            self.notices.push(PathNotice::CutOff { bypassed });
        }
    }

    /// Returns whether the direct way to a silent backend server should be probed now, and counts the
    /// probe.
    pub fn take_probe(&mut self, now_ms: u64, backend_server: &Name) -> bool {
        let is_reached = self.reached_ms.is_some_and(|reached_ms| now_ms < reached_ms + REACHED_MS);
        if is_reached || !self.is_direct(backend_server) {
            return false;
        }
        self.probes.retain(|(_, probed_ms)| now_ms < probed_ms + PROBE_INTERVAL_MS);
        match self.probes.binary_search_by(|(known, _)| known.cmp(backend_server)) {
            Ok(_) => false,
            Err(index) => {
                self.probes.insert(index, (backend_server.clone(), now_ms));
                true
            }
        }
    }

    /// Removes a backend server that left or restarted.
    pub fn forget(&mut self, backend_server: &str) {
        if let Ok(index) = find(&self.bypasses, backend_server) {
            self.bypasses.remove(index);
        }
    }

    /// Records that an instance did not help to reach a backend server.
    pub fn leave_out(&mut self, now_ms: u64, instance: SocketAddr) {
        self.left_out.retain(|(_, until_ms)| now_ms < *until_ms);
        match self.left_out.binary_search_by_key(&instance, |(known, _)| *known) {
            Ok(index) => self.left_out[index].1 = now_ms + LEFT_OUT_MS,
            Err(index) => self.left_out.insert(index, (instance, now_ms + LEFT_OUT_MS)),
        }
    }

    /// Returns whether an instance may be asked.
    pub fn may_ask(&self, now_ms: u64, instance: SocketAddr) -> bool {
        let found = self.left_out.binary_search_by_key(&instance, |(known, _)| *known);
        found.map_or(true, |index| now_ms >= self.left_out[index].1)
    }

    /// Returns the changes since the last call.
    pub fn take_notices(&mut self) -> Vec<PathNotice> {
        std::mem::take(&mut self.notices)
    }
}

fn find(bypasses: &[Bypass], backend_server: &str) -> Result<usize, usize> {
    bypasses.binary_search_by(|bypass| (*bypass.backend_server).cmp(backend_server))
}
