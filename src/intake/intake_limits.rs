//! Limits on what callers may hold, worked out from the machine of an instance.

use std::ops::RangeInclusive;

/// Memory of a machine where the settings don't tell, in megabytes.
pub const DEFAULT_MEMORY_MB: u64 = 110;
/// Descriptors of a machine where the settings don't tell.
pub const DEFAULT_DESCRIPTORS: u64 = 4_100;
/// Longest time between two parts of a body, in milliseconds.
pub const DEFAULT_BODY_SILENCE_MS: u64 = 15_000;
/// Longest time for which a caller may take no bytes of its answer, in milliseconds.
pub const DEFAULT_UNREAD_MS: u64 = 15_000;
/// Permitted memory for request bodies, in megabytes.
pub const BODY_MEMORY_RANGE_MB: RangeInclusive<u64> = 1..=1_048_576;
/// Permitted number of connections.
pub const CONNECTIONS_RANGE: RangeInclusive<u64> = 16..=1_000_000;
/// Permitted times without progress, in milliseconds.
pub const STALL_RANGE_MS: RangeInclusive<u64> = 1_000..=3_600_000;

const BYTES_PER_MB: u64 = 1_000_000;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Longest answer that is kept while it arrives, in bytes.
pub const DEFAULT_ANSWER_LIMIT_BYTES: usize = 8_388_608;
/// Part of the memory that answers may hold while they arrive.
const ANSWER_MEMORY_SHARE: u64 = 6;
/// Part of the memory that request bodies may hold.
const BODY_MEMORY_SHARE: u64 = 5;
/// Part of the memory that the buffers of connections may hold.
const CONNECTION_MEMORY_SHARE: u64 = 4;
/// Memory that a connection may hold besides bodies and answers, in bytes.
const CONNECTION_BYTES: u64 = 32_768;

/// Limits on what callers may hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Memory for the answers that the daemon keeps while they arrive, in bytes.
    pub answer_memory_bytes: usize,
    /// Memory for request bodies, in bytes.
    pub body_memory_bytes: usize,
    /// Longest time between two parts of a body, in milliseconds.
    pub body_silence_ms: u64,
    /// Connections of callers.
    pub connections: usize,
    /// Connections of other instances and of operators.
    pub fleet_connections: usize,
    /// Connections at each address that only tells the state of the instance.
    pub state_connections: usize,
    /// Longest time for which a caller may take no bytes of its answer, in milliseconds.
    pub unread_ms: u64,
}

impl IntakeLimits {
    /// Returns the limits for a machine.
    ///
    /// Half of the descriptors are for callers; the others are left for backend servers, other
    /// instances and the store.
    pub fn of_machine(memory_mb: u64, descriptors: u64) -> Self {
        let memory_bytes = memory_mb.saturating_mul(BYTES_PER_MB);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_memory = memory_bytes / CONNECTION_MEMORY_SHARE / CONNECTION_BYTES;
        let connections = (sockets / 2).min(by_memory).max(*CONNECTIONS_RANGE.start());
        Self {
            answer_memory_bytes: to_usize(memory_bytes / ANSWER_MEMORY_SHARE),
            body_memory_bytes: to_usize(memory_bytes / BODY_MEMORY_SHARE),
            body_silence_ms: DEFAULT_BODY_SILENCE_MS,
            connections: to_usize(connections),
            fleet_connections: to_usize((sockets / 16).max(8)),
            state_connections: to_usize((sockets / 32).max(4)),
            unread_ms: DEFAULT_UNREAD_MS,
        }
    }
}

impl Default for IntakeLimits {
    fn default() -> Self {
        Self::of_machine(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS)
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
