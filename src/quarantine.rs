//! The quarantine of requests that crash backend servers.
//!
//! A request that was running at a backend server when it crashed is a suspect. After two crashes
//! it is quarantined. Reports of a crash of one server within [`SAME_CRASH_MS`] are the same crash,
//! whichever instances report it. A later report means another crash of that server, and so does
//! any report if the request was sent after the earlier crash was recorded. A request that finishes
//! is no longer a suspect.

use crate::name::Name;
use crate::now::Now;
use crate::peer_message::Suspect;
use crate::suspect_record::SuspectRecord;

/// Maximum number of fingerprints that are recorded by default.
pub const RECORD_LIMIT: usize = 4_096;
/// Maximum number of suspects that one heartbeat reports.
pub const REPORTED_SUSPECT_LIMIT: usize = 256;
/// Time within which reports of the crash of one server mean the same crash, in milliseconds.
pub const SAME_CRASH_MS: u64 = 5_000;
/// Time after which a crash expires, and for which a request is quarantined after its last crash,
/// in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;

/// Records of the requests that were running at backend servers when these crashed.
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
    /// Returns a quarantine that records at most `limit` fingerprints, and at least one.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), records: Vec::new() }
    }

    /// Records that this instance saw a backend server crash while these requests were running.
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

    /// Records that this instance saw the crash of a backend server to which it had sent a request
    /// at `sent_ms`; a crash that was recorded before then was another one.
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

    /// Records that a request finished: its earlier crashes count no longer.
    pub fn record_finish(&mut self, fingerprint: u64) {
        if let Ok(index) = self.find(fingerprint) {
            self.records[index].clear();
        }
    }

    /// Merges the suspects that a peer reports, and returns those with a crash that was not recorded
    /// from it yet.
    pub fn merge(&mut self, now: Now, from: &Name, suspects: &[Suspect]) -> Vec<Suspect> {
        self.expire(now);
        let mut news = Vec::new();
        for suspect in suspects {
            let record = self.record(suspect.fingerprint);
            if record.merge_peer_crashes(now, from, &suspect.backend_servers) {
                news.push(suspect.clone());
            }
            self.evict();
        }
        news
    }

    /// Returns the crashes that this instance saw itself at which a request was running, if any count.
    pub fn own_suspect(&self, fingerprint: u64) -> Option<Suspect> {
        let index = self.find(fingerprint).ok()?;
        self.records[index].own_suspect().map(|(_, suspect)| suspect)
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

    /// Returns the latest suspects of crashes that this instance saw itself, sorted by fingerprint,
    /// at most [`REPORTED_SUSPECT_LIMIT`]. A server that crashed twice is listed twice.
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
