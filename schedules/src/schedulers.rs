//! Builders of grant requests and inventories, and a harness that drives one scheduler, for tests.

use std::sync::Arc;

use bergamotspan::coordinator::Coordinator;
use bergamotspan::inventory::{BackendServer, Customer, Inventory, Service, ServiceKind, Tier};
use bergamotspan::load_report::LoadReport;
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::request_id::RequestId;
use bergamotspan::scheduler::{BackendServerReport, Scheduler, SchedulerEffect, SchedulerEvent};
use bergamotspan::scheduling::{GrantRequest, Progress, RefusalReason, RunningRequest};

/// Service that all tests use.
pub const SERVICE: &str = "plan-model";

/// Returns the identity of a request of the test instance.
pub fn request(sequence: u64) -> RequestId {
    RequestId { instance: "entry-1".into(), incarnation: 1, sequence }
}

/// Builds a grant request.
pub struct GrantRequestBuilder(GrantRequest);

impl GrantRequestBuilder {
    /// Returns a builder of a short request of tier 1.
    pub fn new(sequence: u64) -> Self {
        Self(GrantRequest {
            customer: "large".into(),
            excluded: Vec::new(),
            fingerprint: sequence + 1_000,
            max_output_tokens: 10,
            prefix_hashes: Vec::new(),
            prompt_tokens: 100,
            request: request(sequence),
            service: SERVICE.into(),
            tier_rank: 1,
            time_left_ms: 30_000,
        })
    }

    /// Sets the customer.
    pub fn customer(mut self, customer: &str) -> Self {
        self.0.customer = customer.into();
        self
    }

    /// Adds an excluded server; the list stays sorted if they are added in order.
    pub fn excluded(mut self, server: &str) -> Self {
        self.0.excluded.push(server.into());
        self
    }

    /// Sets the fingerprint.
    pub fn fingerprint(mut self, fingerprint: u64) -> Self {
        self.0.fingerprint = fingerprint;
        self
    }

    /// Sets the limit of output tokens.
    pub fn max_output_tokens(mut self, tokens: u32) -> Self {
        self.0.max_output_tokens = tokens;
        self
    }

    /// Sets the prefix hashes.
    pub fn prefix_hashes(mut self, hashes: Vec<u64>) -> Self {
        self.0.prefix_hashes = hashes;
        self
    }

    /// Sets the tokens of the prompt.
    pub fn prompt_tokens(mut self, tokens: u32) -> Self {
        self.0.prompt_tokens = tokens;
        self
    }

    /// Sets the rank of the tier.
    pub fn tier_rank(mut self, rank: u8) -> Self {
        self.0.tier_rank = rank;
        self
    }

    /// Sets the time left, in milliseconds.
    pub fn time_left_ms(mut self, time_left_ms: u64) -> Self {
        self.0.time_left_ms = time_left_ms;
        self
    }

    /// Returns the grant request.
    pub fn build(self) -> GrantRequest {
        self.0
    }
}

/// Builds an inventory with three tiers and one model service.
pub struct InventoryBuilder(Inventory);

impl Default for InventoryBuilder {
    fn default() -> Self {
        Self::new()
    }
}

impl InventoryBuilder {
    /// Returns a builder without engines and customers.
    pub fn new() -> Self {
        let tier = |rank: u8| Tier {
            between_tokens_ms: 50,
            deadline_ms: 30_000,
            first_token_ms: 1_000,
            name: format!("tier-{rank}").into(),
            rank,
        };
        let kind = ServiceKind::Model("m".into());
        Self(Inventory {
            services: vec![Service { idempotent: true, kind, name: SERVICE.into() }],
            tiers: (0..3).map(tier).collect(),
            ..Inventory::default()
        })
    }

    /// Makes the service a plain one.
    pub fn plain(mut self) -> Self {
        self.0.services[0].kind = ServiceKind::Plain;
        self
    }

    /// Adds an engine; names must come in order.
    pub fn engine(mut self, name: &str, token_limit_tokens: u32) -> Self {
        self.0.backend_servers.push(BackendServer {
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "umea-a".into(),
            fencing: false,
            leaving: false,
            name: name.into(),
            prefill_tokens_per_s: 10_000,
            service: SERVICE.into(),
            token_limit_tokens,
        });
        self
    }

    /// Adds a customer; names must come in order.
    pub fn customer(mut self, name: &str, weight: u32) -> Self {
        self.0.customers.push(Customer { name: name.into(), tier: "tier-1".into(), weight });
        self
    }

    /// Returns the inventory.
    pub fn build(self) -> Inventory {
        self.0
    }
}

/// Effects of one event, with accessors by the sequence numbers of requests.
#[derive(Debug)]
pub struct Effects(pub Vec<SchedulerEffect>);

impl Effects {
    /// Returns the requests granted, with their servers.
    pub fn granted(&self) -> Vec<(u64, String)> {
        let grants = self.0.iter().filter_map(|effect| match effect {
            SchedulerEffect::Grant(grant) => Some(grant),
            SchedulerEffect::Refuse(_) => None,
        });
        grants.map(|grant| (grant.request.sequence, grant.backend_server.to_string())).collect()
    }

    /// Returns the requests refused, with the reasons.
    pub fn refused(&self) -> Vec<(u64, RefusalReason)> {
        let refusals = self.0.iter().filter_map(|effect| match effect {
            SchedulerEffect::Grant(_) => None,
            SchedulerEffect::Refuse(refusal) => Some(refusal),
        });
        refusals.map(|refusal| (refusal.request.sequence, refusal.reason)).collect()
    }

    /// Returns whether there are no effects.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Drives one scheduler with a simulated clock.
pub struct Harness {
    /// Time, in milliseconds.
    pub now_ms: u64,
    /// Current inventory.
    pub inventory: Arc<Inventory>,
    /// The scheduler.
    pub scheduler: Box<dyn Scheduler>,
}

impl Harness {
    /// Returns a harness of a scheduler, to which the inventory was sent.
    pub fn new(scheduler: Box<dyn Scheduler>, inventory: InventoryBuilder) -> Self {
        let inventory = Arc::new(inventory.build());
        let mut harness = Self { now_ms: 0, inventory, scheduler };
        harness.leaving(&[]);
        harness
    }

    /// Returns a harness of a new coordinator.
    pub fn coordinator(inventory: InventoryBuilder) -> Self {
        Self::new(Box::new(Coordinator::new(SERVICE.into())), inventory)
    }

    /// Advances the clock without an event.
    pub fn advance(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
    }

    /// Delivers an event.
    pub fn event(&mut self, event: SchedulerEvent) -> Effects {
        Effects(self.scheduler.decide(self.now(), event))
    }

    /// Delivers a grant request.
    pub fn request_grant(&mut self, grant_request: GrantRequestBuilder) -> Effects {
        self.event(SchedulerEvent::GrantRequest(grant_request.build()))
    }

    /// Reports an instance as lost.
    pub fn instance_lost(&mut self, instance: &Name) -> Effects {
        self.event(SchedulerEvent::InstanceLost { instance: instance.clone() })
    }

    /// Sets the leaving servers, sorted.
    pub fn leaving(&mut self, leaving: &[&str]) -> Effects {
        let leaving = leaving.iter().map(|name| (*name).into()).collect();
        self.event(SchedulerEvent::Fleet { inventory: self.inventory.clone(), leaving })
    }

    /// Delivers a load report.
    pub fn load(&mut self, server: &str, report: LoadReport) -> Effects {
        self.event(SchedulerEvent::LoadReport { backend_server: server.into(), report })
    }

    /// Reports progress of a request.
    pub fn progress(&mut self, sequence: u64, progress: Progress) -> Effects {
        self.event(SchedulerEvent::Progress { progress, request: request(sequence) })
    }

    /// Sets the quarantined and suspect fingerprints, sorted.
    pub fn quarantine(&mut self, quarantined: Vec<u64>, suspects: Vec<u64>) -> Effects {
        self.event(SchedulerEvent::Quarantine { quarantined, suspects })
    }

    /// Reports a running request.
    pub fn running(&mut self, running: RunningRequest) -> Effects {
        self.event(SchedulerEvent::Running(running))
    }

    /// Delivers a tick.
    pub fn tick(&mut self) -> Effects {
        self.event(SchedulerEvent::Tick)
    }

    /// Withdraws a grant request.
    pub fn withdraw(&mut self, sequence: u64) -> Effects {
        self.event(SchedulerEvent::Withdraw { request: request(sequence) })
    }

    /// Returns the report on one server.
    pub fn engine(&self, name: &str) -> BackendServerReport {
        let report = self.scheduler.report(self.now());
        report.backend_servers.into_iter().find(|server| server.name == name).unwrap()
    }

    fn now(&self) -> Now {
        Now { monotonic_ms: self.now_ms, wall_clock_ms: 0 }
    }
}
