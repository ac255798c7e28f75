//! Answer to a call, as its caller sees it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and was answered.
    Done,
    /// The request ran and failed.
    Failed,
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// One token of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Token {
    /// Position in the answer, counted from 0.
    pub index: u64,
    /// Text.
    pub text: String,
}

/// An answer, complete or broken off.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Outcome of the final event or body; `None` if the answer broke off.
    pub outcome: Option<Outcome>,
    /// Body of an answer that isn't a stream.
    pub body: Option<Value>,
    /// Message for a human reader.
    pub message: Option<String>,
    /// Machine-readable reason.
    pub reason: Option<String>,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// HTTP status.
    pub status: u16,
    /// Tokens in the order of their arrival.
    pub tokens: Vec<Token>,
    /// Time to the end of the answer, in milliseconds.
    pub total_ms: u64,
    /// Time to the first token, in milliseconds.
    pub ttft_ms: Option<u64>,
    /// Whether the answer is complete: a stream is done and its event count and digest match, or a
    /// single body is successful.
    pub whole: bool,
}

impl Answer {
    /// Returns whether the tokens are the complete answer of a stand-in engine to `prompt`.
    pub fn matches(&self, prompt: &str) -> bool {
        let is_expected = |(index, token): (usize, &Token)| {
            token.index == index as u64
                && token.text == crate::engine::token_text(prompt, token.index)
        };
        self.whole && self.tokens.iter().enumerate().all(is_expected)
    }
}
