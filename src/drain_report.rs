//! What an instance answers to `POST /drain`.

use serde::{Deserialize, Serialize};

use crate::status_report::RequestCounts;

/// What is left to do before a drained instance stops.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the instance.
    pub instance: String,
    /// Requests that it finishes or hands back first.
    pub requests: RequestCounts,
}
