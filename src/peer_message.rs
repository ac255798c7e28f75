//! The messages between instances.

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;
use crate::request_id::RequestId;
use crate::scheduling::{Grant, GrantRequest, Progress, Refusal, RunningRequest};

/// Version byte in front of each encoded message.
pub const PEER_PROTOCOL_VERSION: u8 = 2;

/// A message from one instance to another.
///
/// Frequent messages have short names and no names of fields on the wire.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Asks the coordinator for a backend server.
    #[serde(rename = "b")]
    GrantRequest(GrantRequest),
    /// Asks for the published document if it is newer than the version given.
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
    /// Lets a receiver dispatch.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Tells that the sender lives and what it knows.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Asks the home of a key for leave to run.
    #[serde(rename = "kc")]
    KeyClaim(KeyClaim),
    /// Hands the keys of a stopping home to its successors.
    #[serde(rename = "kh")]
    KeyHandover(Vec<KeyRecord>),
    /// Answers a query.
    #[serde(rename = "ko")]
    KeyHolder {
        /// The request that holds the key, if the home knows one.
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
    /// Gives a key back: its holder did not run the request and never will.
    #[serde(rename = "kr")]
    KeyRelease {
        /// The key.
        #[serde(rename = "k")]
        key: Name,
        /// The claim's request.
        #[serde(rename = "r")]
        request: RequestId,
    },
    /// Answers a claim.
    #[serde(rename = "kv")]
    KeyVerdict {
        /// The key.
        #[serde(rename = "k")]
        key: Name,
        /// The claim's request.
        #[serde(rename = "r")]
        request: RequestId,
        /// The answer.
        #[serde(rename = "v")]
        verdict: KeyVerdict,
    },
    /// Tells the coordinator how a granted request goes.
    #[serde(rename = "p")]
    Progress {
        /// How it goes.
        #[serde(rename = "p")]
        progress: Progress,
        /// The request.
        #[serde(rename = "r")]
        request: RequestId,
        /// Its service.
        #[serde(rename = "s")]
        service: Name,
    },
    /// Tells a receiver that a request gets no backend server.
    #[serde(rename = "r")]
    Refusal(Refusal),
    /// Tells a new coordinator what already runs.
    #[serde(rename = "rr")]
    Running(RunningRequest),
    /// Tells at once which requests were running at a backend server that died.
    #[serde(rename = "s")]
    Suspects(Vec<Suspect>),
    /// Takes back a grant request.
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

/// Tells that the sender lives and what it knows.
#[derive(Clone, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Heartbeat {
    /// Version of the configuration in force at the sender.
    pub config_version: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Version of the instance list in force at the sender.
    pub list_version: u64,
    /// Rank of the lowest tier that waits at each service that the sender is coordinator of.
    pub lowest_waiting_ranks: Vec<(Name, u8)>,
    /// Highest list version that the sender knows to be retired, with all before it.
    pub retired_version: u64,
    /// Monotonic time of the sender when it sent this, in milliseconds; echoed in the answer.
    pub sent_ms: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Fingerprints of requests that were running at a backend server that died, with the deaths
    /// that the sender saw itself.
    pub suspects: Vec<Suspect>,
}

/// Answers a heartbeat: the sender confirms the home's list version and incarnation.
#[derive(Clone, Debug, Default, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Confirmation {
    /// Whether the sender may confirm; a newly started instance may not yet.
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

/// Asks the home of a key for leave to run a request.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct KeyClaim {
    /// Hash of the body; one key with another body is refused.
    pub fingerprint: u64,
    /// The key.
    pub key: Name,
    /// Version of the instance list in force at the receiver.
    pub list_version: u64,
    /// The request.
    pub request: RequestId,
    /// Rank of the request's tier; 0 is the highest.
    pub tier_rank: u8,
}

/// What a home remembers of a key.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct KeyRecord {
    /// Hash of the body.
    pub fingerprint: u64,
    /// Wall-clock time of the grant, in milliseconds since the Unix epoch.
    pub granted_wall_clock_ms: u64,
    /// The key.
    pub key: Name,
    /// The request that holds the key.
    pub request: RequestId,
}

/// Answer of a home to a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum KeyVerdict {
    /// The key is used with another body.
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
    /// Nothing was granted by this claim; the claimant may be told that this send did not run.
    #[serde(rename = "r")]
    Refused {
        /// Why.
        reason: KeyRefusal,
        /// Time after which coming back makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// An earlier home may have granted the key; whether it ran can't be known.
    #[serde(rename = "u")]
    Unknown,
}

/// Why a home refuses a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRefusal {
    /// The memory for keys is full.
    Full,
    /// The key was minted in the future.
    MintedInFuture,
    /// The instance asked is not the key's home, or not confirmed as such.
    NotHome,
    /// The instance lists differ.
    OtherList,
    /// The key is older than the key lifetime.
    TooOld,
}

/// A request that was running at a backend server that died.
#[derive(Clone, Debug, Deserialize_tuple, Eq, Ord, PartialEq, PartialOrd, Serialize_tuple)]
pub struct Suspect {
    /// Backend servers that died while they ran it, sorted.
    pub backend_servers: Vec<Name>,
    /// Hash of the request's body.
    pub fingerprint: u64,
}
