//! What a caller gets back.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran and answered.
    Done,
    /// It ran and failed.
    Failed,
    /// It never ran and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One token of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Token {
    /// Its place, counted from 0.
    pub index: u64,
    /// Its text.
    pub text: String,
}

/// An answer as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Outcome of the final event or body; `None` if the answer broke off.
    pub outcome: Option<Outcome>,
    /// Body of an answer that isn't a stream.
    pub body: Option<Value>,
    /// Message for people.
    pub message: Option<String>,
    /// Reason for programs.
    pub reason: Option<String>,
    /// Time after which to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// HTTP status.
    pub status: u16,
    /// Tokens in the order of their arrival.
    pub tokens: Vec<Token>,
    /// Time to the end of the answer, in milliseconds.
    pub total_ms: u64,
    /// Time to the first token, in milliseconds.
    pub ttft_ms: Option<u64>,
    /// Whether it is done and count and digest are right, or came as one body.
    pub whole: bool,
}

impl Answer {
    /// Returns whether the tokens are the whole answer of a stand-in engine to `prompt`.
    pub fn matches(&self, prompt: &str) -> bool {
        let is_expected = |(index, token): (usize, &Token)| {
            token.index == index as u64
                && token.text == crate::engine::token_text(prompt, token.index)
        };
        self.whole && self.tokens.iter().enumerate().all(is_expected)
    }
}
