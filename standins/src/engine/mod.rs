//! Stand-in for a model engine with continuous batching and a prefix cache.

mod cache;
mod command;
mod endpoints;
mod state;
mod stepper;
mod stream;
mod tokens;

pub use command::EngineCommand;
pub use state::EngineStatistics;
pub use tokens::{BLOCK_BYTES, BLOCK_TOKENS, prefix_hashes, prompt_tokens, token_text};
