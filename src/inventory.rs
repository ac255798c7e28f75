//! The inventory that operators publish: instances, backend servers, services, customers and tiers,
//! and the rules for requests.
//!
//! All lists are sorted by name, except tiers, which are sorted by rank, and rules, which keep
//! the order of the document.

use std::net::SocketAddr;

use crate::name::Name;

/// One accepted version of the inventory.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
    /// Backend servers, sorted by name.
    pub backend_servers: Vec<BackendServer>,
    /// Customers, sorted by name.
    pub customers: Vec<Customer>,
    /// Data centres, sorted.
    pub data_centres: Vec<Name>,
    /// Entry instances, sorted by name.
    pub instances: Vec<Instance>,
    /// Version of the list of entry instances; it rises whenever that list changes.
    pub instances_version: u64,
    /// Models, sorted.
    pub models: Vec<Name>,
    /// Rules in the order of the document; the first that matches decides.
    pub rules: Vec<Rule>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Tiers, sorted by rank; rank 0 is the highest.
    pub tiers: Vec<Tier>,
    /// Version of the whole document; instances adopt the highest one.
    pub version: u64,
}

impl Inventory {
    /// Finds a backend server by name.
    pub fn backend_server(&self, name: &str) -> Option<&BackendServer> {
        find(&self.backend_servers, name, |backend_server| &backend_server.name)
    }

    /// Finds a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        find(&self.customers, name, |customer| &customer.name)
    }

    /// Finds an entry instance by name.
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        find(&self.instances, name, |instance| &instance.name)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name, |service| &service.name)
    }

    /// Finds a tier by name.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        self.tiers.iter().find(|tier| &*tier.name == name)
    }
}

/// One server that runs requests: a model engine or a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it is located.
    pub data_centre: Name,
    /// Whether it rejects requests with an outdated fencing token.
    pub fencing: bool,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// Name.
    pub name: Name,
    /// Initial estimate of its prefill speed, in tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Service that it belongs to.
    pub service: Name,
    /// Initial limit of tokens in progress, which is adapted later.
    pub token_limit_tokens: u32,
}

/// One customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// Name.
    pub name: Name,
    /// Tier of its requests if no rule sets another.
    pub tier: Name,
    /// Weight of its share relative to the other customers of a tier.
    pub weight: u32,
}

/// One entry instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Address of its interface for callers.
    pub caller_address: SocketAddr,
    /// Data centre in which it is located.
    pub data_centre: Name,
    /// Name.
    pub name: Name,
    /// Address of its interface for other instances.
    pub peer_address: SocketAddr,
}

/// One rule, which sets properties of the requests that match it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rule {
    /// Customer to which it applies; every customer if absent.
    pub customer: Option<Name>,
    /// Whether the requests may be repeated, if the rule sets it.
    pub idempotent: Option<bool>,
    /// Name, for messages.
    pub name: Name,
    /// Path below the service to which it applies, with all paths under it; every path if absent.
    pub path: Option<Name>,
    /// Service to which it applies; every service if absent.
    pub service: Option<Name>,
    /// Tier of the requests, if the rule sets it.
    pub tier: Option<Name>,
}

/// One service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Whether its requests may be repeated if no rule sets it.
    pub idempotent: bool,
    /// Kind of its backend servers.
    pub kind: ServiceKind,
    /// Name.
    pub name: Name,
}

/// Kind of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Model engines that stream tokens of the named model.
    Model(Name),
    /// Plain HTTP servers.
    Plain,
}

/// One tier of requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tier {
    /// Longest time between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Longest time for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Longest time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Name.
    pub name: Name,
    /// Rank; 0 is the highest.
    pub rank: u8,
}

fn find<'a, T, F>(sorted: &'a [T], name: &str, name_of: F) -> Option<&'a T>
where
    F: Fn(&T) -> &Name,
{
    let index = sorted.binary_search_by(|item| (**name_of(item)).cmp(name)).ok()?;
    sorted.get(index)
}
