//! What follows the sender and the body of a message, for builds that know it.

use serde::{Deserialize, Serialize};

use crate::gateway::fleet::message::UnitsLeft;
use crate::gateway::store_item::StorePosition;
use crate::name::Name;

/// Follows the sender and the body of a message. A build passes over fields that it does not know, and
/// those of version 5 without additions pass over all of it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Additions {
    /// Cold backend servers, from builds that limit what these get: in reports, and empty in answers.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub cold: Option<Vec<ToldCold>>,
    /// The evacuated data centres.
    #[serde(default, rename = "e", skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<ToldEvacuations>,
    /// How many better ranked members of its cell a member passes over for the coordinator that it
    /// follows.
    #[serde(default, rename = "f", skip_serializing_if = "is_zero")]
    pub passed_over: u32,
    /// Limits that backend servers state.
    #[serde(default, rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<ToldLimit>,
    /// Backend servers that are ejected, from a coordinator to its cell.
    #[serde(default, rename = "o", skip_serializing_if = "Vec::is_empty")]
    pub outliers: Vec<ToldOutlier>,
    /// Whether the request that a place is asked for may run more than once.
    #[serde(default, rename = "i", skip_serializing_if = "is_false")]
    pub is_repeatable: bool,
    /// The queue at which a request for a place was refused.
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    pub queue: Option<ToldQueue>,
    /// For whom a place is asked.
    #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
    pub asker: Option<ToldAsker>,
    /// What concerns the lead of a cell.
    #[serde(default, rename = "h", skip_serializing_if = "Option::is_none")]
    pub handover: Option<HandoverNote>,
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

/// A backend server that is ejected, since it fails far more often than the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldOutlier {
    /// Id of the backend server.
    #[serde(rename = "s")]
    pub backend_server: Name,
    /// Start of the run that is ejected, in Unix milliseconds, if it is published.
    #[serde(default, rename = "b")]
    pub born_ms: Option<u64>,
    /// Time since the ejection, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Trials in a row that failed.
    #[serde(default, rename = "f")]
    pub failed_trials: u32,
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

/// The evacuated data centres, as far as an instance knows them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldEvacuations {
    /// Time since the set last changed, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// All data centres that are evacuated.
    #[serde(rename = "n")]
    pub data_centres: Vec<Name>,
    /// Whether it holds nothing of an earlier era that the store may have lost.
    #[serde(rename = "s")]
    pub is_settled: bool,
    /// Position of the store up to which the set is complete.
    #[serde(rename = "p")]
    pub position: StorePosition,
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

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}
