//! The state of one backend server: its record, load, measured speeds and recent failures.

use serde::{Deserialize, Serialize};

use crate::gateway::backend_record::BackendRecord;
use crate::gateway::fleet::message::{EngineReport, Speeds};
use crate::gateway::outliers::record::OutcomeRecord;
use crate::gateway::rate_limit::ServerLimits;
use crate::gateway::request_metadata::PromptShape;
use crate::name::Name;

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Weight, in a moving average, of a new sample that is probably too high.
const HIGH_SAMPLE_WEIGHT: f64 = 0.03;
/// Weight of a new outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Time for which a backend server that was unreachable or refused a request receives none, in
/// milliseconds; it doubles with each failure after its end and each refusal.
const BACKOFF_MS: u64 = 250;
/// Maximum number of doublings of the back-off.
const MAX_DOUBLINGS: u32 = 4;
/// Time to prefill one prompt token, before the first sample, in milliseconds.
const DEFAULT_PREFILL_MS: f64 = 0.02;
/// Time to generate one token, before the first sample, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 6.0;
/// Duration of a plain answer, before the first sample, in milliseconds.
const DEFAULT_REPLY_MS: f64 = 30.0;
/// Time to the first token that does not grow with the prompt, in milliseconds.
const FIRST_TOKEN_BASE_MS: f64 = 12.0;
/// Number of samples that a value counts for that another instance measured.
const ADOPTED_SAMPLES: u32 = 10;
/// Longest time for which a backend server is left alone on its word, in milliseconds.
const MAX_PAUSE_MS: u64 = 60_000;
/// Maximum number of prompt parts that are recorded as cached at one backend server.
const PART_LIMIT: usize = 2_048;

/// Whether a backend server may receive requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendStatus {
    /// Its record was removed or can't be read.
    Gone {
        /// When the instance recorded this, in milliseconds of the boot clock.
        since_ms: u64,
    },
    /// It accepts no new requests.
    Leaving,
    /// It accepts requests.
    Usable,
}

/// Load at one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackendLoad {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Uncached prompt tokens of those without a first event.
    pub unread_tokens: u64,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendOutcome {
    /// It was answered completely.
    Answered,
    /// The caller disconnected, or its deadline passed.
    Abandoned,
    /// It failed at the backend server or on the way.
    Failed,
    /// No connection to the backend server was opened, or it ended before any byte was sent.
    Unreachable,
    /// The backend server did not run it.
    Refused,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its id.
    pub id: Name,
    /// Its newest record.
    pub record: BackendRecord,
    /// Whether it may receive requests.
    pub status: BackendStatus,
    /// Load of this instance.
    pub own_load: BackendLoad,
    /// Load of all other instances.
    pub others_load: BackendLoad,
    /// Whether it announced in an answer that it leaves; its record may not say so yet.
    pub announced_leaving: bool,
    backoff_until_ms: u64,
    /// Whether it was logged that its record says something untrue of how long it stays cold.
    pub(crate) cold_was_unreadable: bool,
    /// Until when it takes no streams that may be resumed, in milliseconds of the boot clock.
    pub(crate) held_until_ms: u64,
    failure_share: f64,
    failures_in_a_row: u32,
    /// Whether this instance's cell chooses it and grants its places.
    pub(crate) is_own: bool,
    /// The limits on requests that it bears.
    pub limits: ServerLimits,
    last_received_ms: u64,
    /// How requests of all instances ended there, and whether it is ejected for that.
    pub outcomes: OutcomeRecord,
    paused_until_ms: u64,
    cached_parts: Vec<(u64, u64)>,
    prefill_ms: MovingAverage,
    reply_ms: MovingAverage,
    token_ms: MovingAverage,
    unreachable_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    samples: u32,
    value: f64,
}

impl MovingAverage {
    fn add(&mut self, value: f64) {
        let weight = SAMPLE_WEIGHT.max(1.0 / (f64::from(self.samples) + 1.0));
        self.value += weight * (value - self.value);
        self.samples = self.samples.saturating_add(1);
    }

    /// Adds a sample that may be too high but never too low.
    fn add_overestimate(&mut self, value: f64) {
        if self.samples == 0 || value < self.value {
            self.add(value);
        } else {
            self.value += HIGH_SAMPLE_WEIGHT * (value - self.value);
        }
    }

    /// Takes over the value of an instance that has seen more samples.
    fn adopt(&mut self, value: f32) {
        if value.is_finite() && value > 0.0 {
            self.value = f64::from(value);
            self.samples = self.samples.max(ADOPTED_SAMPLES);
        }
    }

    fn value_or(&self, default: f64) -> f64 {
        if self.samples == 0 { default } else { self.value }
    }
}

impl Backend {
    /// Returns a usable backend server without load or samples.
    pub fn new(id: Name, record: BackendRecord) -> Self {
        Self {
            id,
            record,
            status: BackendStatus::Usable,
            own_load: BackendLoad::default(),
            others_load: BackendLoad::default(),
            announced_leaving: false,
            backoff_until_ms: 0,
            cold_was_unreadable: false,
            held_until_ms: 0,
            failure_share: 0.0,
            failures_in_a_row: 0,
            is_own: false,
            limits: ServerLimits::default(),
            last_received_ms: 0,
            outcomes: OutcomeRecord::default(),
            paused_until_ms: 0,
            cached_parts: Vec::new(),
            prefill_ms: MovingAverage::default(),
            reply_ms: MovingAverage::default(),
            token_ms: MovingAverage::default(),
            unreachable_until_ms: 0,
        }
    }

    /// Returns whether it is usable and not in back-off.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        self.status == BackendStatus::Usable
            && now_ms >= self.backoff_until_ms
            && now_ms >= self.paused_until_ms
            && now_ms >= self.unreachable_until_ms
    }

    /// Returns whether it is usable and not held to be unreachable; it may be busy.
    pub fn is_in_reach(&self, now_ms: u64) -> bool {
        self.status == BackendStatus::Usable && now_ms >= self.unreachable_until_ms
    }

    /// Returns the load of all instances.
    pub fn load(&self) -> BackendLoad {
        BackendLoad {
            running: self.own_load.running.saturating_add(self.others_load.running),
            unread_tokens: self
                .own_load
                .unread_tokens
                .saturating_add(self.others_load.unread_tokens),
        }
    }

    /// Returns the number of slots that can be in use; at a limit, those that it fills with requests
    /// that occupy one for `slot_ms`, or a second if that is 0.
    pub fn usable_slots(&self, now_ms: u64, slot_ms: f64) -> usize {
        let Some(rate) = self.limits.millirequests_per_s(now_ms) else { return self.record.slots };
        let slot_s = if slot_ms > 0.0 { slot_ms / 1_000.0 } else { 1.0 };
        ((rate as f64 / 1_000.0 * slot_s).ceil() as usize).clamp(1, self.record.slots.max(1))
    }

    /// Returns the number of free slots.
    pub fn free_slots(&self) -> usize {
        self.record.slots.saturating_sub(self.load().running as usize)
    }

    /// Returns the share of recent sends that failed.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the expected duration of a plain answer, in milliseconds.
    pub fn expected_reply_ms(&self) -> f64 {
        self.reply_ms.value_or(DEFAULT_REPLY_MS)
    }

    /// Returns the tokens of a prompt that are probably not cached.
    pub fn uncached_tokens(&self, prompt: &PromptShape) -> u64 {
        let cached = prompt.parts.iter().take_while(|part| self.find_part(part.id).is_ok());
        let cached_tokens = cached.fold(0, |sum: u64, part| sum.saturating_add(part.tokens));
        prompt.prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub fn expected_first_event_ms(&self, uncached_tokens: u64) -> f64 {
        let tokens = self.load().unread_tokens.saturating_add(uncached_tokens);
        FIRST_TOKEN_BASE_MS + self.prefill_ms.value_or(DEFAULT_PREFILL_MS) * tokens as f64
    }

    /// Returns the expected time between tokens, in milliseconds.
    pub fn expected_token_ms(&self) -> f64 {
        self.token_ms.value_or(DEFAULT_TOKEN_MS)
    }

    /// Returns the expected time to prefill one prompt token, in milliseconds.
    pub fn expected_prefill_ms(&self) -> f64 {
        self.prefill_ms.value_or(DEFAULT_PREFILL_MS)
    }

    /// Returns how long a request is expected to keep one slot, in microseconds.
    pub fn expected_use_us(&self, prompt: &PromptShape) -> u64 {
        let read_ms = self.expected_prefill_ms() * self.uncached_tokens(prompt) as f64;
        let write_ms = self.expected_token_ms() * prompt.expected_output_tokens() as f64;
        ((FIRST_TOKEN_BASE_MS + read_ms + write_ms) * 1_000.0) as u64
    }

    /// Records a request that this instance sends.
    pub fn record_send(&mut self, now_ms: u64, prompt: Option<&PromptShape>, unread_tokens: u64) {
        self.own_load.running += 1;
        self.own_load.unread_tokens += unread_tokens;
        self.record_prompt(now_ms, prompt);
    }

    /// Records that the parts of a prompt are read here.
    pub fn record_prompt(&mut self, now_ms: u64, prompt: Option<&PromptShape>) {
        for part in prompt.into_iter().flat_map(|prompt| &prompt.parts) {
            self.record_part(now_ms, part.id);
        }
    }

    /// Counts a request that another instance sends.
    pub fn add_other(&mut self, unread_tokens: u64) {
        let load = &mut self.others_load;
        load.running = load.running.saturating_add(1);
        load.unread_tokens = load.unread_tokens.saturating_add(unread_tokens);
    }

    /// Records that the prompt of another instance's request was read.
    pub fn read_other(&mut self, unread_tokens: u64) {
        let load = &mut self.others_load;
        load.unread_tokens = load.unread_tokens.saturating_sub(unread_tokens);
    }

    /// Records that a request of another instance ended.
    pub fn remove_other(&mut self, unread_tokens: u64) {
        self.others_load.running = self.others_load.running.saturating_sub(1);
        self.read_other(unread_tokens);
    }

    /// Records the first event of a stream of this instance, `elapsed_ms` after its send; `tokens`
    /// were to be prefilled at the time of the send.
    pub fn record_first_event(&mut self, unread_tokens: u64, tokens: u64, elapsed_ms: f64) {
        self.own_load.unread_tokens = self.own_load.unread_tokens.saturating_sub(unread_tokens);
        self.record_prefill(tokens, elapsed_ms);
    }

    /// Records how long the prefill of prompt tokens took, in milliseconds.
    pub fn record_prefill(&mut self, tokens: u64, elapsed_ms: f64) {
        let prefill_time_ms = (elapsed_ms - FIRST_TOKEN_BASE_MS).max(1.0);
        if tokens > 0 {
            self.prefill_ms.add_overestimate(prefill_time_ms / tokens as f64);
        }
    }

    /// Records that bytes of any answer arrived.
    pub fn record_activity(&mut self, now_ms: u64) {
        self.last_received_ms = self.last_received_ms.max(now_ms);
    }

    /// Returns whether no bytes of any answer arrived for `silence_ms`.
    pub fn is_silent(&self, now_ms: u64, silence_ms: u64) -> bool {
        now_ms >= self.last_received_ms + silence_ms
    }

    /// Records the mean time between tokens of a stream, in milliseconds.
    pub fn record_token_interval(&mut self, token_ms: f64) {
        self.token_ms.add(token_ms);
    }

    /// Records the duration of a plain answer, in milliseconds.
    pub fn record_reply_time(&mut self, reply_ms: f64) {
        self.reply_ms.add(reply_ms);
    }

    /// Records that a request of this instance ended.
    pub fn release(&mut self, unread_tokens: u64) {
        self.own_load.running = self.own_load.running.saturating_sub(1);
        self.own_load.unread_tokens = self.own_load.unread_tokens.saturating_sub(unread_tokens);
    }

    /// Records how a send of any instance ended, if that concerns the backend server itself.
    pub fn record_end(&mut self, now_ms: u64, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Answered => self.record_outcome(0.0),
            SendOutcome::Abandoned => {}
            SendOutcome::Failed => self.record_outcome(1.0),
            SendOutcome::Unreachable => {
                self.record_outcome(1.0);
                self.limits.cold.record_out_of_reach(now_ms);
                // During a back-off only sends fail that were begun before it.
                if now_ms >= self.unreachable_until_ms {
                    self.unreachable_until_ms = self.next_backoff_until_ms(now_ms);
                }
            }
            SendOutcome::Refused => self.backoff_until_ms = self.next_backoff_until_ms(now_ms),
        }
    }

    /// Records that an instance reaches it.
    pub fn record_contact(&mut self, now_ms: u64) {
        self.unreachable_until_ms = 0;
        self.limits.cold.record_contact(now_ms, self.record.sequence);
    }

    /// Sends nothing for this time, in milliseconds, since the backend server asked for it.
    pub fn pause(&mut self, now_ms: u64, pause_ms: u64) {
        let until_ms = now_ms.saturating_add(pause_ms.min(MAX_PAUSE_MS));
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }

    /// Returns until when it asked to be left alone, in milliseconds of the boot clock.
    pub fn paused_until_ms(&self) -> u64 {
        self.paused_until_ms
    }

    /// Replaces the record after a restart and resets everything but the loads.
    pub fn restart(&mut self, record: BackendRecord) {
        let (own_load, others_load, is_own) = (self.own_load, self.others_load, self.is_own);
        let cold_was_unreadable = self.cold_was_unreadable;
        let limits = ServerLimits { cold: self.limits.cold.restarted(), ..Default::default() };
        let new = Self::new(self.id.clone(), record);
        *self = Self { own_load, others_load, cold_was_unreadable, is_own, limits, ..new };
    }

    /// Returns load and speeds for the members of a cell.
    pub fn report(&self) -> EngineReport {
        let load = self.load();
        EngineReport {
            backend_server: self.id.clone(),
            running: load.running,
            unread_tokens: load.unread_tokens,
            speeds: Speeds {
                prefill_ms: self.prefill_ms.value as f32,
                token_ms: self.token_ms.value as f32,
                reply_ms: self.reply_ms.value as f32,
                failure_share: self.failure_share as f32,
            },
        }
    }

    /// Adopts the speeds that a coordinator reports and, if `with_load`, the load of the others.
    pub fn adopt_report(&mut self, report: &EngineReport, with_load: bool) {
        if with_load {
            self.others_load = BackendLoad {
                running: report.running.saturating_sub(self.own_load.running),
                unread_tokens: report.unread_tokens.saturating_sub(self.own_load.unread_tokens),
            };
        }
        self.prefill_ms.adopt(report.speeds.prefill_ms);
        self.token_ms.adopt(report.speeds.token_ms);
        self.reply_ms.adopt(report.speeds.reply_ms);
        if report.speeds.failure_share.is_finite() {
            self.failure_share = f64::from(report.speeds.failure_share).clamp(0.0, 1.0);
        }
    }

    fn next_backoff_until_ms(&mut self, now_ms: u64) -> u64 {
        let doublings = self.failures_in_a_row.min(MAX_DOUBLINGS);
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        now_ms + (BACKOFF_MS << doublings)
    }

    fn record_outcome(&mut self, failure: f64) {
        self.failure_share += OUTCOME_WEIGHT * (failure - self.failure_share);
        if failure == 0.0 {
            self.failures_in_a_row = 0;
        }
    }

    fn find_part(&self, id: u64) -> Result<usize, usize> {
        self.cached_parts.binary_search_by_key(&id, |(part, _)| *part)
    }

    fn record_part(&mut self, now_ms: u64, id: u64) {
        match self.find_part(id) {
            Ok(index) => self.cached_parts[index].1 = now_ms,
            Err(index) => self.cached_parts.insert(index, (id, now_ms)),
        }
        if self.cached_parts.len() > PART_LIMIT {
            let cutoff_ms = now_ms.saturating_sub(5_000);
            self.cached_parts.retain(|(_, used_ms)| *used_ms > cutoff_ms);
        }
    }
}
