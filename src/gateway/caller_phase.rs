//! What a caller's connection is at, and whether it takes too long.

use crate::gateway::routing_document::CallerLimits;

/// Time beyond the idle timeout of callers for which a connection is kept, in milliseconds.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Current phase of a connection; times are in milliseconds of the boot clock.
///
/// A caller that began under one document may not know a later one, so the longest timeout that was
/// in force since holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerPhase {
    /// A request is being answered.
    Answering,
    /// No request has begun.
    Idle {
        /// Since when.
        since_ms: u64,
        /// The longest idle timeout since then.
        timeout_ms: u64,
    },
    /// A head has begun.
    ReadingHead {
        /// Since when.
        since_ms: u64,
        /// The longest header timeout since then.
        timeout_ms: u64,
    },
}

/// The timeout that a connection has exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overdue {
    /// That of a head.
    Head,
    /// That between two requests.
    Idle,
    /// None.
    No,
    /// That between two bytes of an answer that the caller takes.
    Unread,
}

impl CallerPhase {
    /// Returns the phase of a connection without a request.
    pub fn idle(now_ms: u64, limits: &CallerLimits) -> Self {
        Self::Idle { since_ms: now_ms, timeout_ms: limits.idle_timeout_ms }
    }

    /// Returns the phase after bytes of a caller have arrived.
    pub fn after_bytes(self, now_ms: u64, limits: &CallerLimits) -> Self {
        match self {
            Self::Idle { .. } => {
                Self::ReadingHead { since_ms: now_ms, timeout_ms: limits.header_timeout_ms }
            }
            Self::Answering | Self::ReadingHead { .. } => self,
        }
    }

    /// Returns the phase under the limits in force.
    pub fn under(self, limits: &CallerLimits) -> Self {
        match self {
            Self::Answering => self,
            Self::Idle { since_ms, timeout_ms } => {
                Self::Idle { since_ms, timeout_ms: timeout_ms.max(limits.idle_timeout_ms) }
            }
            Self::ReadingHead { since_ms, timeout_ms } => {
                Self::ReadingHead { since_ms, timeout_ms: timeout_ms.max(limits.header_timeout_ms) }
            }
        }
    }

    /// Returns the timeout that is exceeded.
    pub fn overdue(self, now_ms: u64) -> Overdue {
        let exceeds = |since_ms: u64, limit_ms: u64| now_ms.saturating_sub(since_ms) > limit_ms;
        match self {
            Self::ReadingHead { since_ms, timeout_ms } if exceeds(since_ms, timeout_ms) => {
                Overdue::Head
            }
            Self::Idle { since_ms, timeout_ms }
                if exceeds(since_ms, timeout_ms.saturating_add(IDLE_MARGIN_MS)) =>
            {
                Overdue::Idle
            }
            _ => Overdue::No,
        }
    }
}
