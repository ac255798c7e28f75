//! The state of one other instance, as membership records it.

use crate::name::Name;

/// The latest confirmation of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConfirmationRecord {
    /// Whether the peer may confirm.
    pub(crate) confirms: bool,
    /// Time from which it counts, in milliseconds of the own monotonic clock.
    pub(crate) valid_from_ms: u64,
    /// Version of the list in force at the peer.
    pub(crate) list_version: u64,
}

/// State of one other instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct MemberRecord {
    /// Latest confirmation.
    pub(crate) confirmation: Option<ConfirmationRecord>,
    /// Time of the last heartbeat, in milliseconds of the own monotonic clock.
    pub(crate) last_heartbeat_ms: u64,
    /// Incarnation while it is live.
    pub(crate) incarnation: Option<u64>,
    /// Name.
    pub(crate) name: Name,
    /// Highest list version that it has ever confirmed.
    pub(crate) highest_confirmed_version: u64,
}

impl MemberRecord {
    /// Creates a record without heartbeats or confirmations.
    pub(crate) fn new(name: Name) -> Self {
        Self {
            confirmation: None,
            last_heartbeat_ms: 0,
            incarnation: None,
            name,
            highest_confirmed_version: 0,
        }
    }

    /// Records a confirmation unless a later one is recorded.
    pub(crate) fn confirm(&mut self, confirmation: ConfirmationRecord) {
        if confirmation.confirms {
            self.highest_confirmed_version =
                self.highest_confirmed_version.max(confirmation.list_version);
        }
        let later = |known: ConfirmationRecord| known.valid_from_ms > confirmation.valid_from_ms;
        if !self.confirmation.is_some_and(later) {
            self.confirmation = Some(confirmation);
        }
    }
}
