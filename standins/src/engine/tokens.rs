//! Token counts, prefix hashes and the deterministic answers of the engine stand-in.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of prompt per token.
const TOKEN_BYTES: usize = 4;

/// Tokens per cache block.
pub const BLOCK_TOKENS: u64 = 256;

/// Bytes of prompt per cache block.
pub const BLOCK_BYTES: usize = 1024;

/// Longest answer to a request that gives no exact length.
const DEFAULT_OUTPUT_TOKENS_MAX: u64 = 256;

/// Returns the number of tokens in `prompt`.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// Returns the hash of each prefix that consists of complete blocks, shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut seed = 0;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}

/// Returns the text of token `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u64) -> String {
    token_text_at(xxh3_64(prompt.as_bytes()), index)
}

pub(super) fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

pub(super) fn token_text_at(prompt_hash: u64, index: u64) -> String {
    format!("{:08x} ", xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash) as u32)
}

pub(super) fn output_tokens(prompt_hash: u64, exact: Option<u64>, limit: Option<u64>) -> u64 {
    let default_tokens = 1 + prompt_hash % DEFAULT_OUTPUT_TOKENS_MAX;
    exact.unwrap_or_else(|| limit.map_or(default_tokens, |limit| default_tokens.min(limit))).max(1)
}
