//! Follows counters that several sources report, of which one is counted at a time.
//!
//! The counters of two sources differ by what each missed before it started, so only differences
//! between two reports of the same source count. When the followed source falls silent, the next one
//! is followed from what it had reported at the last report that counted, so what is counted twice or
//! missed is at most what was spent in one interval.

use crate::gateway::fleet::message::Spent;
use crate::name::Name;

/// Silence after which another source is followed, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// Maximum number of sources that are remembered.
const SOURCE_LIMIT: usize = 4;

/// Identifies one start of a source.
pub type SourceId = (Name, u64);

/// Counters of one group, from redundant sources.
#[derive(Clone, Debug, Default)]
pub struct CounterFeed {
    followed: Option<SourceId>,
    sources: Vec<Source>,
}

#[derive(Clone, Debug)]
struct Source {
    /// Counters at the last report of the followed source.
    base: Counters,
    heard_ms: u64,
    id: SourceId,
    latest: Counters,
}

/// Units by customer, sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    entries: Vec<(Name, u64)>,
}

impl Counters {
    /// Returns the units of a customer.
    pub fn get(&self, customer: &str) -> u64 {
        let index = self.entries.binary_search_by(|(known, _)| (**known).cmp(customer));
        index.map(|index| self.entries[index].1).unwrap_or_default()
    }

    /// Sets the units of a customer.
    pub fn set(&mut self, customer: &Name, units: u64) {
        match self.entries.binary_search_by(|(known, _)| known.cmp(customer)) {
            Ok(index) => self.entries[index].1 = units,
            Err(index) => self.entries.insert(index, (customer.clone(), units)),
        }
    }

    /// Adds units to a customer.
    pub fn add(&mut self, customer: &Name, units: u64) {
        self.set(customer, self.get(customer).saturating_add(units));
    }

    /// Returns all customers with their units.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.entries.iter().map(|(customer, units)| (customer, *units))
    }
}

impl CounterFeed {
    /// Records a report and returns the units that were spent since the last one that counted.
    ///
    /// A report of a source not known yet counts only as a baseline, and must be full. A counter
    /// that went back adds nothing.
    pub fn receive(
        &mut self,
        now_ms: u64,
        id: &SourceId,
        is_full: bool,
        spent: &[Spent],
    ) -> Vec<Spent> {
        let Some(index) = self.sources.iter().position(|source| source.id == *id) else {
            if is_full {
                self.insert(now_ms, id, spent);
            }
            return Vec::new();
        };
        let source = &mut self.sources[index];
        source.heard_ms = now_ms;
        let before = source.latest.clone();
        for entry in spent {
            source.latest.set(&entry.customer, entry.units);
        }
        let before = match self.follow(now_ms, id) {
            Following::Already => before,
            Following::Now => self.sources[index].base.clone(),
            Following::Other => return Vec::new(),
        };
        let latest = self.sources[index].latest.clone();
        for source in &mut self.sources {
            source.base = source.latest.clone();
        }
        let gained = latest.iter().map(|(customer, units)| Spent {
            customer: customer.clone(),
            units: units.saturating_sub(before.get(customer)),
        });
        gained.filter(|entry| entry.units > 0).collect()
    }

    fn follow(&mut self, now_ms: u64, id: &SourceId) -> Following {
        let is_heard = |followed: &SourceId| {
            let source = self.sources.iter().find(|source| source.id == *followed);
            source.is_some_and(|source| now_ms < source.heard_ms + SILENCE_MS)
        };
        match &self.followed {
            Some(followed) if followed == id => Following::Already,
            Some(followed) if is_heard(followed) => Following::Other,
            _ => {
                self.followed = Some(id.clone());
                Following::Now
            }
        }
    }

    fn insert(&mut self, now_ms: u64, id: &SourceId, spent: &[Spent]) {
        let mut latest = Counters::default();
        for entry in spent {
            latest.set(&entry.customer, entry.units);
        }
        let base = latest.clone();
        self.sources.push(Source { base, heard_ms: now_ms, id: id.clone(), latest });
        if self.sources.len() > SOURCE_LIMIT {
            let oldest = (0..self.sources.len()).min_by_key(|index| self.sources[*index].heard_ms);
            self.sources.remove(oldest.unwrap_or_default());
        }
    }
}

/// Whether a source is counted.
enum Following {
    Already,
    Now,
    Other,
}
