//! What a model engine reports of its own load and cache.

use serde::{Deserialize, Serialize};

/// Load of a model engine at the time it was sampled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Age of the sample when it was answered, in milliseconds.
    pub age_ms: u64,
    /// Tokens of requests that wait in the engine.
    pub queued_tokens: u64,
    /// Requests that the engine is running.
    pub running_requests: u32,
    /// Tokens of requests that the engine is running.
    pub running_tokens: u64,
}

/// A change in the prefix cache of a model engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Hash of the prefix up to and including the block.
    pub prefix_hash: u64,
    /// Counts the events of one engine; a gap means that events were lost.
    pub sequence: u64,
    /// Whether the block was stored or evicted.
    pub stored: bool,
}
