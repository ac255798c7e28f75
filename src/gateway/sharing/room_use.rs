//! Counts what the places of a service are held for, and how long free ones wait for a request.
//!
//! The load it answers: throughput that falls when more is wanted; the counters tell whether places
//! are held for nothing, are free beside a queue, or are simply held for long.

use std::collections::BTreeMap;

use crate::name::Name;

/// Longest time between two samples that counts, in milliseconds.
const MAX_SAMPLE_MS: u64 = 1_000;

/// What a place is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceUse {
    /// It is granted, and its holder has not told that it is in use.
    Granted,
    /// The prompt is read.
    Prefill,
    /// Events have begun to arrive.
    Streaming,
}

/// Places at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlaceSample {
    /// Free ones.
    pub free: u64,
    /// Granted ones that are not known to be in use.
    pub granted: u64,
    /// Those whose prompt is read.
    pub prefill: u64,
    /// Those with events.
    pub streaming: u64,
}

impl PlaceSample {
    /// Adds a place.
    pub fn add(&mut self, place_use: PlaceUse) {
        match place_use {
            PlaceUse::Granted => self.granted += 1,
            PlaceUse::Prefill => self.prefill += 1,
            PlaceUse::Streaming => self.streaming += 1,
        }
    }
}

/// Sums over time for one service; times of places are in milliseconds of one place.
#[derive(Clone, Debug, Default)]
pub struct RoomUse {
    /// Times of free places while requests waited.
    pub free_beside_queue_ms: u64,
    /// Times of places that were granted and not known to be in use.
    pub granted_ms: u64,
    /// Places that were given back without having been used, such as after the caller left.
    pub given_back: u64,
    /// Times of places whose prompt was read.
    pub prefill_ms: u64,
    /// Times of places with events.
    pub streaming_ms: u64,
    /// Number of places that were granted anew while requests waited.
    pub turnovers: u64,
    /// Time from the ends of these places to their next grants, in milliseconds.
    pub turnover_ms: u64,
    ended_ms: BTreeMap<Name, u64>,
    sampled_ms: Option<u64>,
}

impl RoomUse {
    /// Adds the time since the last sample to the sums.
    pub fn sample(&mut self, now_ms: u64, places: PlaceSample, is_contended: bool) {
        let before_ms = self.sampled_ms.replace(now_ms).unwrap_or(now_ms);
        let elapsed_ms = now_ms.saturating_sub(before_ms).min(MAX_SAMPLE_MS);
        self.granted_ms += elapsed_ms * places.granted;
        self.prefill_ms += elapsed_ms * places.prefill;
        self.streaming_ms += elapsed_ms * places.streaming;
        if is_contended {
            self.free_beside_queue_ms += elapsed_ms * places.free;
        }
    }

    /// Records that a place came free.
    pub fn record_end(&mut self, now_ms: u64, backend_server: &Name, is_contended: bool) {
        if is_contended {
            self.ended_ms.insert(backend_server.clone(), now_ms);
        }
    }

    /// Records that a place was granted.
    pub fn record_grant(&mut self, now_ms: u64, backend_server: &str) {
        if let Some(ended_ms) = self.ended_ms.remove(backend_server) {
            self.turnovers += 1;
            self.turnover_ms += now_ms.saturating_sub(ended_ms);
        }
    }

    /// Forgets what is known of the backend servers, since nothing waits for them any more.
    pub fn settle(&mut self) {
        self.ended_ms.clear();
    }
}
