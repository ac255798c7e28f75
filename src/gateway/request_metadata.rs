//! What the headers of a caller's request say.

use crate::name::Name;

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Key that names the customer.
    pub key: Option<Name>,
    /// Event after which the caller wants the stream to go on.
    pub last_event_id: Option<String>,
    /// What the request asks of a model, if it asks a model.
    pub prompt: Option<PromptShape>,
    /// Id of this send of the caller.
    pub request_id: Option<Name>,
    /// Time for which the caller waits, in milliseconds.
    pub time_left_ms: Option<u64>,
}

/// What a request asks of a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptShape {
    /// The caller's estimate of the tokens of the answer.
    pub likely_output_tokens: Option<u64>,
    /// Most tokens of the answer.
    pub most_output_tokens: u64,
    /// Parts of the prompt in order, with their tokens.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

impl PromptShape {
    /// Returns the tokens that the request counts as against a limit.
    pub fn counted_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.most_output_tokens)
    }

    /// Returns the likely number of tokens of the answer.
    pub fn expected_output_tokens(&self) -> u64 {
        let limit = self.most_output_tokens.max(1);
        self.likely_output_tokens.unwrap_or(limit / 2).clamp(1, limit)
    }
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}
