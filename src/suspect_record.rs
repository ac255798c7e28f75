//! The crashes of backend servers at which one request was running.

use crate::name::Name;
use crate::now::Now;
use crate::peer_message::Suspect;
use crate::quarantine::{QUARANTINE_MS, SAME_CRASH_MS};

const CRASH_LIMIT: usize = 32;
const QUARANTINE_CRASHES: usize = 2;

/// One report of a crash.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Crash {
    backend_server: Name,
    recorded_ms: u64,
    /// Whether the request finished later, so that the crash counts no longer.
    cleared: bool,
    /// Peer that saw it; `None` if this instance did.
    peer: Option<Name>,
}

/// The crashes of backend servers at which one request was running.
#[derive(Clone, Debug)]
pub(crate) struct SuspectRecord {
    /// Hash of service, path and body of the request.
    pub(crate) fingerprint: u64,
    crashes: Vec<Crash>,
    quarantined_until_ms: Option<u64>,
}

impl SuspectRecord {
    /// Returns a record without crashes.
    pub(crate) fn new(fingerprint: u64) -> Self {
        Self { crashes: Vec::new(), fingerprint, quarantined_until_ms: None }
    }

    /// Marks all crashes as cleared and ends the quarantine.
    pub(crate) fn clear(&mut self) {
        for crash in &mut self.crashes {
            crash.cleared = true;
        }
        self.quarantined_until_ms = None;
    }

    /// Removes expired crashes; returns whether any is left.
    pub(crate) fn expire(&mut self, now: Now) -> bool {
        if self.quarantined_until_ms.is_some_and(|until_ms| until_ms <= now.monotonic_ms) {
            self.quarantined_until_ms = None;
        }
        if self.quarantined_until_ms.is_none() {
            self.crashes.retain(|crash| crash.recorded_ms + QUARANTINE_MS > now.monotonic_ms);
        }
        !self.crashes.is_empty()
    }

    /// Returns whether the request is quarantined.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantined_until_ms.is_some()
    }

    /// Returns whether any crash counts.
    pub(crate) fn is_suspect(&self) -> bool {
        self.crashes.iter().any(|crash| !crash.cleared)
    }

    /// Returns when the last crash was recorded, in milliseconds.
    pub(crate) fn last_ms(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.recorded_ms).max().unwrap_or(0)
    }

    /// Adds a crash, seen by this instance, of a server to which it sent the request at `sent_ms`.
    ///
    /// Crashes that were recorded before then were other ones, so the server is listed once for
    /// each of them and once for this one.
    pub(crate) fn record_own_crash(&mut self, now: Now, backend_server: &Name, sent_ms: u64) {
        let own = |crash: &&Crash| {
            crash.peer.is_none() && !crash.cleared && crash.backend_server == *backend_server
        };
        let is_same_crash = self.crashes.iter().filter(own).any(|crash| {
            crash.recorded_ms >= sent_ms && now.monotonic_ms < crash.recorded_ms + SAME_CRASH_MS
        });
        if is_same_crash {
            return;
        }
        let is_earlier =
            |crash: &Crash| crash.backend_server == *backend_server && crash.recorded_ms < sent_ms;
        let earlier = self.distinct_crashes(is_earlier);
        let own_reports = self.crashes.iter().filter(own).count();
        for _ in own_reports..=earlier.max(own_reports) {
            self.add(now, backend_server, None);
        }
    }

    /// Returns the crashes that this instance saw itself, with the time of the last one in
    /// milliseconds.
    pub(crate) fn own_suspect(&self) -> Option<(u64, Suspect)> {
        let own = |crash: &&Crash| crash.peer.is_none() && !crash.cleared;
        let last_ms = self.crashes.iter().filter(own).map(|crash| crash.recorded_ms).max()?;
        let mut backend_servers: Vec<_> =
            self.crashes.iter().filter(own).map(|crash| crash.backend_server.clone()).collect();
        backend_servers.sort();
        Some((last_ms, Suspect { backend_servers, fingerprint: self.fingerprint }))
    }

    /// Adds the crashes that a peer reports and that were not recorded from it yet; returns whether
    /// there are any.
    pub(crate) fn merge_peer_crashes(
        &mut self,
        now: Now,
        from: &Name,
        backend_servers: &[Name],
    ) -> bool {
        let before = self.crashes.len();
        for (index, backend_server) in backend_servers.iter().enumerate() {
            let reported =
                backend_servers[..=index].iter().filter(|name| *name == backend_server).count();
            if self.crashes_from(from, backend_server) < reported {
                self.add(now, backend_server, Some(from.clone()));
            }
        }
        self.crashes.len() > before
    }

    fn add(&mut self, now: Now, backend_server: &Name, peer: Option<Name>) {
        if self.crashes.len() == CRASH_LIMIT {
            return;
        }
        self.crashes.push(Crash {
            backend_server: backend_server.clone(),
            cleared: false,
            recorded_ms: now.monotonic_ms,
            peer,
        });
        self.crashes.sort();
        if self.distinct_crashes(|_| true) >= QUARANTINE_CRASHES {
            self.quarantined_until_ms = Some(now.monotonic_ms + QUARANTINE_MS);
        }
    }

    /// Returns the number of distinct crashes among those that match a condition.
    fn distinct_crashes<F>(&self, condition: F) -> usize
    where
        F: Fn(&Crash) -> bool,
    {
        let crashes: Vec<&Crash> =
            self.crashes.iter().filter(|crash| !crash.cleared && condition(crash)).collect();
        crashes
            .chunk_by(|a, b| a.backend_server == b.backend_server)
            .map(distinct_crashes_of_server)
            .sum()
    }

    fn crashes_from(&self, from: &Name, backend_server: &Name) -> usize {
        let matching = self.crashes.iter().filter(|crash| {
            crash.peer.as_ref() == Some(from) && crash.backend_server == *backend_server
        });
        matching.count()
    }
}

/// Returns the number of distinct crashes of one server, sorted by time: those at least
/// [`SAME_CRASH_MS`] apart, or the most that one instance reported if that is more.
fn distinct_crashes_of_server(crashes: &[&Crash]) -> usize {
    let mut far_apart = 0;
    let mut last_ms = None;
    for crash in crashes {
        if last_ms.is_none_or(|last_ms| crash.recorded_ms >= last_ms + SAME_CRASH_MS) {
            far_apart += 1;
            last_ms = Some(crash.recorded_ms);
        }
    }
    let reported_by = |peer| crashes.iter().filter(|crash| crash.peer == peer).count();
    let most_reported = crashes.iter().map(|crash| reported_by(crash.peer.clone())).max();
    most_reported.unwrap_or(0).max(far_apart)
}
