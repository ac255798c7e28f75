//! What is known of prompt parts that may crash engines, and its changes.

use crate::name::Name;

/// What is known of the shared parts of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartStanding {
    /// One of them has crashed engines; no request with it is sent until then.
    Quarantined {
        /// End of the quarantine, in milliseconds of the boot clock.
        until_ms: u64,
    },
    /// These may have crashed engines; one request with each of them may be sent at a time.
    Suspected(Vec<u64>),
    /// Nothing counts against any of them.
    Unsuspected,
}

/// Whether a part is suspected or quarantined.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PartStage {
    /// Nothing counts against it any more.
    Released,
    /// It may have crashed engines.
    Suspected,
    /// It has crashed engines.
    Quarantined,
}

impl PartStage {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::Released => "released",
            Self::Suspected => "suspected",
        }
    }
}

/// A change of what is known of one part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartChange {
    /// Engines that crashed under it.
    pub backend_servers: Vec<Name>,
    /// Id of the part.
    pub part: u64,
    /// Instance whose report changed it; `None` if it was this one.
    pub reported_by: Option<Name>,
    /// Its new stage.
    pub stage: PartStage,
}
