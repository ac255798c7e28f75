//! The body of the answer to `GET /status`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::Finding;
use crate::name::Name;
use crate::peer_links::PeerTraffic;
use crate::scheduler::SchedulerReport;

/// State of one instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// Version of the inventory in force; 0 if there is none yet.
    pub config_version: u64,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Name of the instance.
    pub instance: String,
    /// Idempotency keys of which the instance is the home.
    pub keys: KeyStatus,
    /// Whether the instance list marks the instance as leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Version of the instance list in force.
    pub list_version: u64,
    /// The other instances, sorted by name.
    pub peers: Vec<PeerStatus>,
    /// Bytes of the messages between instances.
    #[serde(default)]
    pub peer_traffic: PeerTraffic,
    /// The platform as the instance sees it.
    pub platform: PlatformStatus,
    /// Fingerprints that are quarantined, sorted, as 16 hexadecimal digits each.
    pub quarantined: Vec<String>,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// The last document that was refused, if none was accepted after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_document: Option<RefusedDocument>,
    /// Requests that the instance received.
    pub requests: RequestCounts,
    /// Highest list version that is known to be retired, with all before it.
    pub retired_version: u64,
    /// Schedulers that run in the instance, sorted by service.
    pub schedulers: Vec<SchedulerReport>,
    /// Whether the instance may grant keys.
    pub standing: Standing,
    /// Whether the instance is stopping.
    pub stopping: bool,
}

/// Idempotency keys of which an instance is the home.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyStatus {
    /// Maximum number of keys that it stores.
    pub capacity: u32,
    /// Number of keys that it stores.
    pub remembered: u32,
}

/// Another instance, seen from the answering one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Address of its interface for callers.
    pub caller_address: SocketAddr,
    /// Version of the inventory in force there, from its last heartbeat.
    pub config_version: u64,
    /// Its incarnation, from its last heartbeat.
    pub incarnation: u64,
    /// Its name.
    pub name: Name,
    /// Its state.
    pub state: PeerState,
}

/// State of another instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// Its heartbeats arrive.
    Live,
    /// No heartbeat arrived in time.
    Silent,
    /// Its heartbeats arrive, and it is stopping.
    Stopping,
}

/// The platform, seen from an instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformStatus {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Calls since the instance started; a watch counts as one.
    pub reads: u64,
}

/// A published document that was refused.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedDocument {
    /// The findings.
    pub findings: Vec<Finding>,
    /// Its version.
    pub version: u64,
}

/// Requests that an instance received and has not answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

/// Whether an instance may grant keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// Whether it may grant keys.
    pub lawful: bool,
    /// Reason for which it may not; absent if it may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}
