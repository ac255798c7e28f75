//! Command that runs the engine stand-in, with its options.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

use super::endpoints;
use super::state::Engine;
use super::stepper;
use crate::{http, process};

/// Runs a stand-in for a model engine.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineCommand {
    /// address to listen on
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    pub listen: SocketAddr,
    /// maximum number of tokens computed in a step
    #[argh(option, default = "2048")]
    pub batch_tokens: u64,
    /// blocks of 256 tokens kept in the prefix cache
    #[argh(option, default = "4096")]
    pub cache_blocks: usize,
    /// delay until a cache event is visible, in milliseconds
    #[argh(option, default = "200")]
    pub cache_event_lag_ms: u64,
    /// share of cache events lost, from 0 to 1
    #[argh(option, default = "0.0")]
    pub cache_event_loss: f64,
    /// exits when a prompt that contains this text starts to run
    #[argh(option)]
    pub crash_on: Option<String>,
    /// time per decoded token in microseconds
    #[argh(option, default = "200")]
    pub decode_us_per_token: u64,
    /// fails a request whose prompt contains this text
    #[argh(option)]
    pub fail_on: Option<String>,
    /// rejects orders with an outdated fencing number
    #[argh(switch)]
    pub fencing: bool,
    /// file that keeps the executions across restarts
    #[argh(option)]
    pub journal: Option<PathBuf>,
    /// interval between load samples in milliseconds
    #[argh(option, default = "500")]
    pub load_lag_ms: u64,
    /// maximum number of streams in a batch
    #[argh(option, default = "64")]
    pub max_running: usize,
    /// time after which a stream without a reader is cancelled, in milliseconds
    #[argh(option, default = "5000")]
    pub orphan_ms: u64,
    /// time per prompt token in microseconds
    #[argh(option, default = "20")]
    pub prefill_us_per_token: u64,
    /// seed that selects the lost events
    #[argh(option, default = "1")]
    pub seed: u64,
    /// speed factor
    #[argh(option, default = "1.0")]
    pub speed: f64,
    /// fixed time per step in microseconds
    #[argh(option, default = "2000")]
    pub step_base_us: u64,
}

impl EngineCommand {
    /// Runs the engine until SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the journal can't be opened.
    pub fn run(self) -> io::Result<()> {
        let listener = http::listen(self.listen)?;
        let address = listener.local_addr()?;
        let engine = Arc::new(Engine::new(self)?);
        stepper::start(Arc::clone(&engine));
        http::serve(listener, move |request| endpoints::answer(&engine, request))?;
        process::announce_and_wait(address)
    }
}
