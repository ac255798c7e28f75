//! Plan of a load, whose arrivals are determined by a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use super::mix::{Mix, RequestClass};

/// Bytes of prompt per token.
const TOKEN_BYTES: usize = 4;

/// A request and its time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
    /// Exact length of the answer in tokens.
    pub output_tokens: u64,
    /// Length of the prompt after its shared prefix in tokens.
    pub own_prompt_tokens: u64,
    /// Number of its shared prefix among those of its service and customer.
    pub prefix: Option<u64>,
    /// Prompt.
    pub prompt: String,
}

/// A load: its request classes and its arrivals in the order of time.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Arrivals, sorted by time.
    pub arrivals: Vec<Arrival>,
    /// Request classes.
    pub mix: Mix,
}

impl LoadPlan {
    /// Draws Poisson arrivals at `rate_per_s` requests per second.
    ///
    /// # Panics
    ///
    /// Panics if the rate isn't positive or the mix has no class.
    pub fn poisson(mix: Mix, rate_per_s: f64, duration: Duration, seed: u64) -> Self {
        assert!(!mix.classes.is_empty(), "the mix contains no class");
        let interval = Exp::new(rate_per_s).expect("the rate is positive");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at_s = interval.sample(&mut rng);
        while at_s < duration.as_secs_f64() {
            let class = mix.class_at(rng.random());
            let at = Duration::from_secs_f64(at_s);
            arrivals.push(draw_arrival(&mix.classes[class], class, at, &mut rng));
            at_s += interval.sample(&mut rng);
        }
        Self { arrivals, mix }
    }

    /// Adds a burst of further arrivals at `rate_per_s` requests per second that starts at `from`.
    ///
    /// # Panics
    ///
    /// Panics if the rate isn't positive.
    pub fn burst(mut self, rate_per_s: f64, from: Duration, duration: Duration, seed: u64) -> Self {
        let burst = Self::poisson(self.mix.clone(), rate_per_s, duration, seed);
        let shifted = |arrival: Arrival| Arrival { at: arrival.at + from, ..arrival };
        self.arrivals.extend(burst.arrivals.into_iter().map(shifted));
        self.arrivals.sort_by_key(|arrival| arrival.at);
        self
    }
}

fn draw_arrival(class: &RequestClass, index: usize, at: Duration, rng: &mut ChaCha8Rng) -> Arrival {
    let mut prompt = String::new();
    let prefix = (class.prefixes > 0).then(|| rng.random_range(0..class.prefixes));
    if let Some(prefix) = prefix {
        let word = format!("{}/{}/{prefix:04} ", class.service, class.customer);
        append_word(&mut prompt, &word, class.prefix_tokens);
    }
    let own_word = format!("{:016x} ", rng.random::<u64>());
    let own_prompt_tokens = log_uniform(class.prompt_tokens_min, class.prompt_tokens_max, rng);
    append_word(&mut prompt, &own_word, own_prompt_tokens);
    let output_tokens = log_uniform(class.output_tokens_min, class.output_tokens_max, rng);
    Arrival { at, class: index, output_tokens, own_prompt_tokens, prefix, prompt }
}

/// Appends `tokens` tokens that repeat a word.
fn append_word(prompt: &mut String, word: &str, tokens: u64) {
    let length = tokens as usize * TOKEN_BYTES;
    prompt.extend(word.chars().cycle().take(length));
}

/// Draws a length from a log-uniform distribution.
fn log_uniform(min: u64, max: u64, rng: &mut ChaCha8Rng) -> u64 {
    let (low, high) = ((min.max(1) as f64).ln(), (max.max(min).max(1) as f64).ln());
    let drawn = (low + (high - low) * rng.random::<f64>()).exp();
    (drawn.round() as u64).clamp(min, max.max(min))
}
