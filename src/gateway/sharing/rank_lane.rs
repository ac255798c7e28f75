//! The waiting requests of one rank, in the order of their sharers' turns.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::sharing::fair_shares::FairShares;
use crate::gateway::sharing::level_counts::LevelCounts;
use crate::gateway::sharing::sharer::Sharer;

/// Weight of a new sample in the mean cost of a request.
const COST_WEIGHT: f64 = 0.05;

/// Weight of a new outcome in the share of a sharer's requests that waited in vain.
const OUTCOME_WEIGHT: f64 = 0.05;
/// Part of the time left that a wait may take where all of them wait in vain.
const LEAST_TRUST: f64 = 0.1;
/// Fewest places that tell the rate of a sharer.
const MIN_COUNTED: f64 = 5.0;
/// Shortest time with a queue after which they do, in milliseconds.
const MIN_COUNTED_MS: u64 = 200;
/// Time after which older places count half, in milliseconds.
const COUNTED_MS: u64 = 1_000;

/// Order of the requests of one sharer: by the time at which it expires, then by number.
pub type TurnKey = (u64, u64);

/// The requests of one rank.
#[derive(Clone, Debug, Default)]
pub struct RankLane {
    by_begin: BTreeSet<(u64, Sharer)>,
    by_length: BTreeSet<(usize, Sharer)>,
    levels: LevelCounts,
    mean_cost_us: f64,
    open_count: usize,
    queues: BTreeMap<Sharer, SharerQueue>,
    shares: FairShares,
}

/// The requests of one sharer.
#[derive(Clone, Debug, Default)]
pub struct SharerQueue {
    begin_us: u64,
    /// Since when places are counted, in milliseconds of the boot clock.
    counted_since_ms: u64,
    expired_share: f64,
    granted: f64,
    /// Those that only few backend servers may serve.
    pub limited: BTreeSet<TurnKey>,
    /// Those that any of them may serve.
    pub open: BTreeSet<TurnKey>,
}

impl SharerQueue {
    fn is_empty(&self) -> bool {
        self.limited.is_empty() && self.open.is_empty()
    }

    fn count_place(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.counted_since_ms);
        if elapsed_ms > COUNTED_MS {
            self.counted_since_ms = now_ms - elapsed_ms / 2;
            self.granted /= 2.0;
        }
        self.granted += 1.0;
    }
}

impl RankLane {
    /// Adds a request.
    pub fn insert(&mut self, now_ms: u64, sharer: &Sharer, key: TurnKey, is_limited: bool) {
        let begin_us = self.shares.begin_us(sharer);
        let is_new = !self.queues.contains_key(sharer);
        let queue = self.queues.entry(sharer.clone()).or_default();
        if is_new {
            queue.begin_us = begin_us;
            queue.counted_since_ms = now_ms;
            self.by_begin.insert((begin_us, sharer.clone()));
        }
        if is_limited {
            queue.limited.insert(key);
        } else if queue.open.insert(key) {
            let length = queue.open.len();
            self.open_count += 1;
            self.levels.grow(length);
            self.by_length.remove(&(length - 1, sharer.clone()));
            self.by_length.insert((length, sharer.clone()));
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, sharer: &Sharer, key: TurnKey) {
        let Some(queue) = self.queues.get_mut(sharer) else { return };
        queue.limited.remove(&key);
        if queue.open.remove(&key) {
            let length = queue.open.len() + 1;
            self.open_count -= 1;
            self.levels.shrink(length);
            self.by_length.remove(&(length, sharer.clone()));
            if length > 1 {
                self.by_length.insert((length - 1, sharer.clone()));
            }
        }
        if queue.is_empty() {
            self.by_begin.remove(&(queue.begin_us, sharer.clone()));
            self.queues.remove(sharer);
        }
    }

    /// Charges a request that gets a place to its sharer.
    pub fn charge(&mut self, now_ms: u64, sharer: &Sharer, cost_us: u64) {
        self.mean_cost_us += COST_WEIGHT * (cost_us as f64 - self.mean_cost_us);
        self.shares.charge(sharer, cost_us);
        if let Some(queue) = self.queues.get_mut(sharer) {
            self.by_begin.remove(&(queue.begin_us, sharer.clone()));
            queue.begin_us = self.shares.begin_us(sharer);
            self.by_begin.insert((queue.begin_us, sharer.clone()));
            queue.count_place(now_ms);
        }
    }

    /// Records whether a request of a sharer waited in vain.
    pub fn record_outcome(&mut self, sharer: &Sharer, is_expired: bool) {
        if let Some(queue) = self.queues.get_mut(sharer) {
            let expired = if is_expired { 1.0 } else { 0.0 };
            queue.expired_share += OUTCOME_WEIGHT * (expired - queue.expired_share);
        }
    }

    /// Returns the part of the time left that a wait of a sharer may take: less where waits turned
    /// out longer than expected.
    pub fn trust(&self, sharer: &Sharer) -> f64 {
        let expired = self.queues.get(sharer).map(|queue| queue.expired_share);
        (1.0 - expired.unwrap_or_default()).max(LEAST_TRUST)
    }

    /// Returns for how long a request waits that has `before` others of its sharer ahead of it, by
    /// the places that the sharer got lately, or by an equal share of the `per_ms` places that come
    /// free in a millisecond if that is more, in milliseconds; `None` if that is not known yet.
    pub fn own_wait_ms(
        &self,
        now_ms: u64,
        sharer: &Sharer,
        before: usize,
        per_ms: f64,
    ) -> Option<f64> {
        let queue = self.queues.get(sharer)?;
        let elapsed_ms = now_ms.saturating_sub(queue.counted_since_ms);
        let is_known = elapsed_ms >= MIN_COUNTED_MS && queue.granted >= MIN_COUNTED;
        let active = self.shares.len().max(self.queues.len());
        let own_per_ms = queue.granted / elapsed_ms.max(1) as f64;
        is_known.then(|| (before + 1) as f64 / own_per_ms.max(per_ms / active.max(1) as f64))
    }

    /// Returns the sharers with waiting requests, in the order of their turns.
    pub fn in_turn(&self) -> impl Iterator<Item = (&Sharer, &SharerQueue)> {
        let sharers = self.by_begin.iter();
        sharers.filter_map(|(_, sharer)| Some((sharer, self.queues.get(sharer)?)))
    }

    /// Returns the number of requests that could use any place.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the number of requests of a sharer that could use any place.
    pub fn open_of(&self, sharer: &Sharer) -> usize {
        self.queues.get(sharer).map(|queue| queue.open.len()).unwrap_or_default()
    }

    /// Returns about how many requests get their turn before the one of a sharer that has `before`
    /// others of its own ahead of it.
    pub fn ahead_of(&self, sharer: &Sharer, before: usize) -> usize {
        let lead = self.shares.lead_us(sharer) as f64 / self.mean_cost_us.max(1.0);
        self.levels.first_ones(before + 1 + lead as usize)
    }

    /// Returns the sharer with the most waiting requests, and the last of these.
    pub fn last_of_longest(&self) -> Option<(&Sharer, TurnKey)> {
        let (_, sharer) = self.by_length.last()?;
        let last = self.queues.get(sharer)?.open.last()?;
        Some((sharer, *last))
    }
}
