//! Errors of the fleet harness.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Error of the fleet harness.
#[derive(Debug, Error)]
pub enum FleetError {
    /// An HTTP call failed.
    #[error("{url}: {source}")]
    Call {
        /// URL of the call.
        url: String,
        /// Cause.
        source: attohttpc::Error,
    },
    /// A program has not been built.
    #[error("{} does not exist: run `cargo build --workspace` first", path.display())]
    MissingProgram {
        /// Path at which the program was expected.
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
        /// Attempted operation.
        action: String,
        /// Cause.
        source: io::Error,
    },
    /// A process did not print its addresses in time.
    #[error("{process} printed no address in time; its standard error: {log}")]
    NoAddress {
        /// Name of the process.
        process: String,
        /// Content of its standard error.
        log: String,
    },
    /// An instance did not become ready in time.
    #[error("{instance} was not ready within {limit_ms} ms; its log ends: {log}")]
    NotReady {
        /// Name of the instance.
        instance: String,
        /// Time waited in milliseconds.
        limit_ms: u64,
        /// Last lines of its standard error.
        log: String,
    },
    /// An HTTP call was answered with a status that is not successful.
    #[error("{url} answered {status}")]
    UnexpectedStatus {
        /// URL of the call.
        url: String,
        /// HTTP status.
        status: u16,
    },
    /// A condition did not hold in time.
    #[error("{condition} did not hold within {limit_ms} ms")]
    Timeout {
        /// Description of the condition.
        condition: String,
        /// Time waited in milliseconds.
        limit_ms: u64,
    },
    /// No process of the fleet has the given name.
    #[error("{name} is not in the fleet")]
    UnknownName {
        /// Unknown name.
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
