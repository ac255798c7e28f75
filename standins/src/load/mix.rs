//! Mix of request classes and their shares of a load.

use std::fs;
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// A class of requests with the same customer, service, tier and ranges of lengths.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestClass {
    /// Customer named in the request.
    pub customer: String,
    /// Time within which the answer must end to count, in milliseconds; also sent with the request.
    pub deadline_ms: u64,
    /// Time within which the first token must arrive for the answer to count, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
    /// Longest answer in tokens.
    pub output_tokens_max: u64,
    /// Shortest answer in tokens.
    pub output_tokens_min: u64,
    /// Path below the service.
    pub path: String,
    /// Whether the service is plain, so that it answers with one body.
    pub plain: bool,
    /// Number of shared prefixes, of which each prompt starts with one; 0 for none.
    pub prefixes: u64,
    /// Length of a shared prefix in tokens.
    pub prefix_tokens: u64,
    /// Longest part of the prompt after the prefix, in tokens.
    pub prompt_tokens_max: u64,
    /// Shortest part of the prompt after the prefix, in tokens.
    pub prompt_tokens_min: u64,
    /// Service called.
    pub service: String,
    /// Weight relative to the other classes.
    pub share: f64,
    /// Tier named in the request, under which its results are counted.
    pub tier: String,
}

impl Default for RequestClass {
    fn default() -> Self {
        Self {
            customer: "customer-1".to_owned(),
            deadline_ms: 10_000,
            first_token_ms: None,
            keyed: false,
            output_tokens_max: 200,
            output_tokens_min: 2,
            path: String::new(),
            plain: false,
            prefixes: 4,
            prefix_tokens: 512,
            prompt_tokens_max: 3200,
            prompt_tokens_min: 32,
            service: "plan".to_owned(),
            share: 1.0,
            tier: "low".to_owned(),
        }
    }
}

/// The classes of a load.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Mix {
    /// Classes in any order.
    pub classes: Vec<RequestClass>,
}

impl Default for Mix {
    fn default() -> Self {
        let high = RequestClass { share: 0.3, tier: "high".to_owned(), ..RequestClass::default() };
        let low = RequestClass { deadline_ms: 30_000, share: 0.7, ..RequestClass::default() };
        Self { classes: vec![high, low] }
    }
}

impl Mix {
    /// Reads a mix from a JSON file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or parsed, or contains no class.
    pub fn read(path: &Path) -> io::Result<Self> {
        let mix: Self = serde_json::from_str(&fs::read_to_string(path)?)?;
        if mix.classes.is_empty() {
            return Err(io::Error::other("the mix contains no class"));
        }
        Ok(mix)
    }

    /// Returns the index of the class at a point between 0 and 1 of the cumulative shares.
    pub(super) fn class_at(&self, point: f64) -> usize {
        let total: f64 = self.classes.iter().map(|class| class.share).sum();
        let mut remaining = point * total;
        for (index, class) in self.classes.iter().enumerate() {
            remaining -= class.share;
            if remaining < 0.0 {
                return index;
            }
        }
        self.classes.len().saturating_sub(1)
    }
}
