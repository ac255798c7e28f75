//! Stand-ins for the systems around bergamotspan, and the harness and tools that use them.

pub mod caller;
pub mod capacity;
pub mod command;
pub mod crowd;
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

/// A name that is cheap to clone.
pub type Name = Arc<str>;

/// Prints the error of a failed command and returns its exit code.
pub(crate) fn report_failure(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("standins: {error}");
    ExitCode::FAILURE
}
