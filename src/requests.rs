//! All requests of one instance, by sequence number and by key.

use std::collections::{BTreeMap, VecDeque};

use crate::name::Name;
use crate::request::Request;

/// Maximum number of ended requests without a kept answer that stay visible to operators.
const HISTORY_LIMIT: usize = 256;

/// All requests of one instance.
///
/// Requests arrive and end at a high rate, so they are stored in B-trees: an insert into a sorted
/// vector takes time in proportion to its length.
#[derive(Debug, Default)]
pub struct Requests {
    active: BTreeMap<u64, Request>,
    by_key: BTreeMap<Name, u64>,
    ended: BTreeMap<u64, Request>,
    history: VecDeque<u64>,
    kept: VecDeque<(u64, u64)>,
}

impl Requests {
    /// Iterates over the requests that have not ended, in the order of their numbers.
    pub fn active(&self) -> impl Iterator<Item = &Request> {
        self.active.values()
    }

    /// Returns the request of a key, ended or not.
    pub fn by_key(&self, key: &str) -> Option<&Request> {
        self.get(*self.by_key.get(key)?)
    }

    /// Moves a request to the ended ones.
    ///
    /// It is kept until the given monotonic time, in milliseconds, or, without one, while it is
    /// among the latest in the history. It can still be found by its key only if it holds the key.
    pub fn end(&mut self, sequence: u64, keep_until_ms: Option<u64>) {
        let Some(mut request) = self.active.remove(&sequence) else { return };
        request.arrival.prefix_hashes = Vec::new();
        if let Some(key) = &request.arrival.key
            && !request.holds_key
            && self.by_key.get(key) == Some(&sequence)
        {
            self.by_key.remove(key);
        }
        self.ended.insert(sequence, request);
        match keep_until_ms {
            Some(until_ms) => self.kept.push_back((until_ms, sequence)),
            None => self.add_to_history(sequence),
        }
    }

    /// Removes the kept requests whose time has passed, and returns their numbers.
    pub fn expire(&mut self, monotonic_ms: u64) -> Vec<u64> {
        let mut expired = Vec::new();
        while let Some((until_ms, sequence)) = self.kept.front().copied()
            && until_ms <= monotonic_ms
        {
            self.kept.pop_front();
            self.remove_ended(sequence);
            expired.push(sequence);
        }
        expired
    }

    /// Returns a request by number, ended or not.
    pub fn get(&self, sequence: u64) -> Option<&Request> {
        self.active.get(&sequence).or_else(|| self.ended.get(&sequence))
    }

    /// Returns a request that has not ended, by number.
    pub fn get_active_mut(&mut self, sequence: u64) -> Option<&mut Request> {
        self.active.get_mut(&sequence)
    }

    /// Adds a request.
    pub fn insert(&mut self, request: Request) {
        let sequence = request.arrival.sequence;
        if let Some(key) = &request.arrival.key {
            self.by_key.insert(key.clone(), sequence);
        }
        self.active.insert(sequence, request);
    }

    /// Returns the numbers of the active requests that meet a condition.
    pub fn sequences_where<F>(&self, condition: F) -> Vec<u64>
    where
        F: Fn(&Request) -> bool,
    {
        self.active()
            .filter(|request| condition(request))
            .map(|request| request.arrival.sequence)
            .collect()
    }

    fn remove_ended(&mut self, sequence: u64) {
        let Some(request) = self.ended.remove(&sequence) else { return };
        let Some(key) = request.arrival.key else { return };
        if self.by_key.get(&key) == Some(&sequence) {
            self.by_key.remove(&key);
        }
    }

    fn add_to_history(&mut self, sequence: u64) {
        self.history.push_back(sequence);
        if self.history.len() > HISTORY_LIMIT
            && let Some(oldest) = self.history.pop_front()
        {
            self.remove_ended(oldest);
        }
    }
}
