//! What receivers and coordinators of a service tell each other.

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
    /// Hash of the body, by which a request is known again when its caller sends it again.
    pub fingerprint: u64,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// Hashes of the prompt's prefixes, a block longer each.
    pub prefix_hashes: Vec<u64>,
    /// Tokens of the prompt, by estimate.
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

/// Lets a receiver dispatch one request to one backend server.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct Grant {
    /// Backend server that the request goes to.
    pub backend_server: Name,
    /// Time for which the grant holds after its arrival, in milliseconds.
    pub expires_in_ms: u64,
    /// The request.
    pub request: RequestId,
}

/// What a receiver tells the coordinator about a request that was granted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// The request ended before anything was sent to the backend server, or its grant was void.
    #[serde(rename = "a")]
    Abandoned,
    /// No connection could be made; nothing was sent, and the receiver asks again.
    #[serde(rename = "cf")]
    ConnectFailed,
    /// The backend server died or lost the request while it ran it.
    #[serde(rename = "d")]
    Died,
    /// The answer is whole.
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
    /// The caller went away or the deadline passed, and the backend server was told to stop.
    #[serde(rename = "c")]
    Cancelled,
    /// The backend server can't be reached any more; the request may still run there.
    #[serde(rename = "l")]
    Lost,
    /// Further tokens arrived.
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

/// Tells a receiver that a request gets no backend server.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// The request.
    pub request: RequestId,
    /// Time after which coming back makes sense, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why a request gets no backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// By the estimate it can't finish before its deadline.
    CannotFinishInTime,
    /// There is no room for more waiting requests, and none of a lower tier waits.
    NoRoom,
    /// No backend server of the service is in use.
    NoBackendServer,
    /// The request is quarantined because backend servers died while they ran it.
    Quarantined,
}

/// A request that a receiver reports as running to a coordinator that is new to it.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct RunningRequest {
    /// Backend server that runs the request.
    pub backend_server: Name,
    /// The grant request under which it was granted.
    pub grant_request: GrantRequest,
    /// Tokens so far.
    pub output_tokens: u32,
}
