//! What follows the sender and the body of a message, for builds that know it.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Follows the sender and the body of a message. A build passes over fields that it does not know, and
/// those of version 5 without additions pass over all of it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Additions {
    /// Cold backend servers, from builds that limit what these get: in reports, and empty in answers.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub cold: Option<Vec<ToldCold>>,
    /// How many better ranked members of its cell a member passes over for the coordinator that it
    /// follows.
    #[serde(default, rename = "f", skip_serializing_if = "is_zero")]
    pub passed_over: u32,
    /// Limits that backend servers state.
    #[serde(default, rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ToldLimit>,
}

/// The limit that a backend server states.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldLimit {
    /// Time since the statement, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Id of the backend server.
    #[serde(rename = "s")]
    pub backend_server: Name,
    /// Start of the run that states it, in Unix milliseconds, if it is published.
    #[serde(default, rename = "b")]
    pub born_ms: Option<u64>,
    /// The limit, in thousandths of a request a second; `None` if it has ended.
    #[serde(default, rename = "r")]
    pub millirequests_per_s: Option<u64>,
}

/// How long a backend server stays cold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldCold {
    /// Time since this was stated, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Id of the backend server.
    #[serde(rename = "s")]
    pub backend_server: Name,
    /// Start of its run, in Unix milliseconds, if it is published.
    #[serde(default, rename = "b")]
    pub born_ms: Option<u64>,
    /// Time for which it stays cold, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
    /// Number of its record at that time.
    #[serde(rename = "q")]
    pub sequence: u64,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
