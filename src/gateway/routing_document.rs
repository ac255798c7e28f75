//! The routing document: the published routes, services, customers and limits, as typed values.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One published version of all routes, services, customers and limits.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutingDocument {
    /// Customers with their keys and limits; empty if requests need no key.
    pub customers: Vec<Customer>,
    /// Bounds on callers' requests and idle connections.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Version; the highest is in force.
    pub version: u64,
}

/// Whether requests may be repeated, and the form of their answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Is answered by a stream of events.
    Stream,
    /// May run at most once.
    Unsafe,
}

/// Route of the requests for one host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Maximum number of backend servers to which one request is sent.
    pub attempts: u32,
    /// Longest pause between events of a timely answer, in milliseconds.
    pub event_gap_goal_ms: u64,
    /// Time within which an answer is timely, in milliseconds.
    pub goal_ms: u64,
    /// Host of the requests, in lower case.
    pub host: Name,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Name of the route.
    pub name: Name,
    /// Path prefix of the requests.
    pub prefix: Name,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Whether a stream may be resumed at another backend server.
    pub resumable: bool,
    /// Services that run the requests, by weight.
    pub services: Vec<WeightedService>,
    /// Longest time from the arrival of a request to its deadline, in milliseconds.
    pub timeout_ms: u64,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Idempotent || (self.kind == RouteKind::Stream && self.resumable)
    }
}

/// One of the services that share a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight, relative to the sum over the route.
    pub weight: u32,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// What its servers bear while they are cold, if that is less than later.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdSpec>,
    /// Properties of its engines, if they serve a model.
    pub engine: Option<EngineSpec>,
    /// Name of the service.
    pub name: Name,
}

/// What the servers of a service bear while they are cold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdSpec {
    /// Time for which a server is cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests that a cold server bears, in thousandths of a request a second.
    pub millirequests_per_s: u64,
}

/// Properties that the engines of a service have in common.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: usize,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Bounds on callers' requests and idle connections.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time between two requests of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4_194_304,
            header_bytes: 16_384,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Customer, identified by keys, with a usage limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Maximum number of units that may accumulate.
    pub burst_units: u64,
    /// Keys that identify the customer.
    pub keys: Vec<Name>,
    /// Name that is sent to backend servers.
    pub name: Name,
    /// Units charged for a request without token counts.
    pub plain_units: u64,
    /// Rank that is compared before that of the route, if there is one.
    pub priority: Option<u32>,
    /// Units allowed per second over all instances; 0 means no limit.
    pub units_per_s: u64,
    /// Whether a unit is a token; otherwise it is a request.
    pub units_are_tokens: bool,
}
