//! The messages that instances send each other over their links: heartbeats, suspects, claims and
//! handovers of idempotency keys, grant requests with their answers and progress, and the
//! published document.

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::key_handover::KeySeal;
use crate::name::Name;
use crate::request_id::RequestId;
use crate::scheduling::{Grant, GrantRequest, Progress, Refusal, RunningRequest};

/// Version byte in front of each encoded message.
pub const PEER_PROTOCOL_VERSION: u8 = 2;

/// A message from one instance to another.
///
/// Frequent messages have short names and no field names on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Requests a backend server for a request from the coordinator.
    #[serde(rename = "b")]
    GrantRequest(GrantRequest),
    /// Requests the published document if it is newer than the given version.
    #[serde(rename = "cf")]
    ConfigFetch {
        /// Version that the sender has.
        have_version: u64,
    },
    /// The published document.
    #[serde(rename = "cd")]
    ConfigDocument {
        /// Its text.
        text: String,
        /// Its version.
        version: u64,
    },
    /// Answers a heartbeat.
    #[serde(rename = "c")]
    Confirmation(Confirmation),
    /// Allows a receiver to dispatch a request.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Reports that the sender is live, and its state.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Asks the home of a key for permission to run a request.
    #[serde(rename = "kc")]
    KeyClaim(KeyClaim),
    /// Hands keys of a stopping home over to a successor.
    #[serde(rename = "kh")]
    KeyHandover(Vec<KeyRecord>),
    /// Answers a key query.
    #[serde(rename = "ko")]
    KeyHolder {
        /// The request that holds the key, if the home has a record of one.
        holder: Option<RequestId>,
        /// The key.
        #[serde(rename = "k")]
        key: Name,
        /// Number of the query at the asking instance.
        sequence: u64,
    },
    /// Asks the home of a key which request holds it.
    #[serde(rename = "kq")]
    KeyQuery {
        /// The key.
        #[serde(rename = "k")]
        key: Name,
        /// Number of the query at the asking instance.
        sequence: u64,
    },
    /// Releases a key: its holder did not run the request and never will.
    #[serde(rename = "kr")]
    KeyRelease {
        /// The key.
        #[serde(rename = "k")]
        key: Name,
        /// The request of the claim.
        #[serde(rename = "r")]
        request: RequestId,
    },
    /// Answers a key claim.
    #[serde(rename = "kv")]
    KeyVerdict {
        /// The key.
        #[serde(rename = "k")]
        key: Name,
        /// The request of the claim.
        #[serde(rename = "r")]
        request: RequestId,
        /// The answer.
        #[serde(rename = "v")]
        verdict: KeyVerdict,
    },
    /// Says what the sender granted under a list that it has left or stopped under, and hands the
    /// keys over that have their home at the receiver from now on. Only sent on links whose hello
    /// says that the receiver knows it.
    #[serde(rename = "ks")]
    KeySeal(KeySeal),
    /// Reports the progress of a granted request to the coordinator.
    #[serde(rename = "p")]
    Progress {
        /// The progress.
        #[serde(rename = "p")]
        progress: Progress,
        /// The request.
        #[serde(rename = "r")]
        request: RequestId,
        /// Its service.
        #[serde(rename = "s")]
        service: Name,
    },
    /// Refuses a grant request.
    #[serde(rename = "r")]
    Refusal(Refusal),
    /// Reports a running request to a new coordinator.
    #[serde(rename = "rr")]
    Running(RunningRequest),
    /// Reports, without waiting for a heartbeat, requests that were running at a backend server
    /// that crashed.
    #[serde(rename = "s")]
    Suspects(Vec<Suspect>),
    /// Withdraws a grant request.
    #[serde(rename = "w")]
    Withdraw {
        /// The request.
        #[serde(rename = "r")]
        request: RequestId,
        /// Its service.
        #[serde(rename = "s")]
        service: Name,
    },
}

/// Reports that the sender is live, and its state.
#[derive(Clone, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Heartbeat {
    /// Version of the configuration in force at the sender.
    pub config_version: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Version of the instance list in force at the sender.
    pub list_version: u64,
    /// Rank of the lowest tier with waiting requests, for each service that the sender coordinates.
    pub lowest_waiting_ranks: Vec<(Name, u8)>,
    /// Highest list version that the sender knows to be retired, with all before it.
    pub retired_version: u64,
    /// Monotonic time of the sender when it sent this, in milliseconds; echoed in the answer.
    pub sent_ms: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Fingerprints of requests that were running at a backend server that crashed, with the
    /// crashes that the sender saw itself.
    pub suspects: Vec<Suspect>,
}

/// Answers a heartbeat: confirms the list version and incarnation of the heartbeat's sender.
#[derive(Clone, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Confirmation {
    /// Whether the sender may confirm; a newly started instance may not.
    pub confirms: bool,
    /// Incarnation of the heartbeat's sender, as the heartbeat had it.
    pub heartbeat_incarnation: u64,
    /// `sent_ms` of the heartbeat.
    pub heartbeat_sent_ms: u64,
    /// Version of the instance list in force at the sender.
    pub list_version: u64,
    /// Highest list version that the sender knows to be retired, with all before it.
    pub retired_version: u64,
}

/// Asks the home of a key for permission to run a request.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct KeyClaim {
    /// Hash of service, path and body; the same key with another hash is refused.
    pub fingerprint: u64,
    /// The key.
    pub key: Name,
    /// Version of the instance list in force at the instance that claims the key.
    pub list_version: u64,
    /// The request.
    pub request: RequestId,
    /// Rank of the request's tier; 0 is the highest.
    pub tier_rank: u8,
}

/// Record of a key at its home.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct KeyRecord {
    /// Hash of service, path and body of the request.
    pub fingerprint: u64,
    /// Wall-clock time of the grant, in milliseconds since the Unix epoch.
    pub granted_wall_clock_ms: u64,
    /// The key.
    pub key: Name,
    /// The request that holds the key.
    pub request: RequestId,
}

/// Answer of a home to a key claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeyVerdict {
    /// The key is held by a request with another fingerprint.
    #[serde(rename = "d")]
    BodyDiffers,
    /// The claimant may run the request.
    #[serde(rename = "g")]
    Granted,
    /// Another request holds the key.
    #[serde(rename = "h")]
    Held {
        /// The request that holds it.
        by: RequestId,
    },
    /// This claim granted nothing; the caller may be answered that this send did not run.
    #[serde(rename = "r")]
    Refused {
        /// The reason.
        reason: KeyRefusal,
        /// Time after which a retry makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// An earlier home may have granted the key; whether the request ran can't be known.
    #[serde(rename = "u")]
    Unknown,
}

/// Reason for which a home refuses a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRefusal {
    /// The memory for keys is full.
    Full,
    /// The key was minted in the future.
    MintedInFuture,
    /// The instance is not the home of the key, or not confirmed as such.
    NotHome,
    /// The instance lists differ.
    OtherList,
    /// The key is older than the key lifetime.
    TooOld,
}

/// A request that was running at a backend server that crashed.
#[derive(Clone, Debug, Deserialize_tuple, Eq, Ord, PartialEq, PartialOrd, Serialize_tuple)]
pub struct Suspect {
    /// Backend servers that crashed while they ran it, sorted.
    pub backend_servers: Vec<Name>,
    /// Hash of service, path and body of the request.
    pub fingerprint: u64,
}
