//! The border between the decision core and the ways of choosing a backend server.

use std::sync::Arc;

use crate::inventory::Inventory;
use crate::load_report::{CacheEvent, LoadReport};
use crate::name::Name;
use crate::now::Now;
use crate::request_id::RequestId;
use crate::scheduling::{Grant, GrantRequest, Progress, Refusal, RunningRequest};

/// Decides which waiting request goes to which backend server of one service.
///
/// Implementations hold no clock, socket, thread or unseeded randomness.
pub trait Scheduler: Send {
    /// Takes in one event and returns what follows from it.
    fn decide(&mut self, now: Now, event: SchedulerEvent) -> Vec<SchedulerEffect>;

    /// Returns the rank of the lowest tier that waits, if any request waits.
    fn lowest_waiting_rank(&self) -> Option<u8>;

    /// Returns how many entries of its queue it has looked at so far, if it counts them.
    fn entries_examined(&self) -> Option<u64> {
        None
    }

    /// Describes the backend servers and the queue, for operators.
    fn report(&self, now: Now) -> SchedulerReport;
}

/// Something that a scheduler learns.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A request waits; a repeated grant request for the same request replaces the earlier one.
    GrantRequest(GrantRequest),
    /// Cache events of a model engine arrived.
    CacheEvents {
        /// The engine.
        backend_server: Name,
        /// The events, in order.
        events: Vec<CacheEvent>,
    },
    /// The inventory or the set of leaving backend servers changed; also the first event.
    Fleet {
        /// The inventory in force.
        inventory: Arc<Inventory>,
        /// Backend servers that are leaving by any source, sorted.
        leaving: Vec<Name>,
    },
    /// An instance is gone: its waiting requests are dropped, its running ones end.
    InstanceLost {
        /// The instance.
        instance: Name,
    },
    /// A load report of a model engine arrived.
    LoadReport {
        /// The engine.
        backend_server: Name,
        /// Its report.
        report: LoadReport,
    },
    /// A granted request goes on or ends.
    Progress {
        /// How.
        progress: Progress,
        /// The request.
        request: RequestId,
    },
    /// The set of quarantined and suspect fingerprints changed.
    Quarantine {
        /// Fingerprints that are refused, sorted.
        quarantined: Vec<u64>,
        /// Fingerprints that run on one backend server at a time, sorted.
        suspects: Vec<u64>,
    },
    /// A receiver reports a request that runs already, to a scheduler that is new to it.
    Running(RunningRequest),
    /// Time passed.
    Tick,
    /// A waiting request is taken back.
    Withdraw {
        /// The request.
        request: RequestId,
    },
}

/// Something that a scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Let the request's receiver dispatch it.
    Grant(Grant),
    /// Tell the request's receiver that it gets no backend server.
    Refuse(Refusal),
}

/// State of one scheduler, for operators.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SchedulerReport {
    /// Backend servers, sorted by name.
    pub backend_servers: Vec<BackendServerReport>,
    /// Requests that were refused for load while a lower tier waited.
    #[serde(default)]
    pub inversions: u32,
    /// Service.
    pub service: String,
    /// Requests refused for load, or waiting at their deadline, by tier rank.
    #[serde(default)]
    pub shed: Vec<(u8, u32)>,
    /// Waiting requests by tier rank.
    pub waiting: Vec<(u8, u32)>,
}

/// State of one backend server as its scheduler sees it, for operators.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct BackendServerReport {
    /// Limit of tokens in progress.
    pub limit_tokens: u64,
    /// Name.
    pub name: String,
    /// Requests in progress.
    pub running_requests: u32,
    /// Tokens in progress.
    pub running_tokens: u64,
    /// `in_use`, `leaving`, `straggler` or `down`.
    pub state: String,
}
