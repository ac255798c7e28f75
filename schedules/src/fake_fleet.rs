//! Simulates engines and callers in steps of 10 ms, to compare schedulers under the same seeded
//! load.

use std::collections::{BTreeMap, VecDeque};

use bergamotspan::load_report::LoadReport;
use bergamotspan::scheduling::Progress;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedulers::{GrantRequestBuilder, Harness};

const STEP_MS: u64 = 10;
/// Time between two load reports of an engine, and their age on arrival, in milliseconds.
const LOAD_LAG_MS: u64 = 1_000;
/// Tokens whose cache fits into an engine's memory; further requests wait in the engine, first in,
/// first out.
const MEMORY_TOKENS: u64 = 16_000;
/// Requests in decode at which the time between tokens is twice that of a single one.
const DOUBLING_REQUESTS: u64 = 16;
/// Fewest tokens between two reports of progress.
const REPORT_TOKENS: u32 = 16;

/// Speed of one fake engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Time between two tokens of a single request, in microseconds.
    pub between_tokens_us: u64,
    /// Prefill speed, in tokens per second.
    pub prefill_tokens_per_s: u64,
}

/// Load of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Time during which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second.
    pub requests_per_s: u64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Stall of an engine, if any.
    pub stall: Option<Stall>,
}

/// Time during which one engine makes no progress.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Index of the engine.
    pub engine_index: usize,
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub to_ms: u64,
}

/// Outcomes of the requests of one tier.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TierResult {
    /// Requests finished in time.
    pub in_time: u64,
    /// Requests cancelled at their deadline.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests sent.
    pub sent: u64,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    deadline_ms: u64,
    instance: usize,
    output_tokens: u32,
    prompt_tokens: u32,
    tier_rank: u8,
}

#[derive(Debug)]
struct Job {
    dispatched_ms: u64,
    since_last_token_us: u64,
    prefilled_tokens: u64,
    reported_tokens: u32,
    sequence: u64,
    tokens: u32,
}

#[derive(Debug)]
struct Engine {
    decoding: Vec<Job>,
    loads: VecDeque<LoadReport>,
    name: String,
    prefilling: VecDeque<Job>,
    speed: Speed,
}

/// The simulated engines and callers, and the schedulers under test: one for all instances or one
/// per instance.
pub struct FakeFleet {
    callers: BTreeMap<u64, Caller>,
    engines: Vec<Engine>,
    now_ms: u64,
    /// Tokens prefilled for requests that were not finished in time.
    pub wasted_prefill_tokens: u64,
    /// Results by tier rank.
    pub results: [TierResult; 3],
    schedulers: Vec<Harness>,
}

impl FakeFleet {
    /// Returns a fleet of idle engines of the given speeds.
    pub fn new(schedulers: Vec<Harness>, speeds: &[Speed]) -> Self {
        let engine = |(index, speed): (usize, &Speed)| Engine {
            decoding: Vec::new(),
            loads: VecDeque::new(),
            name: format!("e{index}"),
            prefilling: VecDeque::new(),
            speed: *speed,
        };
        Self {
            callers: BTreeMap::new(),
            engines: speeds.iter().enumerate().map(engine).collect(),
            now_ms: 0,
            wasted_prefill_tokens: 0,
            results: Default::default(),
            schedulers,
        }
    }

    /// Runs the load until every request has ended.
    pub fn run(&mut self, load: Load) {
        let mut random = StdRng::seed_from_u64(load.seed);
        let mut sequence = 0;
        while self.now_ms < load.duration_ms || !self.callers.is_empty() {
            self.now_ms += STEP_MS;
            let arrives = random.random_range(0..1_000) < load.requests_per_s * STEP_MS;
            if arrives && self.now_ms < load.duration_ms {
                sequence += 1;
                self.send(sequence, &mut random);
            }
            for index in 0..self.engines.len() {
                if !self.is_stalled(index, load.stall) {
                    self.step_engine(index);
                }
            }
            self.cancel_late_requests();
            self.tick();
        }
    }

    fn is_stalled(&self, index: usize, stall: Option<Stall>) -> bool {
        stall.is_some_and(|stall| {
            stall.engine_index == index && (stall.from_ms..stall.to_ms).contains(&self.now_ms)
        })
    }

    fn send(&mut self, sequence: u64, random: &mut StdRng) {
        let (tier_rank, prompts, outputs, time_left_ms) = match random.random_range(0..10) {
            0..2 => (0, 50..400, 20..100, 5_000),
            2..6 => (1, 100..2_000, 50..200, 12_000),
            _ => (2, 1_000..6_000, 100..400, 30_000),
        };
        let caller = Caller {
            deadline_ms: self.now_ms + time_left_ms,
            instance: random.random_range(0..self.schedulers.len()),
            output_tokens: random.random_range(outputs),
            prompt_tokens: random.random_range(prompts),
            tier_rank,
        };
        self.callers.insert(sequence, caller);
        self.results[usize::from(tier_rank)].sent += 1;
        let grant_request = GrantRequestBuilder::new(sequence)
            .customer(&format!("customer-{tier_rank}"))
            .max_output_tokens(512)
            .prompt_tokens(caller.prompt_tokens)
            .tier_rank(tier_rank)
            .time_left_ms(time_left_ms);
        let scheduler = self.scheduler(caller.instance);
        let effects = scheduler.request_grant(grant_request);
        self.apply_effects(&effects);
    }

    fn scheduler(&mut self, instance: usize) -> &mut Harness {
        let scheduler = &mut self.schedulers[instance];
        scheduler.now_ms = self.now_ms;
        scheduler
    }

    fn apply_effects(&mut self, effects: &crate::schedulers::Effects) {
        for (sequence, server) in effects.granted() {
            let engine = self.engines.iter_mut().find(|engine| engine.name == server).unwrap();
            engine.prefilling.push_back(Job {
                dispatched_ms: self.now_ms,
                since_last_token_us: 0,
                prefilled_tokens: 0,
                reported_tokens: 0,
                sequence,
                tokens: 0,
            });
        }
        for (sequence, _) in effects.refused() {
            let caller = self.callers.remove(&sequence).unwrap();
            self.results[usize::from(caller.tier_rank)].refused += 1;
        }
    }

    fn report(&mut self, sequence: u64, progress: Progress) {
        let Some(caller) = self.callers.get(&sequence).copied() else { return };
        let ends = matches!(progress, Progress::Finished { .. } | Progress::Cancelled);
        if ends {
            self.callers.remove(&sequence);
        }
        let result = &mut self.results[usize::from(caller.tier_rank)];
        match progress {
            Progress::Finished { .. } => result.in_time += 1,
            Progress::Cancelled => result.late += 1,
            _ => {}
        }
        let effects = self.scheduler(caller.instance).progress(sequence, progress);
        self.apply_effects(&effects);
    }

    fn step_engine(&mut self, index: usize) {
        let mut progress = self.prefill(index);
        progress.extend(self.decode(index));
        for (sequence, progress) in progress {
            self.report(sequence, progress);
        }
    }

    fn prefill(&mut self, index: usize) -> Vec<(u64, Progress)> {
        let engine = &mut self.engines[index];
        let mut progress = Vec::new();
        let mut budget_tokens = engine.speed.prefill_tokens_per_s * STEP_MS / 1_000;
        while let Some(job) = engine.prefilling.front_mut() {
            let held_tokens: u64 = engine
                .decoding
                .iter()
                .map(|job| u64::from(self.callers[&job.sequence].prompt_tokens + job.tokens))
                .sum();
            let prompt_tokens = u64::from(self.callers[&job.sequence].prompt_tokens);
            if held_tokens + prompt_tokens > MEMORY_TOKENS && held_tokens > 0 {
                break;
            }
            let taken_tokens = budget_tokens.min(prompt_tokens - job.prefilled_tokens);
            job.prefilled_tokens += taken_tokens;
            budget_tokens -= taken_tokens;
            if job.prefilled_tokens < prompt_tokens {
                break;
            }
            let elapsed_ms = self.now_ms - job.dispatched_ms;
            progress.push((job.sequence, Progress::FirstToken { elapsed_ms }));
            engine.decoding.extend(engine.prefilling.pop_front());
        }
        progress
    }

    fn decode(&mut self, index: usize) -> Vec<(u64, Progress)> {
        let engine = &mut self.engines[index];
        let count = engine.decoding.len() as u64;
        let between_us = engine.speed.between_tokens_us * (DOUBLING_REQUESTS + count);
        let between_us = between_us / DOUBLING_REQUESTS;
        let mut progress = Vec::new();
        engine.decoding.retain_mut(|job| {
            job.since_last_token_us += STEP_MS * 1_000;
            job.tokens += (job.since_last_token_us / between_us) as u32;
            job.since_last_token_us %= between_us;
            let output_tokens = self.callers[&job.sequence].output_tokens;
            if job.tokens >= output_tokens {
                let finished = Progress::Finished { cached_tokens: 0, output_tokens };
                progress.push((job.sequence, finished));
                return false;
            }
            if job.tokens >= job.reported_tokens + REPORT_TOKENS {
                job.reported_tokens = job.tokens;
                let (between_tokens_ms, output_tokens) = (between_us / 1_000, job.tokens);
                progress
                    .push((job.sequence, Progress::Tokens { between_tokens_ms, output_tokens }));
            }
            true
        });
        progress
    }

    fn cancel_late_requests(&mut self) {
        let now_ms = self.now_ms;
        let late = |sequence: &u64| self.callers[sequence].deadline_ms <= now_ms;
        let mut cancelled = Vec::new();
        for engine in &mut self.engines {
            let in_decode = engine.decoding.extract_if(.., |job| late(&job.sequence));
            cancelled.extend(in_decode);
            let (ended, kept) = std::mem::take(&mut engine.prefilling)
                .into_iter()
                .partition::<VecDeque<Job>, _>(|job| late(&job.sequence));
            engine.prefilling = kept;
            cancelled.extend(ended);
        }
        for job in cancelled {
            self.wasted_prefill_tokens += job.prefilled_tokens;
            self.report(job.sequence, Progress::Cancelled);
        }
    }

    fn tick(&mut self) {
        for instance in 0..self.schedulers.len() {
            let effects = self.scheduler(instance).tick();
            self.apply_effects(&effects);
        }
        if self.now_ms.is_multiple_of(LOAD_LAG_MS) {
            self.report_loads();
        }
    }

    fn report_loads(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            let running = engine.decoding.len() + engine.prefilling.len();
            let queued = engine.prefilling.iter();
            let queued = queued.map(|job| u64::from(self.callers[&job.sequence].prompt_tokens));
            engine.loads.push_back(LoadReport {
                age_ms: LOAD_LAG_MS,
                queued_tokens: queued.sum(),
                running_requests: running as u32,
                running_tokens: 0,
            });
            if engine.loads.len() < 2 {
                continue;
            }
            let (name, report) = (engine.name.clone(), engine.loads.pop_front().unwrap());
            for instance in 0..self.schedulers.len() {
                self.scheduler(instance).load(&name, report);
            }
        }
    }
}
