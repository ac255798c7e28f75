//! What an instance answers to `GET /explain/{request or key}`.

use serde::{Deserialize, Serialize};

/// What became of one request, and why.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainReport {
    /// The request.
    pub request: String,
    /// `waiting`, `running`, `done`, `failed`, `not_run` or `unknown`.
    pub state: String,
    /// What happened, in the order of time.
    pub steps: Vec<ExplainStep>,
}

/// One thing that happened to a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainStep {
    /// What happened and why, as a short sentence.
    pub sentence: String,
    /// Time since the request arrived, in milliseconds.
    pub time_ms: u64,
}
