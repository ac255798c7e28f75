//! The load and the prefix cache changes that a model engine reports about itself.

use serde::{Deserialize, Serialize};

/// Load of a model engine at the time it was sampled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Age of the sample when it was answered, in milliseconds.
    pub age_ms: u64,
    /// Tokens of requests waiting in the engine.
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
    /// Number of the event among those of its engine; a gap means that events were lost.
    pub sequence: u64,
    /// Whether the block was stored or evicted.
    pub stored: bool,
}
