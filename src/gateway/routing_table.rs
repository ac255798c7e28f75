//! The routing document indexed for lookups of routes, services and keys.

use std::sync::Arc;

use crate::gateway::routing_document::{
    CallerLimits, Customer, Route, RoutingDocument, ServiceSpec, WeightedService,
};
use crate::name::Name;

/// Routing document indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    customers: Vec<Arc<Customer>>,
    keys: Vec<(Name, usize)>,
    limits: CallerLimits,
    longest_resumable_ms: u64,
    /// Ranks of all routes, sorted, each once.
    ranks: Vec<u32>,
    routes: Vec<Arc<Route>>,
    services: Vec<ServiceSpec>,
    version: u64,
}

impl RoutingTable {
    /// Indexes a document.
    pub fn new(document: RoutingDocument) -> Self {
        let mut routes: Vec<_> = document.routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|left, right| {
            (&left.host, &left.prefix, &left.name).cmp(&(&right.host, &right.prefix, &right.name))
        });
        let mut services = document.services;
        services.sort_by(|left, right| left.name.cmp(&right.name));
        let mut customers: Vec<_> = document.customers.into_iter().map(Arc::new).collect();
        customers.sort_by(|left, right| left.name.cmp(&right.name));
        let mut keys: Vec<_> = customers
            .iter()
            .enumerate()
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        keys.sort();
        let mut ranks: Vec<_> = routes.iter().map(|route| route.priority).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let resumable = routes.iter().filter(|route| route.resumable);
        let longest_resumable_ms =
            resumable.map(|route| route.timeout_ms).max().unwrap_or_default();
        let (limits, version) = (document.limits, document.version);
        Self { customers, keys, limits, longest_resumable_ms, ranks, routes, services, version }
    }

    /// Returns the customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        let index = self.keys.binary_search_by(|(known, _)| (**known).cmp(key)).ok()?;
        self.customers.get(self.keys[index].1)
    }

    /// Returns all customers, sorted by name.
    pub fn customers(&self) -> &[Arc<Customer>] {
        &self.customers
    }

    /// Returns the bounds on callers' requests and idle connections.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the longest time for which a stream can be resumed, in milliseconds.
    pub fn longest_resumable_ms(&self) -> u64 {
        self.longest_resumable_ms
    }

    /// Returns whether a route has other services than in an earlier table.
    pub fn has_moved_since(&self, before: &RoutingTable) -> bool {
        let key =
            |route: &Arc<Route>| (route.host.clone(), route.prefix.clone(), route.name.clone());
        self.routes.iter().any(|route| {
            let found = before.routes.binary_search_by_key(&key(route), key);
            found.is_ok_and(|at| sorted_services(&before.routes[at]) != sorted_services(route))
        })
    }

    /// Returns whether requests need a key.
    pub fn needs_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the number of ranks of routes that precede a rank.
    pub fn ranks_before(&self, rank: u32) -> usize {
        self.ranks.partition_point(|known| *known < rank)
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|route| &*route.host < host);
        let end = start + self.routes[start..].partition_point(|route| &*route.host == host);
        let of_host = &self.routes[start..end];
        let mut candidate = path;
        while let Some(slash) = candidate.rfind('/') {
            let prefix = &candidate[..=slash];
            if let Ok(index) = of_host.binary_search_by(|route| (*route.prefix).cmp(prefix)) {
                return of_host.get(index);
            }
            candidate = &candidate[..slash];
        }
        None
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        let index = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        self.services.get(index)
    }

    /// Returns the version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }
}

fn sorted_services(route: &Route) -> Vec<Name> {
    let mut services: Vec<_> = route.services.iter().map(|known| known.service.clone()).collect();
    services.sort();
    services
}

/// Returns one of the services, chosen by weight; `random` is a uniformly distributed number.
pub fn weighted_service(services: &[WeightedService], random: u64) -> Option<&Name> {
    let total: u64 = services.iter().map(|service| u64::from(service.weight)).sum();
    let mut left = random.checked_rem(total)?;
    for service in services {
        let weight = u64::from(service.weight);
        if left < weight {
            return Some(&service.service);
        }
        left -= weight;
    }
    None
}
