//! Why an instance closes a connection for its own limits.

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosingCause {
    /// There were as many connections as there may be, and none gave way.
    NoRoom,
    /// It gave way to a new one.
    Replaced,
    /// Its caller took no bytes of its answer for too long.
    Unread,
}

impl ClosingCause {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::Replaced => "replaced",
            Self::Unread => "unread",
        }
    }
}
