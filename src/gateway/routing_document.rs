//! The published routes, services, customers and limits, as one typed document.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One version of everything that the operators publish.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutingDocument {
    /// Customers with their keys and limits; empty if callers need no key.
    pub customers: Vec<Customer>,
    /// What a caller may send and how long a connection may be idle.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Version; the highest wins.
    pub version: u64,
}

/// What may be repeated, and how an answer comes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Answers with a series of events.
    Stream,
    /// May run at most once.
    Unsafe,
}

/// Where requests for one host and path prefix go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Longest pause between events of a timely answer, in milliseconds.
    pub event_gap_goal_ms: u64,
    /// Time within which an answer is timely, in milliseconds.
    pub goal_ms: u64,
    /// Host that callers name, in lower case.
    pub host: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Name of the route.
    pub name: Name,
    /// Start of the paths that it takes.
    pub prefix: Name,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Whether a stream may be resumed at another backend server.
    pub resumable: bool,
    /// Services that run the requests, by weight.
    pub services: Vec<WeightedService>,
    /// Longest time that a caller is kept waiting, in milliseconds.
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
    /// Share of the requests, against the sum over the route.
    pub weight: u32,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// What its engines are, if they serve a model.
    pub engine: Option<EngineSpec>,
    /// Name of the service.
    pub name: Name,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: usize,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Bounds on what a caller sends.
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

/// Who sends requests, by key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Most that may be saved up, in units.
    pub burst_units: u64,
    /// Keys that name the customer.
    pub keys: Vec<Name>,
    /// Name that backend servers are told.
    pub name: Name,
    /// Units that a request without token counts takes.
    pub plain_units: u64,
    /// Rank that goes before the route's, if there is one.
    pub priority: Option<u32>,
    /// Units allowed in a second over all instances; 0 means no limit.
    pub units_per_s: u64,
    /// Whether a unit is a token; otherwise it is a request.
    pub units_are_tokens: bool,
}
