//! Small stand-ins for the systems around bergamotspan, and the tools that drive them.

pub mod caller;
pub mod capacity;
pub mod command;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod http;
mod journal;
pub mod load;
pub mod plain_service;
pub mod platform;
pub mod process;
pub mod proxy;

use std::process::ExitCode;
use std::sync::Arc;

pub use command::run;

/// A shared name.
pub type Name = Arc<str>;

/// Exit code of a command that failed.
pub(crate) fn failure(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("standins: {error}");
    ExitCode::FAILURE
}
