//! The state of a gateway instance and its decisions on requests; uses no clock, socket or task.

use std::sync::Arc;

use crate::gateway::admission::{
    Admission, Arrival, PlanCharge, Rank, Refusal, RefusalReason, RequestPlan,
};
use crate::gateway::backend::Backend;
use crate::gateway::backends::Backends;
use crate::gateway::broken_sends::BrokenSends;
use crate::gateway::crash_records::CrashNotice;
use crate::gateway::engine_query::VersionNeed;
use crate::gateway::evacuation::evacuated_set::{EvacuatedSet, Lack};
use crate::gateway::fleet::cold_servers::ColdNotice;
use crate::gateway::fleet::membership::Fleet;
use crate::gateway::fleet::message::LeavingServer;
use crate::gateway::freshness::Freshness;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::outliers::fleet::StandingChange;
use crate::gateway::packed_document::KeptDocument;
use crate::gateway::part_quarantine::PartQuarantine;
use crate::gateway::planned_stop::PlannedStop;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::request_queue::RequestQueue;
use crate::gateway::routing_document::{Customer, RouteKind};
use crate::gateway::routing_table::{RoutingTable, weighted_service};
use crate::gateway::service_retry_budget::ServiceRetryBudget;
use crate::gateway::software_versions::SoftwareVersions;
use crate::gateway::store_item::StorePosition;
use crate::gateway::store_log::StoreLog;
use crate::gateway::stream_origins::StreamOrigins;
use crate::gateway::update_fetch::UpdateFetch;
use crate::gateway::usage_limits::{Charge, Usage, UsageLimits};
use crate::name::Name;
use crate::now::Now;
use crate::quarantine::Quarantine;

/// Oldest proof with which a missing route or key is refused permanently, in milliseconds.
const MAX_CERTAIN_AGE_MS: u64 = 2_500;
/// Time after which a caller may retry where no better estimate exists, in milliseconds.
pub const RETRY_SOON_MS: u64 = 300;
/// Time after which a caller may retry at another instance, in milliseconds.
pub(crate) const RETRY_ELSEWHERE_MS: u64 = 20;
/// Time after which a quarantined request may be retried, in milliseconds.
const RETRY_QUARANTINED_MS: u64 = 60_000;
/// Time that a model request occupies a slot, before the first sample, in milliseconds.
const DEFAULT_SLOT_MS: f64 = 1_000.0;
/// Weight of a new sample in the mean time that a request occupies a slot.
const SLOT_SAMPLE_WEIGHT: f64 = 0.05;

/// State of a gateway instance.
#[derive(Debug)]
pub struct GatewayState {
    pub(crate) backends: Backends,
    /// Since when a peer is known to have a newer document or revision, in milliseconds of the boot
    /// clock.
    pub(crate) behind_since_ms: Option<u64>,
    pub(crate) retry_budgets: Vec<(Name, ServiceRetryBudget)>,
    pub(crate) broken_sends: BrokenSends,
    /// What was found out about crashes and is not logged yet.
    pub(crate) crash_notices: Vec<CrashNotice>,
    /// What is known of cold backend servers and is not logged yet.
    pub(crate) cold_notices: Vec<ColdNotice>,
    pub(crate) document: KeptDocument,
    pub(crate) evacuated: EvacuatedSet,
    /// What is lacking of the evacuations, and since when, in milliseconds of the boot clock.
    pub(crate) evacuated_lack: Option<(Lack, u64)>,
    pub(crate) fleet: Fleet,
    pub(crate) freshness: Freshness,
    /// Position after which the store can no longer list changes.
    pub(crate) history_lost: Option<StorePosition>,
    pub(crate) incarnation: u64,
    pub(crate) limits: UsageLimits,
    pub(crate) origins: StreamOrigins,
    pub(crate) parts: PartQuarantine,
    pub(crate) queues: Vec<(Name, RequestQueue)>,
    /// Highest position of the store reported by another instance of the cell.
    pub(crate) peer_position: StorePosition,
    /// Highest document version reported by another instance.
    pub(crate) peer_version: u64,
    /// Number given to the last request that had to wait.
    pub(crate) last_number: u64,
    /// Mean time that a model request occupies a slot, in milliseconds.
    pub(crate) mean_slot_ms: f64,
    pub(crate) quarantine: Quarantine,
    /// When a route last moved to another service, in milliseconds of the boot clock.
    pub(crate) services_moved_ms: Option<u64>,
    pub(crate) settings: GatewaySettings,
    /// When the store is listed again after it came back from an older copy, in milliseconds of the
    /// boot clock.
    pub(crate) relist_at_ms: Option<u64>,
    /// Changes of backend servers' standings that are not logged yet.
    pub(crate) standing_changes: Vec<StandingChange>,
    pub(crate) started_ms: u64,
    pub(crate) stop: Option<PlannedStop>,
    /// Whether the store answered the last call.
    pub(crate) store_reachable: bool,
    pub(crate) store_log: StoreLog,
    /// Position up to which changes of the store are applied.
    pub(crate) store_position: Option<StorePosition>,
    pub(crate) table: RoutingTable,
    pub(crate) update_fetch: UpdateFetch,
    pub(crate) versions: SoftwareVersions,
}

impl GatewayState {
    /// Returns a state without document, backend servers or live peers.
    pub fn new(settings: GatewaySettings, now_ms: u64, incarnation: u64) -> Self {
        let mut limits = UsageLimits::default();
        limits.set_instances(now_ms, 1, 1);
        Self {
            backends: Backends::default(),
            behind_since_ms: None,
            retry_budgets: Vec::new(),
            broken_sends: BrokenSends::default(),
            crash_notices: Vec::new(),
            cold_notices: Vec::new(),
            document: KeptDocument::default(),
            evacuated: EvacuatedSet::default(),
            evacuated_lack: None,
            fleet: Fleet::new(&settings, now_ms, incarnation),
            freshness: Freshness::default(),
            history_lost: None,
            incarnation,
            limits,
            origins: StreamOrigins::default(),
            parts: PartQuarantine::default(),
            queues: Vec::new(),
            peer_position: StorePosition::default(),
            peer_version: 0,
            last_number: 0,
            mean_slot_ms: DEFAULT_SLOT_MS,
            quarantine: Quarantine::default(),
            relist_at_ms: None,
            services_moved_ms: None,
            settings,
            standing_changes: Vec::new(),
            started_ms: now_ms,
            stop: None,
            store_reachable: true,
            store_log: StoreLog::default(),
            store_position: None,
            table: RoutingTable::default(),
            update_fetch: UpdateFetch::default(),
            versions: SoftwareVersions::default(),
        }
    }

    /// Returns the backend servers.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Returns a mutable reference to the backend servers.
    pub fn backends_mut(&mut self) -> &mut Backends {
        &mut self.backends
    }

    /// Returns what is known of the other instances.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns a mutable reference to what is known of the other instances.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Returns the usage limits of customers.
    pub fn limits(&self) -> &UsageLimits {
        &self.limits
    }

    /// Returns the settings.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Returns the routes in force.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Returns the document in force.
    pub fn document(&self) -> &KeptDocument {
        &self.document
    }

    /// Returns whether no other instance has reported a newer document.
    pub fn is_up_to_date(&self) -> bool {
        self.peer_version <= self.table.version()
    }

    /// Returns the age of the proof that the document is the newest, in milliseconds.
    pub fn proof_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.freshness.age_ms(now_ms)
    }

    /// Returns the number of waiting requests of all services.
    pub fn waiting_count(&self) -> usize {
        self.queues.iter().map(|(_, queue)| queue.len()).sum()
    }

    /// Returns whether the instance is ready for requests.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let bound_ms = self.settings.bounds.revocation_ms;
        self.table.version() > 0
            && self.stop.is_none()
            && self.backends.usable().next().is_some()
            && self.freshness.allows_keys(now_ms, bound_ms)
            && (!self.limits.has_limits() || self.fleet.knows_usage(now_ms))
    }

    /// Applies changed bounds, seeds and store address; the other settings stay as they were at the
    /// start.
    pub fn reload(&mut self, settings: GatewaySettings) {
        self.fleet.roster.set_seeds(&settings.seeds);
        self.settings.bounds = settings.bounds;
        self.update_cold_bounds();
        self.settings.seeds = settings.seeds;
        self.settings.store_address = settings.store_address;
    }

    /// Admits an arrived request and charges its customer, or refuses it; `random` picks one of the
    /// services of its route.
    pub fn admit(&mut self, now_ms: u64, arrival: &Arrival<'_>, random: u64) -> Admission {
        match self.plan_and_charge(now_ms, arrival, random) {
            Ok(plan) => Admission::Forward(plan),
            Err(refusal) => Admission::Refuse(refusal),
        }
    }

    fn plan_and_charge(
        &mut self,
        now_ms: u64,
        arrival: &Arrival<'_>,
        random: u64,
    ) -> Result<RequestPlan, Refusal> {
        let mut plan = self.plan_request(now_ms, arrival, random)?;
        if self.charges(now_ms, &plan) {
            self.charge(now_ms, &mut plan)?;
        }
        let budget = entry_or_default(&mut self.retry_budgets, &plan.service);
        budget.record_request(now_ms, &self.settings.bounds);
        Ok(plan)
    }

    pub(crate) fn plan_request(
        &mut self,
        now_ms: u64,
        arrival: &Arrival<'_>,
        random: u64,
    ) -> Result<RequestPlan, Refusal> {
        if self.table.version() == 0 {
            return Err(Refusal::retryable(RefusalReason::NoDocument, RETRY_SOON_MS));
        }
        let Some(route) = self.table.route(arrival.host, arrival.path).cloned() else {
            return Err(self.permanent_if_fresh(now_ms, RefusalReason::NoRoute));
        };
        let customer = self.identify_customer(now_ms, &route, arrival)?;
        if self.is_quarantined(now_ms, arrival.fingerprint) {
            return Err(Refusal::retryable(RefusalReason::Quarantined, RETRY_QUARANTINED_MS));
        }
        let Some(service) = weighted_service(&route.services, random).cloned() else {
            return Err(Refusal::retryable(RefusalReason::NoBackendServer, RETRY_SOON_MS));
        };
        if self.would_outlast_process(now_ms, &service, arrival.metadata.prompt.as_ref()) {
            return Err(Refusal::retryable(RefusalReason::Stopping, RETRY_ELSEWHERE_MS));
        }
        let time_left_ms = arrival.metadata.time_left_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let deadline_ms = arrival.arrived_ms.saturating_add(time_left_ms);
        if let Some(refusal) = self.refusal_if_closed(now_ms, &service, deadline_ms) {
            return Err(refusal);
        }
        let prompt = arrival.metadata.prompt.clone().map(Arc::new);
        let units = customer.as_ref().map(|customer| units(customer, prompt.as_deref()));
        let rank = customer.as_ref().and_then(|customer| customer.priority);
        let resumption = arrival.metadata.resumption.clone();
        let version_need = if route.resumable { VersionNeed::Settled } else { VersionNeed::Any };
        Ok(RequestPlan {
            arrived_ms: arrival.arrived_ms,
            charge: PlanCharge::Pending,
            deadline_ms,
            fingerprint: arrival.fingerprint,
            key: arrival.metadata.key.clone().filter(|_| customer.is_some()),
            prompt: prompt.filter(|_| route.kind == RouteKind::Stream),
            rank: Rank { customer: rank.unwrap_or_default(), route: route.priority },
            request_id: arrival.metadata.request_id.clone().unwrap_or_else(|| "".into()),
            resumption: resumption.filter(|_| route.resumable),
            route,
            service,
            customer,
            units: units.unwrap_or_default(),
            version_need,
            wanted_ms: arrival.arrived_ms,
        })
    }

    fn identify_customer(
        &self,
        now_ms: u64,
        route: &crate::gateway::routing_document::Route,
        arrival: &Arrival<'_>,
    ) -> Result<Option<Arc<Customer>>, Refusal> {
        if !self.table.needs_keys() {
            return Ok(None);
        }
        let key = arrival.metadata.key.as_ref();
        let fresh = self.freshness.allows_keys(now_ms, self.settings.bounds.revocation_ms);
        let customer = key.and_then(|key| self.table.customer(key)).filter(|_| fresh);
        match customer {
            Some(customer) => Ok(Some(customer.clone())),
            None if route.anonymous => Ok(None),
            None if !fresh => Err(Refusal::retryable(RefusalReason::NotFresh, RETRY_ELSEWHERE_MS)),
            None => Err(self.permanent_if_fresh(now_ms, RefusalReason::UnknownKey)),
        }
    }

    /// Returns whether a request is not sent because it crashed backend servers.
    pub fn is_quarantined(&mut self, now_ms: u64, fingerprint: u64) -> bool {
        self.quarantine.is_quarantined(monotonic_now(now_ms), fingerprint)
    }

    /// Takes the units of a request from its customer's limit, unless that is done.
    ///
    /// # Errors
    ///
    /// Returns the refusal if too few are left.
    pub fn charge(&mut self, now_ms: u64, plan: &mut RequestPlan) -> Result<(), Refusal> {
        if plan.charge != PlanCharge::Pending {
            return Ok(());
        }
        match &plan.customer {
            Some(customer) if self.limits.is_limited(&customer.name) => {
                let ranks_before = self.table.ranks_before(plan.route.priority);
                let usage = Usage { ranks_before, units: plan.units };
                self.charge_units(now_ms, &customer.name.clone(), usage)?;
                plan.charge = PlanCharge::Here;
            }
            _ => plan.charge = PlanCharge::Settled,
        }
        Ok(())
    }

    /// Takes units from the limit of a customer.
    ///
    /// # Errors
    ///
    /// Returns the refusal if too few are left, or it is not known how many.
    pub(crate) fn charge_units(
        &mut self,
        now_ms: u64,
        customer: &Name,
        usage: Usage,
    ) -> Result<(), Refusal> {
        if !self.fleet.knows_usage(now_ms) {
            return Err(Refusal::retryable(RefusalReason::Joining, RETRY_SOON_MS));
        }
        match self.limits.charge(now_ms, customer, usage) {
            Charge::Charged => Ok(()),
            Charge::Insufficient(shortage) => Err(Refusal::over_limit(shortage)),
        }
    }

    /// Gives back the units of a request that was charged here and not sent.
    pub fn refund(&mut self, plan: &RequestPlan) {
        if let (PlanCharge::Here, Some(customer)) = (plan.charge, &plan.customer) {
            self.limits.refund(&customer.name, plan.units);
        }
    }

    /// Records the units of a request that was charged here as spent, since it is sent.
    pub fn record_spent(&mut self, now_ms: u64, plan: &mut RequestPlan) {
        if let (PlanCharge::Here, Some(customer)) = (plan.charge, &plan.customer) {
            self.settle_units(now_ms, &customer.name.clone(), plan.units);
            plan.charge = PlanCharge::Settled;
        }
    }

    /// Records charged units as spent.
    pub(crate) fn settle_units(&mut self, now_ms: u64, customer: &Name, units: u64) {
        self.limits.record_spent(now_ms, customer, units);
        self.fleet.book.record_own(now_ms, customer, units);
    }

    /// Checks deadline and key of a request again, right before it is sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal if it may no longer be sent.
    pub fn recheck(&self, now_ms: u64, plan: &RequestPlan) -> Result<(), Refusal> {
        if now_ms >= plan.deadline_ms {
            return Err(Refusal::retryable(RefusalReason::TimedOut, RETRY_SOON_MS));
        }
        let Some(key) = &plan.key else { return Ok(()) };
        if !self.freshness.allows_keys(now_ms, self.settings.bounds.revocation_ms) {
            return Err(Refusal::retryable(RefusalReason::NotFresh, RETRY_ELSEWHERE_MS));
        }
        if self.table.customer(key).is_none() {
            return Err(self.permanent_if_fresh(now_ms, RefusalReason::UnknownKey));
        }
        Ok(())
    }

    /// Records that bytes arrived from a backend server.
    pub fn record_activity(&mut self, now_ms: u64, backend: &str) {
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.record_activity(now_ms);
        }
    }

    /// Returns whether a stream that paused for `silence_ms` may move to another backend server: no
    /// bytes of other answers arrived from its own either, and another one has a free slot.
    pub fn may_move_stream(
        &self,
        now_ms: u64,
        plan: &RequestPlan,
        backend: &str,
        silence_ms: u64,
    ) -> bool {
        let silent =
            self.backends.get(backend).is_none_or(|known| known.is_silent(now_ms, silence_ms));
        let free_slots = self.backends.slots_for(now_ms, &plan.service, &plan.version_need).1;
        let own = self.backends.get(backend).filter(|own| self.backends.takes_new_work(own));
        let own_free_slots = own.map(Backend::free_slots).unwrap_or_default();
        silent && free_slots > own_free_slots
    }

    /// Takes one retry from the budget of a service, and returns whether it had one.
    pub fn take_retry(&mut self, now_ms: u64, service: &Name) -> bool {
        let instances = self.fleet.known_count(now_ms);
        entry_or_default(&mut self.retry_budgets, service).try_take(
            now_ms,
            &self.settings.bounds,
            instances,
        )
    }

    /// Records how long a model request occupied its slot, in milliseconds.
    pub fn record_slot_time(&mut self, slot_ms: f64) {
        self.mean_slot_ms += SLOT_SAMPLE_WEIGHT * (slot_ms - self.mean_slot_ms);
        self.backends.set_slot_time(self.mean_slot_ms);
    }

    /// Returns the mean time between tokens for a mean time between events of a stream, both in
    /// milliseconds.
    pub fn token_ms(&self, backend: &str, event_ms: f64) -> Option<f32> {
        let service = &self.backends.get(backend)?.record.service;
        let engine = self.table.service(service).and_then(|service| service.engine.as_ref());
        let tokens = engine.map(|engine| engine.tokens_per_event).unwrap_or(1).max(1);
        Some((event_ms / f64::from(tokens)) as f32)
    }

    /// Records that backend servers announced that they leave; returns those of which that is news.
    pub fn mark_leaving(&mut self, leaving: &[LeavingServer]) -> Vec<Name> {
        let mut news = Vec::new();
        for leaving in leaving {
            if self.backends.mark_leaving(leaving) {
                self.fleet.is_urgent = true;
                news.push(leaving.backend_server.clone());
            }
        }
        news
    }

    fn permanent_if_fresh(&self, now_ms: u64, reason: RefusalReason) -> Refusal {
        if self.is_up_to_date() && self.freshness.is_within(now_ms, MAX_CERTAIN_AGE_MS) {
            Refusal::permanent(reason)
        } else {
            Refusal::retryable(RefusalReason::NotFresh, RETRY_ELSEWHERE_MS)
        }
    }
}

pub(crate) fn entry_or_default<'a, T>(list: &'a mut Vec<(Name, T)>, name: &Name) -> &'a mut T
where
    T: Default,
{
    let index = match list.binary_search_by(|(known, _)| known.cmp(name)) {
        Ok(index) => index,
        Err(index) => {
            list.insert(index, (name.clone(), T::default()));
            index
        }
    };
    &mut list[index].1
}

pub(crate) fn monotonic_now(now_ms: u64) -> Now {
    Now { monotonic_ms: now_ms, wall_clock_ms: 0 }
}

fn units(customer: &Customer, prompt: Option<&PromptShape>) -> u64 {
    match prompt {
        _ if !customer.units_are_tokens => 1,
        Some(prompt) => prompt.counted_tokens(),
        None => customer.plain_units,
    }
}
