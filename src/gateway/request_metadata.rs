//! The metadata that the gateway reads from the headers of a caller's request.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;

/// Metadata from the headers of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Key that identifies the customer.
    pub key: Option<Name>,
    /// Prompt and expected answer, for a model request.
    pub prompt: Option<PromptShape>,
    /// Id that the caller gave this send.
    pub request_id: Option<Name>,
    /// What the caller takes up, if it has events of an earlier send.
    pub resumption: Option<Resumption>,
    /// Time for which the caller waits, in milliseconds.
    pub time_left_ms: Option<u64>,
}

/// A stream that a caller takes up after the last event that it has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Resumption {
    /// Id of the send that brought the first event, if the caller names exactly one.
    pub first_request_id: Option<Name>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<Name>,
}

/// Size of a model request: the tokens of its prompt and of its expected answer.
#[derive(Clone, Debug, Default, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct PromptShape {
    /// Tokens of the answer, as estimated by the caller.
    pub likely_output_tokens: Option<u64>,
    /// Maximum number of tokens of the answer.
    pub most_output_tokens: u64,
    /// Parts of the prompt in order, with their tokens.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

impl PromptShape {
    /// Returns the tokens that are charged to the customer's limit.
    pub fn counted_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.most_output_tokens)
    }

    /// Returns the ids of the parts that other prompts may share: all but the last.
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self.parts.split_last().map(|(_, shared)| shared).unwrap_or_default();
        shared.iter().map(|part| part.id).collect()
    }

    /// Returns the likely number of tokens of the answer.
    pub fn expected_output_tokens(&self) -> u64 {
        let limit = self.most_output_tokens.max(1);
        self.likely_output_tokens.unwrap_or(limit / 2).clamp(1, limit)
    }
}

/// Part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}
