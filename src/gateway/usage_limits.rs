//! Decides whether a customer has units left for a request, under limits over all instances.
//!
//! Every instance keeps a bucket for each customer and refills it at the customer's rate, less the
//! share of the instances that are not live. A coordinator deducts what all instances spend; the
//! others adopt its balance, less what they have spent since.

use std::sync::Arc;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::fleet::message::Spent;
use crate::gateway::gateway_settings::Bounds;
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
/// Parts of what a window allows beyond the limit, of which a start of all instances uses one; the
/// others are for more such starts in the same window and for what instances learn late.
const START_PARTS: f64 = 4.0;

/// Usage of a customer's limit by one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Number of ranks of routes that precede that of the request.
    pub ranks_before: usize,
    /// Units charged for the request.
    pub units: u64,
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
#[derive(Clone, Copy, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
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
    /// Set if the fleet started as a whole before there was a document.
    begun: Option<Bounds>,
    /// Whether a document was applied before: customers of the first one may have spent all their
    /// units before this instance started.
    has_document: bool,
    /// Share of the known instances that are live, this one included.
    live_share: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    burst_units: f64,
    /// When units were last spent by any instance, in milliseconds of the boot clock.
    changed_ms: u64,
    customer: Name,
    left_units: f64,
    /// When this instance last spent units, in milliseconds of the boot clock.
    own_changed_ms: u64,
    /// Units charged for requests that were not sent yet.
    reserved_units: u64,
    /// Units that this instance has spent since its start.
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
        if let Some(bounds) = self.begun.take() {
            self.begin(now_ms, &bounds);
        }
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
            bucket.reserved_units += units;
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

    /// Refunds the units of a request that was not sent.
    pub fn refund(&mut self, customer: &str, units: u64) {
        if let Some(bucket) = self.bucket(customer) {
            bucket.left_units = (bucket.left_units + units as f64).min(bucket.burst_units);
            bucket.reserved_units = bucket.reserved_units.saturating_sub(units);
        }
    }

    /// Records charged units as spent.
    pub fn record_spent(&mut self, now_ms: u64, customer: &str, units: u64) {
        let Some(bucket) = self.bucket(customer) else { return };
        bucket.reserved_units = bucket.reserved_units.saturating_sub(units);
        bucket.spent_units += units;
        bucket.changed_ms = now_ms;
        bucket.own_changed_ms = now_ms;
    }

    /// Grants what the window allows beyond the limits to a fleet that starts as a whole, of which
    /// no instance knows what was spent before.
    pub fn begin(&mut self, now_ms: u64, bounds: &Bounds) {
        if !self.has_document {
            self.begun = Some(bounds.clone());
            return;
        }
        let live_share = self.live_share;
        for bucket in &mut self.buckets {
            bucket.refill(now_ms, live_share);
            let window_units =
                bucket.units_per_ms * bounds.usage_window_ms as f64 + bucket.burst_units;
            let excess_units = window_units * bounds.usage_excess + bounds.usage_slack_units as f64;
            let most_units = bucket.burst_units * live_share;
            let left_units = bucket.left_units + excess_units / START_PARTS;
            bucket.left_units = left_units.min(most_units).max(bucket.left_units);
        }
    }

    /// Deducts units that another instance has spent.
    pub fn deduct(&mut self, now_ms: u64, customer: &str, units: u64) {
        let live_share = self.live_share;
        if let Some(bucket) = self.bucket(customer) {
            bucket.refill(now_ms, live_share);
            bucket.left_units -= units as f64;
            bucket.changed_ms = now_ms;
        }
    }

    /// Adopts the balance of a coordinator, which has deducted `acknowledged_units` of what this
    /// instance has spent; without that number it is adopted only before anything was spent.
    pub fn adopt(
        &mut self,
        now_ms: u64,
        customer: &str,
        left_units: i64,
        acknowledged_units: Option<u64>,
    ) {
        let Some(bucket) = self.bucket(customer) else { return };
        let acknowledged_units = match acknowledged_units {
            Some(units) => units,
            None if bucket.spent_units == 0 => 0,
            None => return,
        };
        let pending_units = bucket.spent_units.saturating_sub(acknowledged_units);
        let held_units = pending_units + bucket.reserved_units;
        bucket.left_units = (left_units as f64).min(bucket.burst_units) - held_units as f64;
        bucket.updated_ms = now_ms;
    }

    /// Returns whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Returns whether a customer has a limit.
    pub fn is_limited(&self, customer: &str) -> bool {
        self.buckets.binary_search_by(|bucket| (*bucket.customer).cmp(customer)).is_ok()
    }

    /// Returns when this instance last spent units, in milliseconds of the boot clock.
    pub fn changed_ms(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.own_changed_ms).max().unwrap_or_default()
    }

    /// Returns what this instance has spent since its start, by customer, where that changed since
    /// `since_ms`.
    pub fn spent_since(&self, since_ms: u64) -> Vec<Spent> {
        let changed = self
            .buckets
            .iter()
            .filter(|bucket| bucket.spent_units > 0 && bucket.own_changed_ms >= since_ms);
        changed
            .map(|bucket| Spent { customer: bucket.customer.clone(), units: bucket.spent_units })
            .collect()
    }

    /// Returns the units left of the customers of which units were spent since `since_ms`.
    pub fn left_since(&mut self, now_ms: u64, since_ms: u64) -> Vec<(Name, i64)> {
        let live_share = self.live_share;
        let changed = self.buckets.iter_mut().filter(|bucket| bucket.changed_ms >= since_ms);
        changed
            .map(|bucket| {
                bucket.refill(now_ms, live_share);
                // What is reserved here is not spent yet, but the fleet must not count on it.
                (bucket.customer.clone(), bucket.left_units as i64)
            })
            .collect()
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
            changed_ms: 0,
            customer: customer.name.clone(),
            left_units: burst_units * new_share,
            own_changed_ms: 0,
            reserved_units: 0,
            spent_units: 0,
            units_per_ms: customer.units_per_s as f64 / 1_000.0,
            updated_ms: now_ms,
        };
        let Some(known) = known else { return fresh };
        let mut known = known.clone();
        known.refill(now_ms, live_share);
        let left_units = known.left_units.min(burst_units);
        let Bucket { changed_ms, own_changed_ms, reserved_units, spent_units, .. } = known;
        Bucket { changed_ms, left_units, own_changed_ms, reserved_units, spent_units, ..fresh }
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
}
