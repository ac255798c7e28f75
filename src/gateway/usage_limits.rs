//! Decides whether a customer has units left for a request, under limits over all instances.
//!
//! Every instance keeps a bucket for each customer, deducts the usage of all instances from it, and
//! refills it at the customer's rate, less the share of the instances that are not live.

use std::sync::Arc;

use crate::gateway::routing_document::Customer;
use crate::name::Name;

/// Largest share of the burst that must be left for a request, reserves not included; a request of
/// more units leaves a debt.
const REQUIRED_SHARE: f64 = 0.5;
/// Share of the burst that each rank leaves to the ranks before it.
const RESERVED_SHARE_PER_RANK: f64 = 0.2;
/// Largest share of the burst that a rank leaves to those before it.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Largest request, as a share of the burst, that needs no reserve for other ranks, since it costs
/// them little.
const SMALL_REQUEST_SHARE: f64 = 0.01;

/// Usage of a customer's limit by one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Number of ranks of routes that precede that of the request.
    pub ranks_before: usize,
    /// Units charged for the request.
    pub units: u64,
}

/// Usage of one customer as reported by an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// Name of the customer.
    pub customer: Name,
    /// Units left according to the reporting instance.
    pub left_units: i64,
    /// Units spent since the reporting instance started.
    pub spent_units: u64,
}

/// Outcome of charging a request to a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charge {
    /// The units were deducted, or no limit applies.
    Charged,
    /// There were not enough units; none were deducted.
    Insufficient(UsageShortage),
}

/// Units needed by a request and units available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageShortage {
    /// Units that are left.
    pub left_units: i64,
    /// Units that the request needs.
    pub needed_units: u64,
    /// Units that are refilled per second.
    pub units_per_s: u64,
    /// Time until there should be enough, in milliseconds.
    pub wait_ms: u64,
}

/// The buckets of all customers.
#[derive(Clone, Debug, Default)]
pub struct UsageLimits {
    buckets: Vec<Bucket>,
    /// Whether a document was applied before: customers of the first one may have spent all their
    /// units before this instance started.
    has_document: bool,
    /// Share of the known instances that are live, this one included.
    live_share: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    burst_units: f64,
    customer: Name,
    peer_spent_units: Vec<(Name, u64)>,
    left_units: f64,
    spent_units: u64,
    units_per_ms: f64,
    updated_ms: u64,
}

impl UsageLimits {
    /// Applies the limits of a document; known customers keep the units that they have left.
    pub fn set_customers(&mut self, now_ms: u64, customers: &[Arc<Customer>]) {
        let is_first_document = !std::mem::replace(&mut self.has_document, true);
        let new_share = if is_first_document { 0.0 } else { self.live_share };
        let limited = customers.iter().filter(|customer| customer.units_per_s > 0);
        self.buckets = limited
            .map(|customer| {
                let known = self.buckets.iter().find(|bucket| bucket.customer == customer.name);
                Bucket::new(now_ms, customer, known, new_share, self.live_share)
            })
            .collect();
    }

    /// Sets the numbers of live and of known instances, this one included; buckets refill by the
    /// share of live ones.
    pub fn set_instances(&mut self, now_ms: u64, live: usize, known: usize) {
        for bucket in &mut self.buckets {
            bucket.refill(now_ms, self.live_share);
        }
        self.live_share = live as f64 / known.max(live).max(1) as f64;
    }

    /// Charges a request to the limit of a customer.
    ///
    /// Where few units are left, they are reserved for requests of a higher rank.
    pub fn charge(&mut self, now_ms: u64, customer: &str, usage: Usage) -> Charge {
        let live_share = self.live_share;
        let units = usage.units;
        let Some(bucket) = self.bucket(customer) else { return Charge::Charged };
        bucket.refill(now_ms, live_share);
        let needed_units = bucket.needed_units(usage, live_share);
        if bucket.left_units >= needed_units {
            bucket.left_units -= units as f64;
            bucket.spent_units += units;
            return Charge::Charged;
        }
        let missing = needed_units - bucket.left_units;
        let per_ms = (bucket.units_per_ms * live_share).max(f64::MIN_POSITIVE);
        Charge::Insufficient(UsageShortage {
            left_units: bucket.left_units as i64,
            needed_units: units,
            units_per_s: (bucket.units_per_ms * live_share * 1_000.0) as u64,
            wait_ms: (missing / per_ms).min(60_000.0) as u64,
        })
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, customer: &str, units: u64) {
        if let Some(bucket) = self.bucket(customer) {
            bucket.left_units = (bucket.left_units + units as f64).min(bucket.burst_units);
            bucket.spent_units = bucket.spent_units.saturating_sub(units);
        }
    }

    /// Merges the usage reports of another instance; `joining` says whether this one has just
    /// started.
    pub fn merge(&mut self, now_ms: u64, from: &Name, reports: &[UsageReport], joining: bool) {
        let live_share = self.live_share;
        for report in reports {
            if let Some(bucket) = self.bucket(&report.customer) {
                bucket.refill(now_ms, live_share);
                bucket.merge(from, report, joining);
            }
        }
    }

    /// Removes the usage last reported by an instance, since it was restarted.
    pub fn reset_instance(&mut self, from: &Name) {
        for bucket in &mut self.buckets {
            bucket.peer_spent_units.retain(|(name, _)| name != from);
        }
    }

    /// Returns the usage reports of this instance, one for each limited customer.
    pub fn reports(&self) -> Vec<UsageReport> {
        let report = |bucket: &Bucket| UsageReport {
            customer: bucket.customer.clone(),
            left_units: bucket.left_units as i64,
            spent_units: bucket.spent_units,
        };
        self.buckets.iter().map(report).collect()
    }

    fn bucket(&mut self, customer: &str) -> Option<&mut Bucket> {
        let find = |bucket: &Bucket| (*bucket.customer).cmp(customer);
        let index = self.buckets.binary_search_by(find).ok()?;
        self.buckets.get_mut(index)
    }
}

impl Bucket {
    /// Returns a bucket with `new_share` of the burst, or continues a known one.
    fn new(
        now_ms: u64,
        customer: &Customer,
        known: Option<&Bucket>,
        new_share: f64,
        live_share: f64,
    ) -> Self {
        let burst_units = customer.burst_units as f64;
        let fresh = Bucket {
            burst_units,
            customer: customer.name.clone(),
            peer_spent_units: Vec::new(),
            left_units: burst_units * new_share,
            spent_units: 0,
            units_per_ms: customer.units_per_s as f64 / 1_000.0,
            updated_ms: now_ms,
        };
        let Some(known) = known else { return fresh };
        let mut known = known.clone();
        known.refill(now_ms, live_share);
        let left_units = known.left_units.min(burst_units);
        let (peer_spent_units, spent_units) = (known.peer_spent_units, known.spent_units);
        Bucket { peer_spent_units, left_units, spent_units, ..fresh }
    }

    /// Returns the units that must be left for a request to be admitted.
    fn needed_units(&self, usage: Usage, live_share: f64) -> f64 {
        let units = usage.units as f64;
        let full_units = self.burst_units * live_share;
        // A request larger than the burst would otherwise never be admitted.
        let own_units = units.min(full_units * REQUIRED_SHARE);
        if units <= full_units * SMALL_REQUEST_SHARE {
            return own_units;
        }
        let reserved_share =
            (usage.ranks_before as f64 * RESERVED_SHARE_PER_RANK).min(MAX_RESERVED_SHARE);
        own_units + full_units * reserved_share
    }

    fn refill(&mut self, now_ms: u64, live_share: f64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let refilled_units = elapsed_ms as f64 * self.units_per_ms * live_share;
        // The rest of the burst belongs to the instances that are not live.
        self.left_units = (self.left_units + refilled_units).min(self.burst_units * live_share);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    fn merge(&mut self, from: &Name, report: &UsageReport, joining: bool) {
        match self.peer_spent_units.iter_mut().find(|(name, _)| name == from) {
            Some((_, known_units)) => {
                self.left_units += *known_units as f64 - report.spent_units as f64;
                *known_units = report.spent_units;
            }
            None => {
                let left_units = report.left_units as f64;
                if joining && self.peer_spent_units.is_empty() {
                    self.left_units = self.left_units.max(left_units);
                } else if joining {
                    self.left_units = self.left_units.min(left_units);
                }
                self.peer_spent_units.push((from.clone(), report.spent_units));
            }
        }
        self.left_units = self.left_units.min(self.burst_units);
    }
}
