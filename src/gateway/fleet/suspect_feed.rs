//! What an instance tells others of the requests that were running at backend servers when these
//! crashed.
//!
//! A suspect is listed in a few reports once it is known and in some later ones. Each report lists a
//! bounded number, so that reports do not grow with the number of crashes.

use std::collections::BTreeMap;

use crate::gateway::fleet::message::ReportedSuspects;
use crate::name::Name;
use crate::peer_message::Suspect;
use crate::quarantine::{QUARANTINE_MS, RECORD_LIMIT};

/// Maximum number of suspects in one report.
pub const REPORTED_LIMIT: usize = 64;
/// Number of reports that list a suspect as news, so that a lost datagram does no harm.
const NEWS_REPORTS: u8 = 3;
/// Maximum number of suspects in a full report that are no news.
const REPEATED_LIMIT: usize = 24;

/// A suspect, with the instance that saw its crashes.
#[derive(Clone, Debug)]
struct KnownSuspect {
    heard_ms: u64,
    reported_by: Name,
    suspect: Suspect,
    /// Reports that have listed it.
    told: u8,
}

/// The suspects that one kind of report lists.
#[derive(Clone, Debug, Default)]
pub struct SuspectFeed {
    /// Sorted by fingerprint and reporting instance.
    known: Vec<KnownSuspect>,
    next_repeated: usize,
}

impl SuspectFeed {
    /// Adds a suspect that the next reports list as news.
    pub fn add_news(&mut self, now_ms: u64, reported_by: &Name, suspect: &Suspect) {
        self.add(now_ms, reported_by, suspect, 0);
    }

    /// Adds a suspect that the receivers of the reports have been told by others.
    pub fn add_told(&mut self, now_ms: u64, reported_by: &Name, suspect: &Suspect) {
        self.add(now_ms, reported_by, suspect, NEWS_REPORTS);
    }

    /// Removes what an instance reported of a request, since the request finished there.
    pub fn remove(&mut self, reported_by: &Name, fingerprint: u64) {
        if let Ok(index) = self.find(fingerprint, reported_by) {
            self.known.remove(index);
        }
    }

    /// Returns the suspects for the next report; a full one repeats some that are no news.
    pub fn next_report(&mut self, now_ms: u64, is_full: bool) -> Vec<ReportedSuspects> {
        self.known.retain(|known| now_ms < known.heard_ms + QUARANTINE_MS);
        let mut indices = self.news();
        for index in &indices {
            self.known[*index].told += 1;
        }
        if is_full {
            let room = REPEATED_LIMIT.min(REPORTED_LIMIT - indices.len()).min(self.known.len());
            for step in 0..room {
                indices.push((self.next_repeated + step) % self.known.len());
            }
            self.next_repeated = self.next_repeated.wrapping_add(room);
        }
        indices.sort();
        indices.dedup();
        by_instance(indices.into_iter().map(|index| &self.known[index]))
    }

    /// Returns the indices of the news for the next report: first of the requests with most crashes.
    fn news(&self) -> Vec<usize> {
        let is_news = |index: &usize| self.known[*index].told < NEWS_REPORTS;
        let mut news: Vec<usize> = (0..self.known.len()).filter(is_news).collect();
        if news.len() > REPORTED_LIMIT {
            news.sort_by_cached_key(|index| {
                let known = &self.known[*index];
                (usize::MAX - self.crash_count(known.suspect.fingerprint), known.heard_ms)
            });
            news.truncate(REPORTED_LIMIT);
        }
        news
    }

    fn crash_count(&self, fingerprint: u64) -> usize {
        let begin = self.known.partition_point(|known| known.suspect.fingerprint < fingerprint);
        let same = self.known[begin..].iter();
        let same = same.take_while(|known| known.suspect.fingerprint == fingerprint);
        same.map(|known| known.suspect.backend_servers.len()).sum()
    }

    fn add(&mut self, now_ms: u64, reported_by: &Name, suspect: &Suspect, told: u8) {
        let known = KnownSuspect {
            heard_ms: now_ms,
            reported_by: reported_by.clone(),
            suspect: suspect.clone(),
            told,
        };
        match self.find(suspect.fingerprint, reported_by) {
            Ok(index) => self.known[index] = known,
            Err(index) => self.known.insert(index, known),
        }
        if self.known.len() > RECORD_LIMIT {
            let oldest = (0..self.known.len()).min_by_key(|index| self.known[*index].heard_ms);
            self.known.remove(oldest.unwrap_or_default());
        }
    }

    fn find(&self, fingerprint: u64, reported_by: &Name) -> Result<usize, usize> {
        self.known.binary_search_by(|known| {
            (known.suspect.fingerprint, &known.reported_by).cmp(&(fingerprint, reported_by))
        })
    }
}

fn by_instance<'a, I>(suspects: I) -> Vec<ReportedSuspects>
where
    I: Iterator<Item = &'a KnownSuspect>,
{
    let mut by_instance: BTreeMap<Name, Vec<Suspect>> = BTreeMap::new();
    for known in suspects {
        by_instance.entry(known.reported_by.clone()).or_default().push(known.suspect.clone());
    }
    let reported = by_instance.into_iter();
    reported.map(|(instance, suspects)| ReportedSuspects { instance, suspects }).collect()
}

/// The suspects that each kind of report lists.
#[derive(Clone, Debug, Default)]
pub struct SuspectFeeds {
    /// Those of all instances, for the members of the cell.
    pub cell: SuspectFeed,
    /// Those of this instance, for its coordinators.
    pub member: SuspectFeed,
    /// Those of the instances of the own cell, for other cells.
    pub summary: SuspectFeed,
}

impl SuspectFeeds {
    /// Adds a suspect that this instance saw.
    pub fn add_own(&mut self, now_ms: u64, own_name: &Name, suspect: &Suspect) {
        for feed in [&mut self.cell, &mut self.member, &mut self.summary] {
            feed.add_news(now_ms, own_name, suspect);
        }
    }

    /// Removes a request of this instance, since it finished.
    pub fn remove_own(&mut self, own_name: &Name, fingerprint: u64) {
        for feed in [&mut self.cell, &mut self.member, &mut self.summary] {
            feed.remove(own_name, fingerprint);
        }
    }
}
