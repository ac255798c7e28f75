//! The outcome of a request, and the final answer to one without a complete answer.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was sent.
    Done,
    /// It ran and failed.
    Failed,
    /// It did not reach a backend server, and this send of it never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as a fixed word, for programs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// The final answer to a request that has no complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinalAnswer {
    /// HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// How the request ended.
    pub outcome: Outcome,
    /// Fixed word for the reason, for programs.
    pub reason: Name,
    /// What was wrong, as a short sentence.
    pub message: String,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
