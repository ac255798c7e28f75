//! The inventory that operators publish: what there is, and the rules on top of it.
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
    /// Version of the set of entry instances; it rises whenever that set changes.
    pub instances_version: u64,
    /// Models, sorted.
    pub models: Vec<Name>,
    /// Rules in the order of the document; the first that matches decides.
    pub rules: Vec<Rule>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Tiers, sorted by rank; rank 0 is the highest.
    pub tiers: Vec<Tier>,
    /// Version of the whole document; the highest wins.
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
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// Name.
    pub name: Name,
    /// Speed of prefill at which estimates start, in tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Service that it belongs to.
    pub service: Name,
    /// Limit of tokens in progress at which adaptation starts.
    pub token_limit_tokens: u32,
}

/// One customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// Name.
    pub name: Name,
    /// Tier of its requests when no rule says otherwise.
    pub tier: Name,
    /// Share relative to the other customers of a tier.
    pub weight: u32,
}

/// One entry instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Address of its interface for callers.
    pub caller_address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Name.
    pub name: Name,
    /// Address of its interface for other instances.
    pub peer_address: SocketAddr,
}

/// One rule: what is true of the requests that match it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rule {
    /// Customer that it applies to; every customer if absent.
    pub customer: Option<Name>,
    /// Whether the requests may be repeated, if the rule says so.
    pub idempotent: Option<bool>,
    /// Name, for messages.
    pub name: Name,
    /// Start of the request path below the service that it applies to; every path if absent.
    pub path: Option<Name>,
    /// Service that it applies to; every service if absent.
    pub service: Option<Name>,
    /// Tier of the requests, if the rule says so.
    pub tier: Option<Name>,
}

/// One service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Whether its requests may be repeated when no rule says otherwise.
    pub idempotent: bool,
    /// What kind of backend servers it has.
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
    /// Time for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Time to the first token, in milliseconds.
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
