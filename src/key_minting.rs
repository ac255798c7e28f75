//! Reads from a key the time at which it was minted.

use uuid::{Uuid, Version};

/// Returns the time at which a key was minted, in milliseconds since the Unix epoch.
///
/// A UUID of version 7 (RFC 9562) carries this time; other keys don't.
pub fn minted_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds_s, nanoseconds_ns) = uuid.get_timestamp()?.to_unix();
    Some(seconds_s * 1_000 + u64::from(nanoseconds_ns) / 1_000_000)
}
