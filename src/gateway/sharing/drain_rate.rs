//! Measures how many places come free, and what is left of them for a rank.
//!
//! The load it answers: more requests than places, where a wait has to be told before it is over. While
//! the queue is not empty, places end as fast as they can, so that their number is the rate. It is
//! weighed with the rate by the number of places and the mean time for which one is held, which counts
//! alone at first, and most where few places end.

use std::collections::VecDeque;

use crate::gateway::admission::Rank;

/// Time over which is counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Time that is counted together, in milliseconds.
const BUCKET_MS: u64 = 50;
/// Time for which the modelled rate counts beside the measured one, in milliseconds.
const MODELLED_MS: f64 = 300.0;
/// Least share of the places that is expected to be left for a rank.
const MIN_LEFT_SHARE: f64 = 0.02;

/// Counts the places that end and those that are granted, by rank.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    buckets: VecDeque<Bucket>,
    /// Since when the queue is not empty, in milliseconds of the boot clock.
    contended_since_ms: Option<u64>,
    started_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    begun_ms: u64,
    ended: u32,
    granted: Vec<(Rank, u32)>,
}

impl DrainRate {
    /// Records that a place came free.
    pub fn record_end(&mut self, now_ms: u64) {
        self.bucket(now_ms).ended += 1;
    }

    /// Records that a place was granted.
    pub fn record_grant(&mut self, now_ms: u64, rank: Rank) {
        let granted = &mut self.bucket(now_ms).granted;
        match granted.binary_search_by_key(&rank, |(known, _)| *known) {
            Ok(index) => granted[index].1 += 1,
            Err(index) => granted.insert(index, (rank, 1)),
        }
    }

    /// Records whether requests wait.
    pub fn set_contended(&mut self, now_ms: u64, is_contended: bool) {
        self.contended_since_ms = is_contended.then(|| self.contended_since_ms.unwrap_or(now_ms));
    }

    /// Returns how many places a millisecond come free for a rank, what goes to higher ranks taken
    /// off; `modelled_per_ms` is the rate of all by the mean time of a place.
    pub fn per_ms(&self, now_ms: u64, rank: Rank, modelled_per_ms: f64) -> f64 {
        let since_ms = now_ms.saturating_sub(WINDOW_MS);
        let recent = || self.buckets.iter().filter(move |bucket| bucket.begun_ms >= since_ms);
        let contended_ms = self.contended_since_ms.map(|begun_ms| now_ms.saturating_sub(begun_ms));
        let measured_ms = contended_ms.unwrap_or_default().min(WINDOW_MS);
        let from_ms = now_ms - measured_ms;
        let ended = recent().filter(|bucket| bucket.begun_ms >= from_ms);
        let ended = f64::from(ended.map(|bucket| bucket.ended).sum::<u32>());
        let all = (ended + modelled_per_ms * MODELLED_MS) / (measured_ms as f64 + MODELLED_MS);
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let counted_ms = now_ms.saturating_sub(started_ms).clamp(BUCKET_MS, WINDOW_MS);
        let granted = recent().flat_map(|bucket| &bucket.granted);
        let higher = granted.filter(|(granted, _)| *granted < rank).map(|(_, count)| *count);
        let higher = f64::from(higher.sum::<u32>()) / counted_ms as f64;
        (all - higher).max(all * MIN_LEFT_SHARE)
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        self.started_ms.get_or_insert(now_ms);
        let begun_ms = now_ms - now_ms % BUCKET_MS;
        if self.buckets.back().is_none_or(|bucket| bucket.begun_ms < begun_ms) {
            self.buckets.push_back(Bucket { begun_ms, ..Bucket::default() });
        }
        while self.buckets.len() > (WINDOW_MS / BUCKET_MS) as usize + 1 {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
