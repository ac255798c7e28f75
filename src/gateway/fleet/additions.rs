//! What follows the sender and the body of a message, for builds that know it.

use serde::{Deserialize, Serialize};

use crate::gateway::fleet::message::UnitsLeft;
use crate::name::Name;

/// Follows the sender and the body of a message. A build passes over fields that it does not know, and
/// those of version 5 without additions pass over all of it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Additions {
    /// What concerns the lead of a cell.
    #[serde(default, rename = "h", skip_serializing_if = "Option::is_none")]
    pub handover: Option<HandoverNote>,
    /// Limits that backend servers state.
    #[serde(default, rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ToldLimit>,
    /// A part of what is left of the limits, for an instance that asked for it.
    #[serde(default, rename = "u", skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsagePart>,
}

/// What an instance says about the lead of its cell.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverNote {
    /// Whether it could lead and lets another one do so.
    #[serde(default, rename = "s")]
    pub stands_by: bool,
    /// Whether it should be told what is left of the limits of all customers.
    #[serde(default, rename = "w")]
    pub wants_balances: bool,
}

/// One part of the list of what is left of the limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsagePart {
    /// Number of parts of the list.
    #[serde(rename = "c")]
    pub count: u32,
    /// Index of this part, from 0.
    #[serde(rename = "i")]
    pub index: u32,
    /// Units left, by customer.
    #[serde(rename = "l")]
    pub left: Vec<UnitsLeft>,
    /// Number that is the same for all parts of a list.
    #[serde(rename = "n")]
    pub number: u64,
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
