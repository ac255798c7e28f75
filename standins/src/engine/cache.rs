//! Prefix cache of the engine with least-recently-used eviction, and its cache events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Maximum number of events kept for readers.
const EVENTS_LIMIT: usize = 65_536;

/// A block stored or evicted.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct CacheEvent {
    pub sequence: u64,
    pub prefix_hash: u64,
    pub stored: bool,
}

/// A cached block, identified by the hash of the prefix that ends with it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct Block {
    pub prefix_hash: u64,
    pub parent_hash: u64,
    #[serde(skip)]
    used: u64,
}

pub(super) struct Cache {
    blocks: Vec<Block>,
    blocks_limit: usize,
    event_lag: Duration,
    event_loss: f64,
    events: VecDeque<(Instant, CacheEvent)>,
    rng: ChaCha8Rng,
    sequence: u64,
    use_count: u64,
}

impl Cache {
    pub(super) fn new(
        blocks_limit: usize,
        event_lag: Duration,
        event_loss: f64,
        seed: u64,
    ) -> Self {
        Self {
            blocks: Vec::new(),
            blocks_limit,
            event_lag,
            event_loss,
            events: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            use_count: 0,
        }
    }

    /// Returns the number of leading blocks that are cached, and marks them as used.
    pub(super) fn touch(&mut self, hashes: &[u64]) -> usize {
        let newest = self.reserve_uses(hashes.len());
        for (count, hash) in hashes.iter().enumerate() {
            match self.position(*hash) {
                Ok(index) => self.blocks[index].used = newest - count as u64,
                Err(_) => return count,
            }
        }
        hashes.len()
    }

    /// Stores as many leading blocks of a prefix as fit in the cache.
    pub(super) fn store(&mut self, hashes: &[u64], now: Instant) {
        let newest = self.reserve_uses(hashes.len());
        let mut parent_hash = 0;
        for (count, &prefix_hash) in hashes.iter().take(self.blocks_limit).enumerate() {
            let used = newest - count as u64;
            self.insert(Block { prefix_hash, parent_hash, used }, now);
            parent_hash = prefix_hash;
        }
    }

    /// Returns the blocks of a prefix in order, or `None` if one is missing.
    pub(super) fn export(&self, prefix_hash: u64) -> Option<Vec<Block>> {
        let mut chain = Vec::new();
        let mut hash = prefix_hash;
        while hash != 0 {
            let block = self.blocks[self.position(hash).ok()?];
            chain.push(block);
            hash = block.parent_hash;
        }
        chain.reverse();
        Some(chain)
    }

    /// Returns the events after a sequence number whose lag has passed.
    pub(super) fn events_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| *at + self.event_lag <= now);
        visible.map(|(_, event)| *event).filter(|event| event.sequence > after).collect()
    }

    fn position(&self, prefix_hash: u64) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&prefix_hash, |block| block.prefix_hash)
    }

    /// Reserves a use number for each block of a prefix and returns the highest. A block gets a
    /// lower number than its parent, so that a prefix is evicted from its end.
    fn reserve_uses(&mut self, blocks: usize) -> u64 {
        self.use_count += blocks as u64;
        self.use_count
    }

    fn insert(&mut self, block: Block, now: Instant) {
        if let Ok(index) = self.position(block.prefix_hash) {
            self.blocks[index].used = block.used;
            return;
        }
        if self.blocks.len() == self.blocks_limit {
            self.evict(now);
        }
        let index = self.position(block.prefix_hash).unwrap_or_else(|index| index);
        self.blocks.insert(index, block);
        self.record_event(block.prefix_hash, true, now);
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self.blocks.iter().enumerate().min_by_key(|(_, block)| block.used);
        if let Some((index, _)) = oldest {
            let block = self.blocks.remove(index);
            self.record_event(block.prefix_hash, false, now);
        }
    }

    fn record_event(&mut self, prefix_hash: u64, stored: bool, now: Instant) {
        self.sequence += 1;
        if self.rng.random::<f64>() < self.event_loss {
            return;
        }
        if self.events.len() == EVENTS_LIMIT {
            self.events.pop_front();
        }
        let event = CacheEvent { sequence: self.sequence, prefix_hash, stored };
        self.events.push_back((now, event));
    }
}
