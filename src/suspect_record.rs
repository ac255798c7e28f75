//! The deaths at which one request was running.

use crate::name::Name;
use crate::now::Now;
use crate::peer_message::Suspect;
use crate::quarantine::{QUARANTINE_MS, SAME_DEATH_MS};

const DEATH_LIMIT: usize = 32;
const QUARANTINE_DEATHS: usize = 2;

/// One report of a death.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Death {
    backend_server: Name,
    learned_ms: u64,
    /// Whether the request finished after it.
    cleared: bool,
    /// Peer that saw it; `None` if this instance did.
    peer: Option<Name>,
}

/// The deaths at which one request was running.
#[derive(Clone, Debug)]
pub(crate) struct SuspectRecord {
    /// Hash of the request's body.
    pub(crate) fingerprint: u64,
    deaths: Vec<Death>,
    quarantined_until_ms: Option<u64>,
}

impl SuspectRecord {
    /// Makes a record without deaths.
    pub(crate) fn new(fingerprint: u64) -> Self {
        Self { deaths: Vec::new(), fingerprint, quarantined_until_ms: None }
    }

    /// Lets all deaths so far count no longer.
    pub(crate) fn clear(&mut self) {
        for death in &mut self.deaths {
            death.cleared = true;
        }
        self.quarantined_until_ms = None;
    }

    /// Forgets what is too old; tells whether anything is left.
    pub(crate) fn expire(&mut self, now: Now) -> bool {
        if self.quarantined_until_ms.is_some_and(|until_ms| until_ms <= now.monotonic_ms) {
            self.quarantined_until_ms = None;
        }
        if self.quarantined_until_ms.is_none() {
            self.deaths.retain(|death| death.learned_ms + QUARANTINE_MS > now.monotonic_ms);
        }
        !self.deaths.is_empty()
    }

    /// Tells whether the request is quarantined.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantined_until_ms.is_some()
    }

    /// Tells whether any death counts.
    pub(crate) fn is_suspect(&self) -> bool {
        self.deaths.iter().any(|death| !death.cleared)
    }

    /// Returns when the last death was learned, in milliseconds.
    pub(crate) fn last_ms(&self) -> u64 {
        self.deaths.iter().map(|death| death.learned_ms).max().unwrap_or(0)
    }

    /// Adds a death that this instance saw.
    pub(crate) fn own_death(&mut self, now: Now, backend_server: &Name) {
        let again = self.deaths.iter().any(|death| {
            death.peer.is_none()
                && !death.cleared
                && death.backend_server == *backend_server
                && now.monotonic_ms < death.learned_ms + SAME_DEATH_MS
        });
        if !again {
            self.add(now, backend_server, None);
        }
    }

    /// Returns what this instance saw itself, with the time of the last death.
    pub(crate) fn own_suspect(&self) -> Option<(u64, Suspect)> {
        let own = |death: &&Death| death.peer.is_none() && !death.cleared;
        let last_ms = self.deaths.iter().filter(own).map(|death| death.learned_ms).max()?;
        let mut backend_servers: Vec<_> =
            self.deaths.iter().filter(own).map(|death| death.backend_server.clone()).collect();
        backend_servers.sort();
        Some((last_ms, Suspect { backend_servers, fingerprint: self.fingerprint }))
    }

    /// Adds the deaths that a peer saw and that were not known from it.
    pub(crate) fn peer_deaths(&mut self, now: Now, from: &Name, backend_servers: &[Name]) {
        for (index, backend_server) in backend_servers.iter().enumerate() {
            let reported =
                backend_servers[..=index].iter().filter(|name| *name == backend_server).count();
            if self.known_from(from, backend_server) < reported {
                self.add(now, backend_server, Some(from.clone()));
            }
        }
    }

    fn add(&mut self, now: Now, backend_server: &Name, peer: Option<Name>) {
        if self.deaths.len() == DEATH_LIMIT {
            return;
        }
        self.deaths.push(Death {
            backend_server: backend_server.clone(),
            cleared: false,
            learned_ms: now.monotonic_ms,
            peer,
        });
        self.deaths.sort();
        if self.counted() >= QUARANTINE_DEATHS {
            self.quarantined_until_ms = Some(now.monotonic_ms + QUARANTINE_MS);
        }
    }

    /// Counts the different deaths; `deaths` is sorted by server, then time.
    fn counted(&self) -> usize {
        let mut counted = 0;
        let mut last: Option<&Death> = None;
        for death in self.deaths.iter().filter(|death| !death.cleared) {
            if last.is_none_or(|last| differ(last, death)) {
                counted += 1;
                last = Some(death);
            }
        }
        counted
    }

    fn known_from(&self, from: &Name, backend_server: &Name) -> usize {
        let known = self.deaths.iter().filter(|death| {
            death.peer.as_ref() == Some(from) && death.backend_server == *backend_server
        });
        known.count()
    }
}

fn differ(earlier: &Death, later: &Death) -> bool {
    earlier.backend_server != later.backend_server
        || later.learned_ms >= earlier.learned_ms + SAME_DEATH_MS
}
