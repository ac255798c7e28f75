//! Quarantine of requests that crash backend servers.
//!
//! A request that ran at a backend server when it died is a suspect. One that ran at two crashes is
//! quarantined. Reports of the crash of one server within [`SAME_CRASH_MS`] are one crash, whoever
//! sends them; later ones are another crash of that server, and so is one at which the request had
//! been sent after the earlier one was known. A request that finishes is no longer
//! suspect.

use crate::name::Name;
use crate::now::Now;
use crate::peer_message::Suspect;
use crate::suspect_record::SuspectRecord;

/// Most fingerprints that are remembered by default.
pub const RECORD_LIMIT: usize = 4_096;
/// Most suspects that go into one heartbeat.
pub const REPORTED_SUSPECT_LIMIT: usize = 256;
/// Time within which reports of the crash of one server mean the same crash, in milliseconds.
pub const SAME_CRASH_MS: u64 = 5_000;
/// How long a crash is remembered, and how long a request is quarantined after its last one, in
/// milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;

/// What is known of requests that ran at backend servers that died.
#[derive(Clone, Debug)]
pub struct Quarantine {
    limit: usize,
    records: Vec<SuspectRecord>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(RECORD_LIMIT)
    }
}

impl Quarantine {
    /// Remembers at most `limit` fingerprints, and at least one.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), records: Vec::new() }
    }

    /// Takes in that this instance saw a backend server die while it ran these requests.
    pub fn record_crashes(
        &mut self,
        now: Now,
        backend_server: &Name,
        running_fingerprints: &[u64],
    ) {
        for fingerprint in running_fingerprints {
            self.record_crash(now, backend_server, *fingerprint, 0);
        }
    }

    /// Takes in that this instance saw a backend server die that it had sent a request at
    /// `sent_ms`; a crash that was known before was another one.
    pub fn record_crash(
        &mut self,
        now: Now,
        backend_server: &Name,
        fingerprint: u64,
        sent_ms: u64,
    ) {
        self.expire(now);
        self.record(fingerprint).record_own_crash(now, backend_server, sent_ms);
        self.evict();
    }

    /// Takes in that a request finished.
    pub fn record_finish(&mut self, fingerprint: u64) {
        if let Ok(index) = self.find(fingerprint) {
            self.records[index].clear();
        }
    }

    /// Takes in the suspects that a heartbeat of a peer names; repeats change nothing.
    pub fn merge(&mut self, now: Now, from: &Name, suspects: &[Suspect]) {
        self.expire(now);
        for suspect in suspects {
            self.record(suspect.fingerprint).merge_peer_crashes(
                now,
                from,
                &suspect.backend_servers,
            );
            self.evict();
        }
    }

    /// Returns whether a fingerprint is quarantined.
    pub fn is_quarantined(&mut self, now: Now, fingerprint: u64) -> bool {
        self.expire(now);
        self.find(fingerprint).is_ok_and(|index| self.records[index].is_quarantined())
    }

    /// Returns the fingerprints that are quarantined, sorted.
    pub fn quarantined(&mut self, now: Now) -> Vec<u64> {
        self.expire(now);
        let quarantined = self.records.iter().filter(|record| record.is_quarantined());
        quarantined.map(|record| record.fingerprint).collect()
    }

    /// Returns the fingerprints that are suspect and not quarantined, sorted.
    pub fn suspected(&mut self, now: Now) -> Vec<u64> {
        self.expire(now);
        let suspected =
            self.records.iter().filter(|record| record.is_suspect() && !record.is_quarantined());
        suspected.map(|record| record.fingerprint).collect()
    }

    /// Returns the latest suspects that this instance saw itself, sorted by fingerprint, at most
    /// [`REPORTED_SUSPECT_LIMIT`]. A server that died twice is named twice.
    pub fn suspects(&self) -> Vec<Suspect> {
        let mut own: Vec<_> = self.records.iter().filter_map(SuspectRecord::own_suspect).collect();
        own.sort_by_key(|(last_ms, suspect)| (u64::MAX - last_ms, suspect.fingerprint));
        own.truncate(REPORTED_SUSPECT_LIMIT);
        let mut suspects: Vec<_> = own.into_iter().map(|(_, suspect)| suspect).collect();
        suspects.sort_by_key(|suspect| suspect.fingerprint);
        suspects
    }

    fn evict(&mut self) {
        if self.records.len() <= self.limit {
            return;
        }
        let oldest = (0..self.records.len()).min_by_key(|index| {
            let record = &self.records[*index];
            (record.is_quarantined(), record.is_suspect(), record.last_ms())
        });
        if let Some(index) = oldest {
            self.records.remove(index);
        }
    }

    fn expire(&mut self, now: Now) {
        self.records.retain_mut(|record| record.expire(now));
    }

    fn find(&self, fingerprint: u64) -> Result<usize, usize> {
        self.records.binary_search_by_key(&fingerprint, |record| record.fingerprint)
    }

    fn record(&mut self, fingerprint: u64) -> &mut SuspectRecord {
        let index = match self.find(fingerprint) {
            Err(index) => {
                self.records.insert(index, SuspectRecord::new(fingerprint));
                index
            }
            Ok(index) => index,
        };
        &mut self.records[index]
    }
}
