//! What instances tell each other of prompt parts that may crash engines.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;

/// Evidence on prompt parts that may crash engines; times are ages, so that clocks need not agree.
#[derive(Clone, Debug, Default, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct PartEvidence {
    /// Crashes of engines.
    pub crashes: Vec<ReportedPartCrash>,
    /// When answers last began on parts that occur in the crashes.
    pub proofs: Vec<ProvedPart>,
}

/// A crash of an engine that had not begun to answer some prompts.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct ReportedPartCrash {
    /// Id of the engine.
    pub backend_server: Name,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Shared parts of each of the prompts.
    pub prompts: Vec<Vec<u64>>,
}

/// A prompt part on which an answer has begun.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct ProvedPart {
    /// Id of the part.
    pub part: u64,
    /// Time since the first event of the answer, in milliseconds.
    pub age_ms: u64,
}

/// Why a request is not sent that has a part which may have crashed engines.
#[derive(Clone, Copy, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct PartRefusal {
    /// Whether the part is quarantined; otherwise another request with it is being tried.
    pub is_quarantined: bool,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}
