//! What follows the sender and the body of a message, for builds that know it.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Follows the sender and the body of a message. A build passes over fields that it does not know, and
/// those of version 5 without additions pass over all of it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Additions {
    /// Limits that backend servers state.
    #[serde(default, rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ToldLimit>,
    /// The queue at which a request for a place was refused.
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    pub queue: Option<ToldQueue>,
    /// For whom a place is asked.
    #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
    pub asker: Option<ToldAsker>,
}

/// What is added to one request for a place, or to the answer to one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlaceNote {
    /// For whom a place is asked.
    pub asker: Option<ToldAsker>,
    /// The queue at which it was refused.
    pub queue: Option<ToldQueue>,
}

/// For whom a place is asked.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldAsker {
    /// Name of the customer, if there is one.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub customer: Option<Name>,
}

/// The queue of a coordinator as it was when it refused a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldQueue {
    /// Requests that would have got a place before it.
    #[serde(default, rename = "a")]
    pub ahead: u32,
    /// Time that it would have waited, in milliseconds.
    #[serde(default, rename = "m")]
    pub wait_ms: u64,
    /// All requests that waited.
    #[serde(default, rename = "n")]
    pub waiting: u32,
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
