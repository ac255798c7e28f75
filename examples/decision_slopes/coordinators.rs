//! Cost of the coordinator of a service, by its backend servers and requests.

use std::collections::VecDeque;
use std::sync::Arc;

use bergamotspan::coordinator::{Coordinator, SETTLE_MS};
use bergamotspan::inventory::{BackendServer, Customer, Inventory, Service, ServiceKind, Tier};
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::request_id::RequestId;
use bergamotspan::scheduler::{Scheduler, SchedulerEffect, SchedulerEvent};
use bergamotspan::scheduling::{GrantRequest, Progress};
use standins::capacity::Series;

use crate::cost::{measure_series, processor_us_of};
use crate::memory_case::MemoryCase;

const CUSTOMER_COUNT: u64 = 500;
const ENGINE_COUNTS: [u64; 5] = [4, 8, 16, 32, 64];
const PREFIX_HASH_COUNT: u64 = 4;
const TOKEN_REPORT_COUNT: u32 = 4;
const REQUEST_COUNT: u64 = 20_000;
const RUNNING_COUNTS: [u64; 4] = [1_000, 2_000, 4_000, 8_000];
const SERVICE: &str = "plan-model";
const TICK_COUNT: u64 = 200_000;
const TOKEN_LIMIT_TOKENS: u32 = 100_000_000;
const WAITING_COUNTS: [u64; 4] = [500, 1_000, 1_500, 2_000];

pub fn measure(divisor: u64) -> Vec<Series> {
    let requests = REQUEST_COUNT / divisor;
    let per_request = measure_series(
        "engines of one steward",
        "one bid and its six reports, us of processor",
        &ENGINE_COUNTS,
        |engines| processor_us_of(|| serve_requests(engines, requests)) / requests as f64,
    );
    let running = RUNNING_COUNTS.map(|count| count / divisor);
    let waiting = WAITING_COUNTS.map(|count| count / divisor);
    let ticks =
        measure_series("running requests", "one tick, us of processor", &running, |count| {
            let mut harness = Harness::new(16, TOKEN_LIMIT_TOKENS);
            (0..count).for_each(|sequence| harness.request_grant(sequence));
            processor_us_of(|| (0..TICK_COUNT).for_each(|_| harness.tick())) / TICK_COUNT as f64
        });
    vec![
        per_request,
        ticks,
        measure_series("running requests", "memory, bytes", &running, |count| {
            MemoryCase::Running.measure(count)
        }),
        measure_series("waiting requests", "memory, bytes", &waiting, |count| {
            MemoryCase::Waiting.measure(count)
        }),
    ]
}

/// Returns a coordinator that holds `count` requests; they wait if the token limit is too small.
pub fn loaded_coordinator(count: u64, token_limit_tokens: u32) -> impl Sized {
    let mut harness = Harness::new(16, token_limit_tokens);
    (0..count).for_each(|sequence| harness.request_grant(sequence));
    harness
}

/// Serves `requests` requests, of which a tenth (2,000 in a full run) run at the same time.
fn serve_requests(engines: u64, requests: u64) -> Harness {
    let mut harness = Harness::new(engines, TOKEN_LIMIT_TOKENS);
    let mut running = VecDeque::new();
    for sequence in 0..requests {
        harness.now.monotonic_ms += u64::from(sequence % 4 == 0);
        harness.request_grant(sequence);
        running.push_back(sequence);
        if running.len() > (requests / 10) as usize
            && let Some(oldest) = running.pop_front()
        {
            harness.finish(oldest);
        }
    }
    assert!(harness.granted > 0, "requests are granted");
    harness
}

struct Harness {
    granted: usize,
    now: Now,
    coordinator: Coordinator,
}

impl Harness {
    fn new(engines: u64, token_limit_tokens: u32) -> Self {
        let inventory = Arc::new(inventory(engines, token_limit_tokens));
        let mut coordinator = Coordinator::new(SERVICE.into());
        let mut now = Now { monotonic_ms: 1_000, wall_clock_ms: 1_700_000_000_000 };
        coordinator.decide(now, SchedulerEvent::Fleet { inventory, leaving: Vec::new() });
        now.monotonic_ms += SETTLE_MS;
        Self { granted: 0, now, coordinator }
    }

    fn request_grant(&mut self, sequence: u64) {
        self.decide(SchedulerEvent::GrantRequest(grant_request(sequence)));
    }

    fn finish(&mut self, sequence: u64) {
        self.report(sequence, Progress::FirstToken { elapsed_ms: 100 });
        for report in 1..=TOKEN_REPORT_COUNT {
            let output_tokens = report * 25;
            self.report(sequence, Progress::Tokens { between_tokens_ms: 20, output_tokens });
        }
        self.report(sequence, Progress::Finished { cached_tokens: 0, output_tokens: 100 });
    }

    fn tick(&mut self) {
        self.decide(SchedulerEvent::Tick);
    }

    fn decide(&mut self, event: SchedulerEvent) {
        let effects = self.coordinator.decide(self.now, event);
        let is_grant = |effect: &&SchedulerEffect| matches!(effect, SchedulerEffect::Grant(_));
        self.granted += effects.iter().filter(is_grant).count();
    }

    fn report(&mut self, sequence: u64, progress: Progress) {
        self.decide(SchedulerEvent::Progress { progress, request: request_id(sequence) });
    }
}

/// Returns a grant request as a receiver sends it.
pub fn grant_request(sequence: u64) -> GrantRequest {
    grant_request_with(sequence, PREFIX_HASH_COUNT)
}

/// Returns a grant request with a number of prefix hashes.
pub fn grant_request_with(sequence: u64, prefix_hashes: u64) -> GrantRequest {
    let hash = |block| (sequence % 200 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (block << 40);
    GrantRequest {
        customer: format!("customer-{}", sequence % CUSTOMER_COUNT).into(),
        excluded: Vec::new(),
        fingerprint: (sequence + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        max_output_tokens: 200,
        prefix_hashes: (0..prefix_hashes).map(hash).collect(),
        prompt_tokens: 1_200,
        request: request_id(sequence),
        service: SERVICE.into(),
        tier_rank: (sequence % 4) as u8,
        time_left_ms: 600_000,
    }
}

/// Returns the id of a request.
pub fn request_id(sequence: u64) -> RequestId {
    let instance = Name::from(format!("entry-{}", sequence % 9 + 1));
    RequestId { instance, incarnation: u64::MAX / 3, sequence }
}

fn inventory(engines: u64, token_limit_tokens: u32) -> Inventory {
    let kind = ServiceKind::Model("m".into());
    Inventory {
        backend_servers: (0..engines).map(|number| engine(number, token_limit_tokens)).collect(),
        customers: customers(),
        services: vec![Service { idempotent: true, kind, name: SERVICE.into() }],
        tiers: (0..4).map(tier).collect(),
        ..Inventory::default()
    }
}

fn customers() -> Vec<Customer> {
    let mut customers: Vec<Customer> = (0..CUSTOMER_COUNT)
        .map(|number| Customer {
            name: format!("customer-{number}").into(),
            tier: "tier-1".into(),
            weight: 1,
        })
        .collect();
    customers.sort_by(|a, b| a.name.cmp(&b.name));
    customers
}

fn engine(number: u64, token_limit_tokens: u32) -> BackendServer {
    BackendServer {
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: "dc-a".into(),
        fencing: false,
        leaving: false,
        name: format!("engine-{number:05}").into(),
        prefill_tokens_per_s: 50_000,
        service: SERVICE.into(),
        token_limit_tokens,
    }
}

fn tier(rank: u8) -> Tier {
    Tier {
        between_tokens_ms: 73,
        deadline_ms: 600_000,
        first_token_ms: 1_200,
        name: format!("tier-{rank}").into(),
        rank,
    }
}
