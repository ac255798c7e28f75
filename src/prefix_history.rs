//! Tracks which prompt prefixes one model engine has cached, by own dispatch history and by its
//! cache events.
//!
//! The history is bounded; the least recently used prefix is evicted first. Each lost event may
//! have evicted one prefix, and engines evict the least recently used ones first: a gap of n events
//! evicts the n least recently used prefixes. A batch that ends before the last recorded event
//! comes from a restarted engine, whose cache is empty.

use std::collections::BTreeMap;

use crate::load_report::CacheEvent;

/// Maximum number of prefixes that are kept for one engine.
pub const PREFIX_LIMIT: usize = 4_096;
/// Tokens of one block of a prefix.
pub const BLOCK_TOKENS: u64 = 256;

/// Prefixes that one engine has cached, by estimate.
#[derive(Clone, Debug, Default)]
pub struct PrefixHistory {
    hash_by_use: BTreeMap<u64, u64>,
    last_sequence: Option<u64>,
    uses: u64,
    use_by_hash: BTreeMap<u64, u64>,
}

impl PrefixHistory {
    /// Records the dispatch of a request with these prefixes, shortest first, to the engine.
    ///
    /// The longest is recorded first, so that a prefix is evicted before those it extends.
    pub fn record_dispatch(&mut self, prefix_hashes: &[u64]) {
        for prefix_hash in prefix_hashes.iter().take(PREFIX_LIMIT).rev() {
            self.store(*prefix_hash);
        }
    }

    /// Applies cache events in the order in which the engine listed them.
    pub fn apply(&mut self, events: &[CacheEvent]) {
        self.clear_if_restarted(events);
        for event in events {
            self.apply_event(event);
        }
    }

    /// Returns the estimated number of cached tokens of a prompt.
    pub fn cached_tokens(&self, prefix_hashes: &[u64]) -> u64 {
        let cached = prefix_hashes.partition_point(|hash| self.use_by_hash.contains_key(hash));
        cached as u64 * BLOCK_TOKENS
    }

    /// Removes all prefixes, as after a crash of the engine.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.use_by_hash.len()
    }

    /// Returns whether there is no prefix.
    pub fn is_empty(&self) -> bool {
        self.use_by_hash.is_empty()
    }

    fn apply_event(&mut self, event: &CacheEvent) {
        if let Some(last) = self.last_sequence {
            if event.sequence <= last {
                return;
            }
            self.evict_oldest(event.sequence - last - 1);
        }
        self.last_sequence = Some(event.sequence);
        if event.stored {
            self.store(event.prefix_hash);
        } else {
            self.remove(event.prefix_hash);
        }
    }

    fn remove(&mut self, prefix_hash: u64) {
        if let Some(last_use) = self.use_by_hash.remove(&prefix_hash) {
            self.hash_by_use.remove(&last_use);
        }
    }

    fn clear_if_restarted(&mut self, events: &[CacheEvent]) {
        let highest = events.iter().map(|event| event.sequence).max();
        if highest.is_some() && highest < self.last_sequence {
            self.clear();
        }
    }

    fn evict_oldest(&mut self, count: u64) {
        for _ in 0..count {
            let Some((_, prefix_hash)) = self.hash_by_use.pop_first() else { return };
            self.use_by_hash.remove(&prefix_hash);
        }
    }

    fn store(&mut self, prefix_hash: u64) {
        self.remove(prefix_hash);
        self.uses += 1;
        self.use_by_hash.insert(prefix_hash, self.uses);
        self.hash_by_use.insert(self.uses, prefix_hash);
        if self.use_by_hash.len() > PREFIX_LIMIT {
            self.evict_oldest(1);
        }
    }
}
