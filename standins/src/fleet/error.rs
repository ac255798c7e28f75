//! Errors of the harness.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why the harness could not do what it was asked to.
#[derive(Debug, Error)]
pub enum FleetError {
    /// An HTTP call failed.
    #[error("{url}: {source}")]
    Call {
        /// Address called.
        url: String,
        /// Cause.
        source: attohttpc::Error,
    },
    /// A program hasn't been built.
    #[error("{} is absent: run `cargo build --workspace` first", path.display())]
    MissingProgram {
        /// Where the program was looked for.
        path: PathBuf,
    },
    /// A process has ended.
    #[error("{name} has ended")]
    ProcessEnded {
        /// Name of the process.
        name: String,
    },
    /// A file or process operation failed.
    #[error("{action}: {source}")]
    Io {
        /// What was tried.
        action: String,
        /// Cause.
        source: io::Error,
    },
    /// A process did not print its addresses in time.
    #[error("{process} printed no address in time; it said: {log}")]
    NoAddress {
        /// Name of the process.
        process: String,
        /// What it wrote on its standard error.
        log: String,
    },
    /// An instance did not become ready in time.
    #[error("{instance} was not ready within {limit_ms} ms; its log ends: {log}")]
    NotReady {
        /// Name of the instance.
        instance: String,
        /// Time waited in milliseconds.
        limit_ms: u64,
        /// End of what it wrote on its standard error.
        log: String,
    },
    /// An HTTP call was refused.
    #[error("{url} answered {status}")]
    UnexpectedStatus {
        /// Address called.
        url: String,
        /// HTTP status.
        status: u16,
    },
    /// A condition did not hold in time.
    #[error("{condition} did not hold within {limit_ms} ms")]
    Timeout {
        /// What was waited for.
        condition: String,
        /// Time waited in milliseconds.
        limit_ms: u64,
    },
    /// A name is not in the fleet.
    #[error("{name} is not in the fleet")]
    UnknownName {
        /// Name asked for.
        name: String,
    },
}

impl FleetError {
    pub(super) fn io<S>(action: S, source: io::Error) -> Self
    where
        S: Into<String>,
    {
        Self::Io { action: action.into(), source }
    }
}
