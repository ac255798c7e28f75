//! The body of the answer to `POST /drain`.

use serde::{Deserialize, Serialize};

use crate::status_report::RequestCounts;

/// Work that is left before a drained instance stops.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the instance.
    pub instance: String,
    /// Requests that it finishes or refuses first.
    pub requests: RequestCounts,
}
