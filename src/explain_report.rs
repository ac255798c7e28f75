//! The answer of an instance to `GET /explain/{request or key}`.

use serde::{Deserialize, Serialize};

/// State of one request and the steps that led to it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainReport {
    /// Id of the request.
    pub request: String,
    /// `waiting`, `running`, `done`, `failed`, `not_run` or `unknown`.
    pub state: String,
    /// Steps in the order of time.
    pub steps: Vec<ExplainStep>,
}

/// One step of a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainStep {
    /// What happened and why, as a short sentence.
    pub sentence: String,
    /// Time since the request arrived, in milliseconds.
    pub time_ms: u64,
}
