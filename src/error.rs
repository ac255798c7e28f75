//! The one error type of the crate.

use std::io;

use thiserror::Error;

use crate::finding::Finding;

/// Everything that can go wrong outside a single request.
#[derive(Debug, Error)]
pub enum Error {
    /// A document has findings.
    #[error("{}", list(.0))]
    Findings(Vec<Finding>),
    /// An operation on a socket or file failed.
    #[error("{action}: {source}")]
    Io {
        /// What was tried.
        action: String,
        /// The cause.
        source: io::Error,
    },
    /// A message from another instance can't be read.
    #[error("A message from instance '{peer}' can't be read: {detail}.")]
    PeerMessage {
        /// What is wrong.
        detail: String,
        /// The sender.
        peer: String,
    },
}

impl Error {
    /// Wraps an I/O error with what was tried.
    pub fn io<S>(action: S, source: io::Error) -> Self
    where
        S: Into<String>,
    {
        Self::Io { action: action.into(), source }
    }
}

fn list(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")
}
