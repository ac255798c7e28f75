//! The decision on a request on arrival: the plan by which it is sent, or the refusal with its
//! reason.

use std::sync::Arc;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::engine_query::VersionNeed;
use crate::gateway::fleet::additions::ToldQueue;
use crate::gateway::fleet::part_evidence::PartRefusal;
use crate::gateway::request_metadata::{PromptShape, RequestMetadata, Resumption};
use crate::gateway::routing_document::{Customer, Route};
use crate::gateway::state::RETRY_SOON_MS;
use crate::gateway::usage_limits::UsageShortage;
use crate::name::Name;

/// An arrived request.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// When its head was read, in milliseconds of the boot clock.
    pub arrived_ms: u64,
    /// Metadata from its headers.
    pub metadata: &'a RequestMetadata,
    /// Hash of path, body and key; 0 before the body has arrived.
    pub fingerprint: u64,
    /// Host from its head.
    pub host: &'a str,
    /// Path without query.
    pub path: &'a str,
}

/// Decision on an arrived request.
#[derive(Clone, Debug)]
pub enum Admission {
    /// It is forwarded according to this plan.
    Forward(RequestPlan),
    /// It is refused.
    Refuse(Refusal),
}

/// How an admitted request is sent.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// When its head was read, in milliseconds of the boot clock.
    pub arrived_ms: u64,
    /// Who has taken the units from the customer's limit.
    pub charge: PlanCharge,
    /// Customer that sent it.
    pub customer: Option<Arc<Customer>>,
    /// Deadline, in milliseconds of the boot clock.
    pub deadline_ms: u64,
    /// Hash of path, body and key.
    pub fingerprint: u64,
    /// Key of the request, where one is needed.
    pub key: Option<Name>,
    /// Prompt and expected answer, for a model request.
    pub prompt: Option<Arc<PromptShape>>,
    /// Rank: the customer's, then the route's; lower is served first.
    pub rank: Rank,
    /// Id given by the caller.
    pub request_id: Name,
    /// What the caller takes up, if it has events of an earlier send.
    pub resumption: Option<Resumption>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: Name,
    /// Units taken from the customer's limit.
    pub units: u64,
    /// Software versions that may serve it.
    pub version_need: VersionNeed,
    /// When a place was first wanted for its present send, in milliseconds of the boot clock.
    pub wanted_ms: u64,
}

/// Whether the units of a request have been taken from its customer's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanCharge {
    /// By this instance; they come back if the request is not sent.
    Here,
    /// Not yet: the coordinator that is asked for a place does it.
    Pending,
    /// For good, or no limit applies.
    Settled,
}

/// Rank of a request: first the customer's, where customers have one, then the route's; the lowest
/// is served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize_tuple, Eq, Ord, PartialEq, PartialOrd, Serialize_tuple,
)]
pub struct Rank {
    /// Rank of the customer.
    pub customer: u32,
    /// Rank of the route.
    pub route: u32,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The body is longer than permitted.
    BodyTooLong,
    /// All backend servers of its service are evacuated.
    Evacuated,
    /// It did not arrive completely in time.
    Incomplete,
    /// The instance does not know yet what the fleet has used of the customers' limits.
    Joining,
    /// No document is in force yet.
    NoDocument,
    /// No backend server can take it.
    NoBackendServer,
    /// The bodies of other requests have used up the memory for bodies.
    NoMemory,
    /// The document is not known to be the newest.
    NotFresh,
    /// No route matches it.
    NoRoute,
    /// It would not be served in time.
    NotInTime,
    /// It takes up a stream, and no server of the version that began it is there.
    NoServerOfVersion,
    /// It, or requests with a part of its prompt, have crashed backend servers.
    Quarantined,
    /// The backend server did not run it.
    RefusedByBackend,
    /// The instance is about to stop.
    Stopping,
    /// Another request is being tried with a part of its prompt that may have crashed backend
    /// servers.
    Suspected,
    /// Its deadline passed before it was sent.
    TimedOut,
    /// Its key is unknown or missing.
    UnknownKey,
    /// It takes up a stream, and it is not known what began it.
    UnknownStream,
    /// The customer's limit is used up.
    UsageLimit,
}

/// A refused request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller may retry, in milliseconds; `None` if a retry is useless.
    pub retry_after_ms: Option<u64>,
    /// Queue of the coordinator that refused it, if it told that.
    pub queue: Option<ToldQueue>,
    /// Shortage of units, if a limit was the reason.
    pub shortage: Option<UsageShortage>,
}

impl Refusal {
    /// Returns a refusal without retry.
    pub fn permanent(reason: RefusalReason) -> Self {
        Self { reason, retry_after_ms: None, queue: None, shortage: None }
    }

    /// Returns a refusal for a limit that is used up, until there should be enough units.
    pub fn over_limit(shortage: UsageShortage) -> Self {
        let wait_ms = shortage.wait_ms.max(RETRY_SOON_MS);
        let refusal = Self::retryable(RefusalReason::UsageLimit, wait_ms);
        Self { shortage: Some(shortage), ..refusal }
    }

    /// Returns the refusal of a request with a part that may have crashed backend servers.
    pub fn for_parts(refusal: PartRefusal) -> Self {
        let reason = match refusal.is_quarantined {
            true => RefusalReason::Quarantined,
            false => RefusalReason::Suspected,
        };
        Self::retryable(reason, refusal.retry_after_ms)
    }

    /// Returns whether the instance refuses because it still joins the fleet.
    pub fn is_while_joining(&self) -> bool {
        matches!(self.reason, RefusalReason::Joining | RefusalReason::NoDocument)
    }

    /// Returns a refusal that permits a retry after `retry_after_ms`.
    pub fn retryable(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self { reason, retry_after_ms: Some(retry_after_ms), queue: None, shortage: None }
    }
}

impl RefusalReason {
    /// Returns the HTTP status and a short sentence for the caller.
    pub fn describe(self) -> (u16, &'static str) {
        match self {
            Self::BodyTooLong => (413, "The body is longer than permitted."),
            Self::Evacuated => (503, "The backend servers of the service are being emptied."),
            Self::Incomplete => (408, "The request did not arrive whole in time."),
            Self::Joining => (503, "The usage of limits is not known yet."),
            Self::NoDocument => (503, "No routes are known yet."),
            Self::NoBackendServer => (503, "No backend server can take the request now."),
            Self::NoMemory => (503, "There is no memory for the body now."),
            Self::NotFresh => (503, "The routes and keys are not known to be the newest."),
            Self::NoRoute => (404, "No route takes this host and path."),
            Self::NotInTime => (503, "The request would not be served in time."),
            Self::NoServerOfVersion => (503, "No backend server can go on with the stream now."),
            Self::Quarantined => {
                (503, "The request or a part of its prompt has crashed backend servers.")
            }
            Self::RefusedByBackend => (503, "The backend server did not run the request."),
            Self::Suspected => (503, "A part of the prompt is being tried by another request."),
            Self::Stopping => (503, "The instance is about to stop."),
            Self::TimedOut => (503, "The time was up before the request was sent."),
            Self::UnknownKey => (401, "The key is unknown or missing."),
            Self::UnknownStream => (503, "It is not known which version began the stream."),
            Self::UsageLimit => (429, "The customer's limit is used up."),
        }
    }

    /// Returns whether a part of the body may not have been read.
    pub fn leaves_body_unread(self) -> bool {
        matches!(self, Self::BodyTooLong | Self::Incomplete | Self::NoMemory)
    }

    /// Returns a short name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::BodyTooLong => "body_too_long",
            Self::Evacuated => "evacuated",
            Self::Incomplete => "incomplete",
            Self::Joining => "joining",
            Self::NoDocument => "no_document",
            Self::NoBackendServer => "no_backend_server",
            Self::NoMemory => "no_memory",
            Self::NotFresh => "not_fresh",
            Self::NoRoute => "no_route",
            Self::NotInTime => "not_in_time",
            Self::NoServerOfVersion => "no_server_of_version",
            Self::Quarantined => "quarantined",
            Self::RefusedByBackend => "refused_by_backend",
            Self::Stopping => "stopping",
            Self::Suspected => "suspected",
            Self::TimedOut => "timed_out",
            Self::UnknownKey => "unknown_key",
            Self::UnknownStream => "unknown_stream",
            Self::UsageLimit => "usage_limit",
        }
    }
}
