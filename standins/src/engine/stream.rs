//! A stream of the engine stand-in: its prompt, its phase and its progress.

use std::time::Instant;

use serde::Serialize;

use super::tokens;
use crate::Name;

/// Body of a generate request.
#[derive(Debug, serde::Deserialize)]
pub(super) struct GenerateRequest {
    pub max_output_tokens: Option<u64>,
    pub output_tokens: Option<u64>,
    pub prompt: String,
}

/// Phase of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Cancelled,
    Ended,
    Failed,
    Queued,
    Running,
}

/// Data of the final event.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct End {
    pub output_tokens: u64,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
}

#[derive(Debug)]
pub(super) struct Stream {
    pub cached_tokens: u64,
    pub hashes: Vec<u64>,
    pub number: u64,
    pub output_tokens: u64,
    pub phase: Phase,
    pub remaining_prefill_tokens: u64,
    pub prefilled_tokens: u64,
    pub produced_tokens: u64,
    pub prompt: String,
    pub prompt_hash: u64,
    pub prompt_tokens: u64,
    pub readers: usize,
    pub request: Name,
    pub unread_since: Instant,
}

impl Stream {
    pub(super) fn new(number: u64, request: Name, body: GenerateRequest, now: Instant) -> Self {
        let prompt_hash = tokens::prompt_hash(&body.prompt);
        let prompt_tokens = tokens::prompt_tokens(&body.prompt);
        Self {
            cached_tokens: 0,
            hashes: tokens::prefix_hashes(&body.prompt),
            number,
            output_tokens: tokens::output_tokens(
                prompt_hash,
                body.output_tokens,
                body.max_output_tokens,
            ),
            phase: Phase::Queued,
            remaining_prefill_tokens: prompt_tokens.max(1),
            prefilled_tokens: 0,
            produced_tokens: 0,
            prompt: body.prompt,
            prompt_hash,
            prompt_tokens,
            readers: 0,
            request,
            unread_since: now,
        }
    }

    /// Starts the prefill after the cached part of the prompt; at least one token is computed.
    pub(super) fn start(&mut self, cached_tokens: u64) {
        let prompt_tokens = self.prompt_tokens.max(1);
        self.cached_tokens = cached_tokens.min(prompt_tokens - 1);
        self.remaining_prefill_tokens = prompt_tokens - self.cached_tokens;
        self.phase = Phase::Running;
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Running)
    }

    pub(super) fn is_decoding(&self) -> bool {
        self.phase == Phase::Running && self.remaining_prefill_tokens == 0
    }

    pub(super) fn remaining_tokens(&self) -> u64 {
        self.remaining_prefill_tokens + self.output_tokens - self.produced_tokens
    }

    pub(super) fn end(&self) -> End {
        End {
            output_tokens: self.output_tokens,
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
        }
    }
}
