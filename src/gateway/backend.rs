//! The state of one backend server: its record, load, measured speeds and recent failures.

use crate::gateway::backend_record::BackendRecord;
use crate::gateway::request_metadata::PromptShape;
use crate::name::Name;

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Weight, in a moving average, of a new sample that is probably too high.
const HIGH_SAMPLE_WEIGHT: f64 = 0.03;
/// Weight of a new outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Time for which a backend server that was unreachable or refused a request receives none, in
/// milliseconds; it doubles with each consecutive failure.
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

/// Load of one instance at one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackendLoad {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Uncached prompt tokens of those without a first event.
    pub unread_tokens: u64,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// It was answered completely.
    Answered,
    /// The caller disconnected, or its deadline passed.
    Abandoned,
    /// It failed at the backend server or on the way.
    Failed,
    /// The backend server accepted no connection or disappeared.
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
    /// Loads of the other instances, by name.
    pub peer_loads: Vec<(Name, BackendLoad)>,
    backoff_until_ms: u64,
    failure_share: f64,
    failures_in_a_row: u32,
    last_received_ms: u64,
    cached_parts: Vec<(u64, u64)>,
    prefill_ms: MovingAverage,
    reply_ms: MovingAverage,
    token_ms: MovingAverage,
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
            peer_loads: Vec::new(),
            backoff_until_ms: 0,
            failure_share: 0.0,
            failures_in_a_row: 0,
            last_received_ms: 0,
            cached_parts: Vec::new(),
            prefill_ms: MovingAverage::default(),
            reply_ms: MovingAverage::default(),
            token_ms: MovingAverage::default(),
        }
    }

    /// Returns whether it is usable and not in back-off.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        self.status == BackendStatus::Usable && now_ms >= self.backoff_until_ms
    }

    /// Returns the load of all instances.
    pub fn load(&self) -> BackendLoad {
        self.peer_loads.iter().fold(self.own_load, |sum, (_, load)| BackendLoad {
            running: sum.running + load.running,
            unread_tokens: sum.unread_tokens + load.unread_tokens,
        })
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
        prompt.prompt_tokens.saturating_sub(cached.map(|part| part.tokens).sum())
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub fn expected_first_event_ms(&self, uncached_tokens: u64) -> f64 {
        let tokens = self.load().unread_tokens + uncached_tokens;
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

    /// Records a sent request.
    pub fn record_send(&mut self, now_ms: u64, prompt: Option<&PromptShape>, unread_tokens: u64) {
        self.own_load.running += 1;
        self.own_load.unread_tokens += unread_tokens;
        for part in prompt.into_iter().flat_map(|prompt| &prompt.parts) {
            self.record_part(now_ms, part.id);
        }
    }

    /// Records the first event of a stream, `elapsed_ms` after its send; `tokens` were to be
    /// prefilled at the time of the send.
    pub fn record_first_event(&mut self, unread_tokens: u64, tokens: u64, elapsed_ms: f64) {
        self.own_load.unread_tokens = self.own_load.unread_tokens.saturating_sub(unread_tokens);
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

    /// Records the end of a send.
    pub fn record_end(&mut self, now_ms: u64, unread_tokens: u64, outcome: SendOutcome) {
        self.own_load.running = self.own_load.running.saturating_sub(1);
        self.own_load.unread_tokens = self.own_load.unread_tokens.saturating_sub(unread_tokens);
        match outcome {
            SendOutcome::Answered => self.record_outcome(0.0),
            SendOutcome::Abandoned => {}
            SendOutcome::Failed => self.record_outcome(1.0),
            SendOutcome::Unreachable => {
                self.record_outcome(1.0);
                self.back_off(now_ms);
            }
            SendOutcome::Refused => self.back_off(now_ms),
        }
    }

    /// Replaces the record after a restart and resets everything but the loads.
    pub fn restart(&mut self, record: BackendRecord) {
        let (own_load, peer_loads) = (self.own_load, std::mem::take(&mut self.peer_loads));
        *self = Self { own_load, peer_loads, ..Self::new(self.id.clone(), record) };
    }

    /// Sets the load of another instance.
    pub fn set_peer_load(&mut self, instance: &Name, load: BackendLoad) {
        let index = self.peer_loads.binary_search_by(|(name, _)| name.cmp(instance));
        match (index, load == BackendLoad::default()) {
            (Ok(index), true) => drop(self.peer_loads.remove(index)),
            (Ok(index), false) => self.peer_loads[index].1 = load,
            (Err(_), true) => {}
            (Err(index), false) => self.peer_loads.insert(index, (instance.clone(), load)),
        }
    }

    fn back_off(&mut self, now_ms: u64) {
        let doublings = self.failures_in_a_row.min(MAX_DOUBLINGS);
        self.backoff_until_ms = now_ms + (BACKOFF_MS << doublings);
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
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
