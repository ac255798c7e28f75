//! Estimates the time from the grant of a place to the first event.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Prompt tokens that take as long as what does not depend on the prompt.
const BASE_TOKENS: f64 = 512.0;
/// Time for a prompt token before the first sample, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 0.02;
/// Factor by which an estimate is raised, since the times spread.
const MARGIN: f64 = 1.25;

/// Mean time to the first event by prompt tokens, over all engines of a service.
#[derive(Clone, Debug)]
pub struct StartTime {
    elapsed_ms: f64,
    tokens: f64,
}

impl Default for StartTime {
    fn default() -> Self {
        Self { elapsed_ms: BASE_TOKENS * DEFAULT_TOKEN_MS, tokens: BASE_TOKENS }
    }
}

impl StartTime {
    /// Records a first event; so many prompt tokens were to be read at the time of the send.
    pub fn record(&mut self, tokens_ahead: u64, elapsed_ms: u64) {
        self.elapsed_ms += SAMPLE_WEIGHT * (elapsed_ms as f64 - self.elapsed_ms);
        self.tokens += SAMPLE_WEIGHT * (tokens_ahead as f64 + BASE_TOKENS - self.tokens);
    }

    /// Returns the time that a prompt should be given until its first event, in milliseconds.
    pub fn expected_ms(&self, prompt_tokens: u64) -> u64 {
        let per_token_ms = self.elapsed_ms / self.tokens.max(1.0);
        (MARGIN * per_token_ms * (prompt_tokens as f64 + BASE_TOKENS)) as u64
    }
}
