//! The coordinator of one service: it decides for all instances which waiting request is granted
//! which backend server, and when.

use std::sync::Arc;

use crate::engine_state::EngineState;
use crate::inventory::{Inventory, ServiceKind, Tier};
use crate::length_estimate::LengthEstimates;
use crate::lost_grants::LostGrants;
use crate::name::Name;
use crate::now::Now;
use crate::request_id::RequestId;
use crate::retry_budget::RetryBudget;
use crate::running_requests::{GrantedRequest, RunningRequests};
use crate::scheduler::{
    BackendServerReport, Scheduler, SchedulerEffect, SchedulerEvent, SchedulerReport,
};
use crate::scheduling::{GrantRequest, RefusalReason, RunningRequest};
use crate::service_rate::ServiceRate;
use crate::shed_counts::ShedCounts;
use crate::shedding::QueueAdmission;
use crate::waiting_queue::{WaitingQueue, WaitingRequest};

/// Time for which a new coordinator grants nothing, so that the receivers can report their running
/// requests first, in milliseconds.
pub const SETTLE_MS: u64 = 500;
/// Time before its deadline within which a withdrawn waiting request counts as expired, in
/// milliseconds.
const EXPIRY_MARGIN_MS: u64 = 200;

/// Grants in strict tier order, with fair shares between the customers of a tier and earliest
/// deadline first within a customer, up to each backend server's limit of tokens in progress.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) engines: Vec<EngineState>,
    pub(crate) inventory: Option<Arc<Inventory>>,
    pub(crate) lengths: LengthEstimates,
    pub(crate) lost_grants: LostGrants,
    pub(crate) quarantined: Vec<u64>,
    pub(crate) queue: WaitingQueue,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) running: RunningRequests,
    pub(crate) service: Name,
    pub(crate) service_rate: ServiceRate,
    pub(crate) settled_ms: Option<u64>,
    pub(crate) shed: ShedCounts,
    pub(crate) suspects: Vec<u64>,
}

impl Scheduler for Coordinator {
    fn decide(&mut self, now: Now, event: SchedulerEvent) -> Vec<SchedulerEffect> {
        let now_ms = now.monotonic_ms;
        self.settled_ms.get_or_insert(now_ms + SETTLE_MS);
        let mut effects = Vec::new();
        match self.apply_event(now_ms, event, &mut effects) {
            FollowUp::Nothing => {}
            FollowUp::ServeQueue => self.serve_queue(now_ms, &mut effects),
        }
        effects
    }

    fn entries_examined(&self) -> Option<u64> {
        Some(self.queue.examined())
    }

    fn lowest_waiting_rank(&self) -> Option<u8> {
        self.queue.lowest_rank()
    }

    fn report(&self, now: Now) -> SchedulerReport {
        let describe = |engine: &EngineState| BackendServerReport {
            limit_tokens: engine.limit.limit_tokens(),
            name: engine.name.to_string(),
            running_requests: engine.running_requests,
            running_tokens: engine.running_tokens,
            state: engine.state(now.monotonic_ms).to_owned(),
        };
        SchedulerReport {
            backend_servers: self.engines.iter().map(describe).collect(),
            inversions: self.shed.inversions(),
            service: self.service.to_string(),
            shed: self.shed.by_rank().to_vec(),
            waiting: self.queue.counts(),
        }
    }
}

/// Work that an event requires next.
enum FollowUp {
    /// Refuse and grant waiting requests: room may have become free, or a request may have arrived.
    ServeQueue,
    /// Nothing: neither the room nor the waiting requests changed.
    Nothing,
}

impl Coordinator {
    /// Returns a coordinator without requests and backend servers; the first event starts the
    /// settle time.
    pub fn new(service: Name) -> Self {
        Self {
            engines: Vec::new(),
            inventory: None,
            lengths: LengthEstimates::default(),
            lost_grants: LostGrants::default(),
            quarantined: Vec::new(),
            queue: WaitingQueue::default(),
            retry_budget: RetryBudget::default(),
            running: RunningRequests::default(),
            service,
            service_rate: ServiceRate::default(),
            settled_ms: None,
            shed: ShedCounts::default(),
            suspects: Vec::new(),
        }
    }

    pub(crate) fn engine_mut(&mut self, name: &Name) -> Option<&mut EngineState> {
        let index = self.engines.binary_search_by(|engine| engine.name.cmp(name)).ok()?;
        self.engines.get_mut(index)
    }

    pub(crate) fn is_plain(&self) -> bool {
        let service =
            self.inventory.as_ref().and_then(|inventory| inventory.service(&self.service));
        service.is_some_and(|service| service.kind == ServiceKind::Plain)
    }

    pub(crate) fn tier(&self, rank: u8) -> Option<&Tier> {
        let tiers = &self.inventory.as_ref()?.tiers;
        let index = tiers.binary_search_by_key(&rank, |tier| tier.rank).ok()?;
        tiers.get(index)
    }

    fn apply_event(
        &mut self,
        now_ms: u64,
        event: SchedulerEvent,
        effects: &mut Vec<SchedulerEffect>,
    ) -> FollowUp {
        match event {
            SchedulerEvent::GrantRequest(grant_request) => {
                return self.receive_grant_request(now_ms, grant_request, effects);
            }
            SchedulerEvent::CacheEvents { backend_server, events } => {
                if let Some(engine) = self.engine_mut(&backend_server) {
                    engine.prefixes.apply(&events);
                }
                return FollowUp::Nothing;
            }
            SchedulerEvent::Fleet { inventory, leaving } => {
                self.set_fleet(now_ms, inventory, &leaving);
                self.refuse_without_candidates(effects);
            }
            SchedulerEvent::InstanceLost { instance } => self.remove_lost_instance(&instance),
            SchedulerEvent::LoadReport { backend_server, report } => {
                if let Some(engine) = self.engine_mut(&backend_server) {
                    engine.update_load(now_ms, &report);
                }
                return FollowUp::Nothing;
            }
            SchedulerEvent::Progress { progress, request } => {
                self.apply_progress(now_ms, &request, &progress);
            }
            SchedulerEvent::Quarantine { quarantined, suspects } => {
                self.quarantined = quarantined;
                self.suspects = suspects;
                self.refuse_quarantined(effects);
            }
            SchedulerEvent::Running(running) => self.receive_running_request(now_ms, running),
            SchedulerEvent::Tick => self.tick(now_ms, effects),
            SchedulerEvent::Withdraw { request } => self.withdraw(now_ms, &request),
        }
        FollowUp::ServeQueue
    }

    fn receive_grant_request(
        &mut self,
        now_ms: u64,
        grant_request: GrantRequest,
        effects: &mut Vec<SchedulerEffect>,
    ) -> FollowUp {
        if let Some(running) = self.running.get_mut(&grant_request.request) {
            if !running.reported {
                running.pending_grant_request = Some((now_ms, grant_request));
            }
            return FollowUp::Nothing;
        }
        match self.admit(&grant_request) {
            QueueAdmission::Refused(reason) => {
                self.queue.remove(&grant_request.request);
                effects.push(self.refusal(&grant_request, reason));
            }
            QueueAdmission::Admitted => self.enqueue(now_ms, grant_request, effects),
        }
        FollowUp::ServeQueue
    }

    /// Adds a grant request to the queue; sheds from the lowest tier upwards if the queue is full.
    pub(crate) fn enqueue(
        &mut self,
        now_ms: u64,
        grant_request: GrantRequest,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        let weight = self.weight(&grant_request.customer);
        let waiting = self.estimate(now_ms, grant_request);
        self.queue.insert(waiting, weight);
        self.make_room(effects);
    }

    /// Estimates the cost of a grant request and its latest start.
    pub(crate) fn estimate(&self, now_ms: u64, grant_request: GrantRequest) -> WaitingRequest {
        let deadline_ms = now_ms.saturating_add(grant_request.time_left_ms);
        let output_tokens = self.output_tokens(&grant_request);
        let cost_tokens =
            (u64::from(grant_request.prompt_tokens) + u64::from(output_tokens)).max(1);
        let service_ms = self.least_service_ms(&grant_request).unwrap_or(0);
        let latest_start_ms = deadline_ms.saturating_sub(service_ms);
        WaitingRequest { grant_request, cost_tokens, deadline_ms, latest_start_ms, output_tokens }
    }

    fn output_tokens(&self, grant_request: &GrantRequest) -> u32 {
        if self.is_plain() {
            return 0;
        }
        self.lengths.upper_tokens(&grant_request.customer, grant_request.max_output_tokens)
    }

    pub(crate) fn weight(&self, customer: &Name) -> u32 {
        let customer = self.inventory.as_ref().and_then(|inventory| inventory.customer(customer));
        customer.map_or(1, |customer| customer.weight)
    }

    fn set_fleet(&mut self, now_ms: u64, inventory: Arc<Inventory>, leaving: &[Name]) {
        let mut engines = Vec::new();
        for server in &inventory.backend_servers {
            if server.service != self.service {
                continue;
            }
            let known = self.engines.binary_search_by(|engine| engine.name.cmp(&server.name));
            let mut engine = match known {
                Ok(index) => self.engines[index].clone(),
                Err(_) => self.with_running_requests(now_ms, EngineState::new(server)),
            };
            engine.set_initial_limit(u64::from(server.token_limit_tokens));
            engine.leaving = server.leaving || leaving.binary_search(&server.name).is_ok();
            engines.push(engine);
        }
        engines.sort_by(|a, b| a.name.cmp(&b.name));
        self.engines = engines;
        self.inventory = Some(inventory);
    }

    fn with_running_requests(&self, now_ms: u64, mut engine: EngineState) -> EngineState {
        let requests = self.running.matching(|_, running| running.backend_server == engine.name);
        for request in requests {
            if let Some(running) = self.running.get(&request) {
                engine.start_request(now_ms, running.cost_tokens, running.prefill_tokens);
            }
        }
        engine
    }

    fn remove_lost_instance(&mut self, instance: &Name) {
        self.lost_grants.remove_instance(instance);
        self.queue.remove_instance(instance);
        let lost = self.running.matching(|request, _| request.instance == *instance);
        for request in lost {
            self.end(&request);
        }
    }

    fn receive_running_request(&mut self, now_ms: u64, reported: RunningRequest) {
        let request = reported.grant_request.request.clone();
        self.queue.remove(&request);
        if let Some(running) = self.running.get(&request)
            && running.backend_server == reported.backend_server
        {
            let expires_ms = RunningRequests::reported_expiry_ms(running.deadline_ms);
            self.running.mark_reported(&request, expires_ms);
            return;
        }
        self.end(&request);
        let waiting = self.estimate(now_ms, reported.grant_request);
        let prefilled = reported.output_tokens > 0;
        let prefill_tokens =
            if prefilled { 0 } else { u64::from(waiting.grant_request.prompt_tokens) };
        let expires_ms = RunningRequests::reported_expiry_ms(waiting.deadline_ms);
        self.start(now_ms, &reported.backend_server, waiting, prefill_tokens, expires_ms);
        self.running.mark_reported(&request, expires_ms);
    }

    /// Adds a request to those in progress at a backend server.
    pub(crate) fn start(
        &mut self,
        now_ms: u64,
        backend_server: &Name,
        waiting: WaitingRequest,
        prefill_tokens: u64,
        expires_ms: u64,
    ) {
        let mut prefill_backlog_tokens = prefill_tokens;
        if let Some(engine) = self.engine_mut(backend_server) {
            engine.start_request(now_ms, waiting.cost_tokens, prefill_tokens);
            engine.prefixes.record_dispatch(&waiting.grant_request.prefix_hashes);
            prefill_backlog_tokens = engine.pending_prefill_tokens;
        }
        self.lost_grants.remove(&waiting.grant_request.request);
        self.running.insert(GrantedRequest {
            backend_server: backend_server.clone(),
            grant_request: waiting.grant_request,
            pending_grant_request: None,
            cost_tokens: waiting.cost_tokens,
            deadline_ms: waiting.deadline_ms,
            expires_ms,
            granted_ms: now_ms,
            reported: false,
            prefill_backlog_tokens,
            prefill_tokens,
        });
    }

    /// Removes a request from those in progress, and returns it.
    pub(crate) fn end(&mut self, request: &RequestId) -> Option<GrantedRequest> {
        let running = self.running.remove(request)?;
        if let Some(engine) = self.engine_mut(&running.backend_server) {
            engine.end_request(running.cost_tokens);
            engine.end_prefill(running.prefill_tokens);
        }
        Some(running)
    }

    /// Adds a request whose grant counted as lost to those in progress again.
    pub(crate) fn restore_lost_grant(&mut self, now_ms: u64, request: &RequestId) {
        let Some(running) = self.lost_grants.remove(request) else { return };
        if let Some(engine) = self.engine_mut(&running.backend_server) {
            engine.start_request(now_ms, running.cost_tokens, running.prefill_tokens);
        }
        self.running.insert(running);
    }

    fn tick(&mut self, now_ms: u64, effects: &mut Vec<SchedulerEffect>) {
        self.lost_grants.expire(now_ms);
        while let Some(request) = self.running.first_expired(now_ms) {
            let Some(running) = self.end(&request) else { return };
            if !running.reported
                && let Some(engine) = self.engine_mut(&running.backend_server)
            {
                engine.unreported = true;
            }
            let pending_grant_request = running.pending_grant_request.clone();
            let expires_ms = RunningRequests::reported_expiry_ms(running.deadline_ms);
            self.lost_grants.insert(running, expires_ms);
            if let Some((requested_ms, grant_request)) = pending_grant_request {
                self.queue_pending_grant_request(now_ms, requested_ms, grant_request, effects);
            }
        }
    }

    fn queue_pending_grant_request(
        &mut self,
        now_ms: u64,
        requested_ms: u64,
        mut grant_request: GrantRequest,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        grant_request.time_left_ms =
            requested_ms.saturating_add(grant_request.time_left_ms).saturating_sub(now_ms);
        match self.admit(&grant_request) {
            QueueAdmission::Refused(reason) => effects.push(self.refusal(&grant_request, reason)),
            QueueAdmission::Admitted => self.enqueue(now_ms, grant_request, effects),
        }
    }

    fn withdraw(&mut self, now_ms: u64, request: &RequestId) {
        if let Some(waiting) = self.queue.remove(request)
            && waiting.deadline_ms <= now_ms + EXPIRY_MARGIN_MS
        {
            self.count_shed(waiting.grant_request.tier_rank);
        }
        self.lost_grants.remove(request);
        let unreported = self.running.get(request).is_some_and(|running| !running.reported);
        if unreported {
            self.end(request);
        }
    }

    fn refuse_quarantined(&mut self, effects: &mut Vec<SchedulerEffect>) {
        let quarantined = std::mem::take(&mut self.quarantined);
        let is_quarantined = |grant_request: &GrantRequest| {
            quarantined.binary_search(&grant_request.fingerprint).is_ok()
        };
        for waiting in self.queue.remove_where(is_quarantined) {
            effects.push(self.refusal(&waiting.grant_request, RefusalReason::Quarantined));
        }
        self.quarantined = quarantined;
    }
}
