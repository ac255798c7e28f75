//! The interface between the decision core and its schedulers: the coordinator and the baselines.

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
    /// Applies one event and returns the resulting effects.
    fn decide(&mut self, now: Now, event: SchedulerEvent) -> Vec<SchedulerEffect>;

    /// Returns the rank of the lowest tier with a waiting request, if any request waits.
    fn lowest_waiting_rank(&self) -> Option<u8>;

    /// Returns the number of queue entries examined so far, if the scheduler counts them.
    fn entries_examined(&self) -> Option<u64> {
        None
    }

    /// Describes the backend servers and the queue, for operators.
    fn report(&self, now: Now) -> SchedulerReport;
}

/// An event that a scheduler decides on.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A request needs a backend server; a repeated grant request replaces the earlier one.
    GrantRequest(GrantRequest),
    /// Cache events of a model engine arrived.
    CacheEvents {
        /// The engine.
        backend_server: Name,
        /// The events, in order.
        events: Vec<CacheEvent>,
    },
    /// The inventory or the set of leaving backend servers changed; also sent as the first event.
    Fleet {
        /// The current inventory.
        inventory: Arc<Inventory>,
        /// Backend servers that are leaving for any reason, sorted.
        leaving: Vec<Name>,
    },
    /// An instance was lost: its waiting requests are dropped, its running ones end.
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
    /// A granted request made progress or ended.
    Progress {
        /// The progress.
        progress: Progress,
        /// The request.
        request: RequestId,
    },
    /// The set of quarantined and suspect fingerprints changed.
    Quarantine {
        /// Fingerprints whose requests are refused, sorted.
        quarantined: Vec<u64>,
        /// Fingerprints whose requests run on one backend server at a time, sorted.
        suspects: Vec<u64>,
    },
    /// A receiver reports a running request of which the scheduler may have no record.
    Running(RunningRequest),
    /// Time passed.
    Tick,
    /// A receiver withdraws a waiting request.
    Withdraw {
        /// The request.
        request: RequestId,
    },
}

/// A decision of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Grants a request a backend server, to which its receiver dispatches it.
    Grant(Grant),
    /// Refuses a request.
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

/// State of one backend server at its scheduler, for operators.
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
