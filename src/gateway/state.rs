//! The state of a gateway instance and its decisions on requests; uses no clock, socket or task.

use std::sync::Arc;

use crate::gateway::admission::{Admission, Arrival, Rank, Refusal, RefusalReason, RequestPlan};
use crate::gateway::backend::{Backend, SendOutcome};
use crate::gateway::backends::Backends;
use crate::gateway::broken_sends::{BrokenSend, BrokenSends};
use crate::gateway::dispatching::StartedSend;
use crate::gateway::freshness::Freshness;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::peer_table::PeerTable;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::request_queue::{QueueLength, RequestQueue};
use crate::gateway::routing_document::{Customer, RouteKind, RoutingDocument};
use crate::gateway::routing_table::{RoutingTable, weighted_service};
use crate::gateway::service_retry_budget::ServiceRetryBudget;
use crate::gateway::store_log::StoreLog;
use crate::gateway::usage_limits::{Charge, Usage, UsageLimits};
use crate::name::Name;
use crate::now::Now;
use crate::quarantine::Quarantine;

/// Oldest proof with which a missing route or key is refused permanently, in milliseconds.
const MAX_CERTAIN_AGE_MS: u64 = 2_500;
/// Time after which a caller may retry where no better estimate exists, in milliseconds.
pub const RETRY_SOON_MS: u64 = 300;
/// Time after which a caller may retry at another instance, in milliseconds.
const RETRY_ELSEWHERE_MS: u64 = 20;
/// Time after which a quarantined request may be retried, in milliseconds.
const RETRY_QUARANTINED_MS: u64 = 60_000;
/// Time after the start in which an instance adopts the balances that peers report, in
/// milliseconds.
pub(crate) const JOIN_PERIOD_MS: u64 = 4_000;
/// Time that a model request occupies a slot, before the first sample, in milliseconds.
const DEFAULT_SLOT_MS: f64 = 1_000.0;
/// Weight of a new sample in the mean time that a request occupies a slot.
const SLOT_SAMPLE_WEIGHT: f64 = 0.05;

/// Time after which a stopping instance admits no new request, in milliseconds; the balancer has
/// noticed the stop by then.
const STOP_ADMISSION_MS: u64 = 3_000;
/// Factor on the typical duration of an answer when a stopping instance decides on admission.
const STOP_DURATION_FACTOR: f64 = 2.0;

/// State of a gateway instance.
#[derive(Debug)]
pub struct GatewayState {
    pub(crate) backends: Backends,
    /// Since when a peer is known to have a newer document or revision, in milliseconds of the boot
    /// clock.
    pub(crate) behind_since_ms: Option<u64>,
    pub(crate) retry_budgets: Vec<(Name, ServiceRetryBudget)>,
    pub(crate) broken_sends: BrokenSends,
    pub(crate) document: Arc<RoutingDocument>,
    pub(crate) freshness: Freshness,
    /// Revision after which the store can no longer list changes.
    pub(crate) history_lost: Option<u64>,
    pub(crate) incarnation: u64,
    pub(crate) limits: UsageLimits,
    pub(crate) queues: Vec<(Name, RequestQueue)>,
    /// Highest revision of the store reported by another instance of the cell.
    pub(crate) peer_revision: u64,
    /// Highest document version reported by another instance.
    pub(crate) peer_version: u64,
    /// Number given to the last request that had to wait.
    pub(crate) last_number: u64,
    /// Queue lengths reported by other instances of the cell, by instance.
    pub(crate) peer_queues: Vec<(Name, Vec<QueueLength>)>,
    /// Mean time that a model request occupies a slot, in milliseconds.
    pub(crate) mean_slot_ms: f64,
    pub(crate) peers: PeerTable,
    pub(crate) quarantine: Quarantine,
    pub(crate) settings: GatewaySettings,
    /// When usage was last sent to peers, in milliseconds of the boot clock.
    pub(crate) spent_sent_ms: u64,
    pub(crate) started_ms: u64,
    pub(crate) stop: Option<Stop>,
    /// Whether the store answered the last call.
    pub(crate) store_reachable: bool,
    pub(crate) store_log: StoreLog,
    /// Revision up to which changes of the store are applied.
    pub(crate) store_revision: Option<u64>,
    pub(crate) table: RoutingTable,
}

/// A requested stop of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// When the process ends, in milliseconds of the boot clock.
    ends_ms: u64,
    /// When the stop was requested, in milliseconds of the boot clock.
    requested_ms: u64,
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
            document: Arc::default(),
            freshness: Freshness::default(),
            history_lost: None,
            incarnation,
            limits,
            queues: Vec::new(),
            peer_revision: 0,
            peer_version: 0,
            last_number: 0,
            peer_queues: Vec::new(),
            mean_slot_ms: DEFAULT_SLOT_MS,
            peers: PeerTable::new(settings.peer_address, now_ms, &settings.seeds),
            quarantine: Quarantine::default(),
            settings,
            spent_sent_ms: 0,
            started_ms: now_ms,
            stop: None,
            store_reachable: true,
            store_log: StoreLog::default(),
            store_revision: None,
            table: RoutingTable::default(),
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

    /// Returns the other instances.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
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
    pub fn document(&self) -> &Arc<RoutingDocument> {
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
    }

    /// Applies changed bounds, seeds and store address; the other settings stay as they were at the
    /// start.
    pub fn reload(&mut self, now_ms: u64, settings: GatewaySettings) {
        self.peers.set_seeds(now_ms, &settings.seeds);
        self.settings.bounds = settings.bounds;
        self.settings.seeds = settings.seeds;
        self.settings.store_address = settings.store_address;
    }

    /// Records that a stop was requested and that the process ends at `ends_ms`.
    pub fn stop(&mut self, now_ms: u64, ends_ms: u64) {
        self.stop = Some(Stop { ends_ms, requested_ms: now_ms });
    }

    /// Admits an arrived request and charges its customer, or refuses it; `random` picks one of the
    /// services of its route.
    pub fn admit(&mut self, now_ms: u64, arrival: &Arrival<'_>, random: u64) -> Admission {
        match self.plan_request(now_ms, arrival, random) {
            Ok(plan) => self.charge(now_ms, plan),
            Err(refusal) => Admission::Refuse(refusal),
        }
    }

    fn plan_request(
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
        if self.quarantine.is_quarantined(monotonic_now(now_ms), arrival.fingerprint) {
            return Err(Refusal::retryable(RefusalReason::Quarantined, RETRY_QUARANTINED_MS));
        }
        let Some(service) = weighted_service(&route.services, random).cloned() else {
            return Err(Refusal::retryable(RefusalReason::NoBackendServer, RETRY_SOON_MS));
        };
        if self.would_outlast_process(now_ms, &service, arrival.metadata.prompt.as_ref()) {
            return Err(Refusal::retryable(RefusalReason::Stopping, RETRY_ELSEWHERE_MS));
        }
        let time_left_ms = arrival.metadata.time_left_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let prompt = arrival.metadata.prompt.clone().map(Arc::new);
        let units = customer.as_ref().map(|customer| units(customer, prompt.as_deref()));
        let rank = customer.as_ref().and_then(|customer| customer.priority);
        Ok(RequestPlan {
            arrived_ms: arrival.arrived_ms,
            deadline_ms: arrival.arrived_ms.saturating_add(time_left_ms),
            fingerprint: arrival.fingerprint,
            key: arrival.metadata.key.clone().filter(|_| customer.is_some()),
            prompt: prompt.filter(|_| route.kind == RouteKind::Stream),
            rank: Rank { customer: rank.unwrap_or_default(), route: route.priority },
            request_id: arrival.metadata.request_id.clone().unwrap_or_else(|| "".into()),
            route,
            service,
            customer,
            units: units.unwrap_or_default(),
        })
    }

    /// Returns whether the process is stopping and a request that arrives now comes too late: it
    /// would probably outlast the process, or the time for new requests is over.
    fn would_outlast_process(
        &self,
        now_ms: u64,
        service: &str,
        prompt: Option<&PromptShape>,
    ) -> bool {
        let Some(stop) = self.stop else { return false };
        let answer_ms = prompt.map(|prompt| self.backends.typical_stream_ms(service, prompt));
        let answer_ms = answer_ms.unwrap_or_default() * STOP_DURATION_FACTOR;
        now_ms >= stop.requested_ms + STOP_ADMISSION_MS || now_ms + answer_ms as u64 >= stop.ends_ms
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

    fn charge(&mut self, now_ms: u64, plan: RequestPlan) -> Admission {
        let name = plan.customer.as_ref().map(|customer| customer.name.clone());
        let charge = match name {
            Some(name) => {
                let ranks_before = self.table.ranks_before(plan.route.priority);
                let usage = Usage { ranks_before, units: plan.units };
                self.limits.charge(now_ms, &name, usage)
            }
            None => Charge::Charged,
        };
        match charge {
            Charge::Charged => {
                let budget = entry_or_default(&mut self.retry_budgets, &plan.service);
                budget.record_request(now_ms, &self.settings.bounds);
                Admission::Forward(plan)
            }
            Charge::Insufficient(shortage) => {
                let wait_ms = shortage.wait_ms.max(RETRY_SOON_MS);
                let refusal = Refusal::retryable(RefusalReason::UsageLimit, wait_ms);
                Admission::Refuse(Refusal { shortage: Some(shortage), ..refusal })
            }
        }
    }

    /// Refunds the units charged for a request that did not run.
    pub fn refund(&mut self, plan: &RequestPlan) {
        if let Some(customer) = &plan.customer {
            self.limits.refund(&customer.name, plan.units);
        }
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

    /// Chooses a backend server for a plain request; those in `except` are left out.
    pub fn choose_plain(&self, now_ms: u64, service: &str, except: &[Name]) -> Option<Name> {
        self.backends.choose_plain(now_ms, service, except)
    }

    /// Counts a plain request as sent.
    pub fn start_plain_send(&mut self, now_ms: u64, backend_server: &Name) -> StartedSend {
        self.start_send(now_ms, backend_server, None)
    }

    pub(crate) fn start_send(
        &mut self,
        now_ms: u64,
        backend_server: &Name,
        prompt: Option<&PromptShape>,
    ) -> StartedSend {
        let backend = self.backends.get_mut(backend_server);
        let Some(backend) = backend else { return StartedSend::to_unknown(backend_server.clone()) };
        let unread_tokens =
            prompt.map(|prompt| backend.uncached_tokens(prompt)).unwrap_or_default();
        backend.record_send(now_ms, prompt, unread_tokens);
        StartedSend {
            address: Some(backend.record.address),
            backend_server: backend_server.clone(),
            running: backend.load().running,
            tokens_ahead: backend.load().unread_tokens,
            unread_tokens,
        }
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
        let free_slots = self.backends.slots(now_ms, &plan.service).1;
        let own_free_slots =
            self.backends.get(backend).map(Backend::free_slots).unwrap_or_default();
        silent && free_slots > own_free_slots
    }

    /// Takes one retry from the budget of a service, and returns whether it had one.
    pub fn take_retry(&mut self, now_ms: u64, service: &Name) -> bool {
        let instances = self.peers.known_count();
        entry_or_default(&mut self.retry_budgets, service).try_take(
            now_ms,
            &self.settings.bounds,
            instances,
        )
    }

    /// Records the end of a send; a backend server that was unreachable counts as crashed.
    pub fn end_send(
        &mut self,
        now_ms: u64,
        backend: &str,
        unread_tokens: u64,
        outcome: SendOutcome,
    ) {
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.record_end(now_ms, unread_tokens, outcome);
        }
        if outcome == SendOutcome::Unreachable {
            self.record_crash(now_ms, backend);
        }
    }

    /// Records how long a model request occupied its slot, in milliseconds.
    pub fn record_slot_time(&mut self, slot_ms: f64) {
        self.mean_slot_ms += SLOT_SAMPLE_WEIGHT * (slot_ms - self.mean_slot_ms);
    }

    /// Records the duration of a plain answer, in milliseconds.
    pub fn record_reply_time(&mut self, backend: &str, reply_ms: f64) {
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.record_reply_time(reply_ms);
        }
    }

    /// Records the mean time between events of a stream, in milliseconds.
    pub fn record_event_interval(&mut self, backend: &str, event_ms: f64) {
        let Some(backend) = self.backends.get_mut(backend) else { return };
        let engine = self.table.service(&backend.record.service).and_then(|s| s.engine.as_ref());
        let tokens = engine.map(|engine| engine.tokens_per_event).unwrap_or(1);
        backend.record_token_interval(event_ms / f64::from(tokens));
    }

    /// Records that the connection of a request sent at `sent_ms` broke; the request may have
    /// crashed its backend server.
    pub fn record_broken_send(
        &mut self,
        now_ms: u64,
        backend: &Name,
        fingerprint: u64,
        sent_ms: u64,
    ) {
        let backend_server = backend.clone();
        let broken_send = BrokenSend { backend_server, broken_ms: now_ms, fingerprint, sent_ms };
        self.broken_sends.record(broken_send);
    }

    /// Records a crash of a backend server, against the requests that may have caused it.
    pub(crate) fn record_crash(&mut self, now_ms: u64, backend: &str) {
        for broken_send in self.broken_sends.take_for_crash(now_ms, backend) {
            let BrokenSend { backend_server, fingerprint, sent_ms, .. } = broken_send;
            self.quarantine.record_crash(
                monotonic_now(now_ms),
                &backend_server,
                fingerprint,
                sent_ms,
            );
        }
    }

    /// Records that a backend server answered a request completely.
    pub fn record_answer(&mut self, backend: &str, fingerprint: u64) {
        self.broken_sends.discard(backend);
        self.quarantine.record_finish(fingerprint);
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
