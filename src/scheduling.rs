//! The messages between the receivers of requests and the coordinator of their service.

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;
use crate::request_id::RequestId;

/// Asks a coordinator for a backend server for one request.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct GrantRequest {
    /// Customer that sent the request.
    pub customer: Name,
    /// Backend servers that refused a connection for this request.
    pub excluded: Vec<Name>,
    /// Hash of service, path and body, which identifies a request that its caller sends again.
    pub fingerprint: u64,
    /// Maximum number of tokens that the answer may have.
    pub max_output_tokens: u32,
    /// Hashes of the prompt's prefixes, each one block longer than the one before.
    pub prefix_hashes: Vec<u64>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// The request.
    pub request: RequestId,
    /// Service that the request is for.
    pub service: Name,
    /// Rank of the request's tier; 0 is the highest.
    pub tier_rank: u8,
    /// Time left until the deadline when the grant request was sent, in milliseconds.
    pub time_left_ms: u64,
}

/// Permits a receiver to dispatch one request to one backend server.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct Grant {
    /// Backend server that the request goes to.
    pub backend_server: Name,
    /// Time for which the grant is valid after its arrival, in milliseconds.
    pub expires_in_ms: u64,
    /// The request.
    pub request: RequestId,
}

/// Progress of a granted request, which its receiver reports to the coordinator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// The request ended before anything was sent to the backend server, or its grant was void.
    #[serde(rename = "a")]
    Abandoned,
    /// No connection could be made; nothing was sent, and the receiver requests another grant.
    #[serde(rename = "cf")]
    ConnectFailed,
    /// The backend server crashed or lost the request while it was running.
    #[serde(rename = "d")]
    Crashed,
    /// The answer is complete.
    #[serde(rename = "f")]
    Finished {
        /// Tokens of the prompt that the engine took from its cache.
        #[serde(rename = "c")]
        cached_tokens: u32,
        /// Tokens of the answer.
        #[serde(rename = "o")]
        output_tokens: u32,
    },
    /// The first token arrived.
    #[serde(rename = "ft")]
    FirstToken {
        /// Time from dispatch to the first token, in milliseconds.
        #[serde(rename = "e")]
        elapsed_ms: u64,
    },
    /// The caller disconnected or the deadline passed, and the request was cancelled at the backend
    /// server.
    #[serde(rename = "c")]
    Cancelled,
    /// The backend server became unreachable; the request may still be running there.
    #[serde(rename = "l")]
    Lost,
    /// More tokens arrived.
    #[serde(rename = "t")]
    Tokens {
        /// Mean time between tokens since the last report, in milliseconds.
        #[serde(rename = "b")]
        between_tokens_ms: u64,
        /// Tokens so far.
        #[serde(rename = "o")]
        output_tokens: u32,
    },
}

/// Refuses a grant request.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// The request.
    pub request: RequestId,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It can't finish before its deadline, by estimate.
    CannotFinishInTime,
    /// The queue is full, and no request of a lower tier waits.
    NoRoom,
    /// No backend server of the service is in use.
    NoBackendServer,
    /// The request is quarantined because backend servers crashed while it was running.
    Quarantined,
}

/// A running request that a receiver reports to a coordinator that may have no record of it.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct RunningRequest {
    /// Backend server that runs the request.
    pub backend_server: Name,
    /// The grant request under which it was granted.
    pub grant_request: GrantRequest,
    /// Tokens so far.
    pub output_tokens: u32,
}
