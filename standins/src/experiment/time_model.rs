//! Time model of the engine stand-ins, and the capacity for a mix of requests that follows from it.
//!
//! An engine with the maximum number of streams spends on each request the prefill time of the
//! prompt without the shared prefix, which is assumed to be cached, and for each token of the
//! answer the time of one decode plus a share of the fixed time of a step.

use crate::load::{Mix, RequestClass};

/// Time model of an engine at speed 1.
#[derive(Clone, Copy, Debug)]
pub struct TimeModel {
    /// Maximum number of tokens computed in a step.
    pub batch_tokens: u64,
    /// Blocks kept in the prefix cache.
    pub cache_blocks: u64,
    /// Time per decoded token in microseconds.
    pub decode_us_per_token: u64,
    /// Maximum number of streams in a batch.
    pub max_running: u64,
    /// Time per prompt token in microseconds.
    pub prefill_us_per_token: u64,
    /// Fixed time per step in microseconds.
    pub step_base_us: u64,
}

impl TimeModel {
    /// Returns the command-line options of an engine that follows this model.
    pub fn options(&self) -> Vec<String> {
        let pairs = [
            ("--batch-tokens", self.batch_tokens),
            ("--cache-blocks", self.cache_blocks),
            ("--decode-us-per-token", self.decode_us_per_token),
            ("--max-running", self.max_running),
            ("--prefill-us-per-token", self.prefill_us_per_token),
            ("--step-base-us", self.step_base_us),
        ];
        pairs.into_iter().flat_map(|(key, value)| [key.to_owned(), value.to_string()]).collect()
    }

    /// Returns the requests per second of a mix that engines of the given speeds can serve. The
    /// rate includes requests to services other than `service`, which cost these engines nothing.
    pub fn capacity_per_s(&self, mix: &Mix, service: &str, speeds: &[f64]) -> f64 {
        let shares: f64 = mix.classes.iter().map(|class| class.share).sum();
        let costs = mix.classes.iter().filter(|class| class.service == service);
        let cost_us: f64 = costs.map(|class| class.share / shares * self.cost_us(class)).sum();
        speeds.iter().sum::<f64>() * 1_000_000.0 / cost_us
    }

    fn cost_us(&self, class: &RequestClass) -> f64 {
        let step_share_us = self.step_base_us as f64 / self.max_running as f64;
        let token_us = self.decode_us_per_token as f64 + step_share_us;
        let prompt_tokens = mean_tokens(class.prompt_tokens_min, class.prompt_tokens_max);
        let output_tokens = mean_tokens(class.output_tokens_min, class.output_tokens_max);
        prompt_tokens * self.prefill_us_per_token as f64 + output_tokens * token_us
    }
}

/// Returns the mean of a log-uniform distribution of lengths.
fn mean_tokens(min: u64, max: u64) -> f64 {
    let (min, max) = (min.max(1) as f64, max.max(min).max(1) as f64);
    match max > min {
        true => (max - min) / (max / min).ln(),
        false => min,
    }
}
