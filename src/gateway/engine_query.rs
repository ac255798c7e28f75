//! The requirements of a model request, and the expected loss of sending it to a given engine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::backend::Backend;
use crate::gateway::request_metadata::PromptShape;
use crate::name::Name;

/// Share of an answer's value that is lost if it begins late or has a long pause.
const LATE_LOSS: f64 = 0.7;
/// Expected time to the first event, as a share of the time left to the goal, above which an answer
/// may be late.
const SAFE_SHARE: f64 = 0.5;
/// Exponent for the spread of the lengths of answers around their estimates; a higher one means
/// less spread.
const LENGTH_EXPONENT: f64 = 2.4;
/// Prompt tokens that an engine prefills between two steps of its running requests.
const CHUNK_TOKENS: f64 = 2_048.0;
/// Tokens generated from one event to the next; pauses are measured between events.
const PAUSE_TOKENS: f64 = 5.0;
/// Factor by which a cold engine is expected to be slower than measured.
const COLD_SLOWNESS: f64 = 2.0;
/// Loss of a failed request, in units of its value.
const FAILURE_LOSS: f64 = 1.5;
/// Loss for each second that a slot is occupied.
const LOSS_PER_S: f64 = 0.01;
/// Loss at a full engine, compared with an empty one.
const OCCUPANCY_LOSS: f64 = 0.02;

/// Software versions that may serve a request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum VersionNeed {
    /// All of them.
    #[default]
    #[serde(rename = "a")]
    Any,
    /// This one alone, since it began the stream.
    #[serde(rename = "o")]
    Only(Name),
    /// Those that all instances know of: a stream begins that may be resumed anywhere.
    #[serde(rename = "s")]
    Settled,
}

/// Requirements of a model request.
#[derive(Clone, Debug, Default)]
pub struct EngineQuery {
    /// Deadline, in milliseconds of the boot clock.
    pub deadline_ms: u64,
    /// Latest start of a timely answer, in milliseconds of the boot clock.
    pub due_ms: u64,
    /// Longest pause between events of a timely answer, in milliseconds.
    pub event_gap_goal_ms: u64,
    /// Its prompt and the estimated length of its answer.
    pub prompt: Arc<PromptShape>,
    /// Backend servers that it was already sent to.
    pub tried: Vec<Name>,
    /// Software versions that may serve it.
    pub version_need: VersionNeed,
}

impl EngineQuery {
    /// Returns whether another request may be served while this one waits.
    pub fn is_limited(&self) -> bool {
        !self.tried.is_empty() || matches!(self.version_need, VersionNeed::Only(_))
    }
}

/// Returns the expected loss if a request is sent to this engine, in units of the request's value.
pub fn expected_loss(now_ms: u64, backend: &Backend, query: &EngineQuery) -> f64 {
    let uncached_tokens = backend.uncached_tokens(&query.prompt);
    let slowness = if backend.limits.cold.is_cold(now_ms) { COLD_SLOWNESS } else { 1.0 };
    let first_event_ms = slowness * backend.expected_first_event_ms(uncached_tokens);
    let output_tokens = query.prompt.expected_output_tokens() as f64;
    let token_ms = slowness * backend.expected_token_ms();
    let running = f64::from(backend.load().running);
    let occupancy = running / backend.record.slots.max(1) as f64;
    let slot_s = (first_event_ms + output_tokens * token_ms) / 1_000.0;
    let late = late_probability(first_event_ms, query.due_ms.saturating_sub(now_ms) as f64);
    let left_ms = query.deadline_ms.saturating_sub(now_ms) as f64 - first_event_ms;
    let cut = cut_probability(left_ms / token_ms, output_tokens);
    let pauses = pause_probability(backend, uncached_tokens, query) * running;
    LATE_LOSS * (late + pauses)
        + cut
        + FAILURE_LOSS * backend.failure_share()
        + LOSS_PER_S * slot_s
        + OCCUPANCY_LOSS * occupancy
}

/// Returns the probability that an answer begins late.
fn late_probability(first_event_ms: f64, left_ms: f64) -> f64 {
    if left_ms <= 0.0 {
        return 1.0;
    }
    ((first_event_ms / left_ms - SAFE_SHARE) / SAFE_SHARE).clamp(0.0, 1.0)
}

/// Returns the probability that an answer is cut off by the deadline.
fn cut_probability(tokens_in_time: f64, output_tokens: f64) -> f64 {
    if tokens_in_time <= 0.0 {
        return 1.0;
    }
    1.0 / (1.0 + (tokens_in_time / output_tokens.max(1.0)).powf(LENGTH_EXPONENT))
}

/// Returns the probability that the prefill of this prompt pauses the engine's running streams for
/// too long.
fn pause_probability(backend: &Backend, uncached_tokens: u64, query: &EngineQuery) -> f64 {
    if query.event_gap_goal_ms == 0 {
        return 0.0;
    }
    let unread = backend.load().unread_tokens.saturating_add(uncached_tokens) as f64;
    let prefill_time_ms = unread.min(PAUSE_TOKENS * CHUNK_TOKENS) * backend.expected_prefill_ms();
    let pause_ms = prefill_time_ms + PAUSE_TOKENS * backend.expected_token_ms();
    ((pause_ms / query.event_gap_goal_ms as f64 - 0.8) / 0.4).clamp(0.0, 1.0)
}
