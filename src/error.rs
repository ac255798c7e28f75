//! The one error type of the crate.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::finding::Finding;

/// Everything that can go wrong outside a single request.
#[derive(Debug, Error)]
pub enum Error {
    /// An instance answered, but not as it should.
    #[error("The answer of {address} can't be read: {detail}.")]
    AnswerUnreadable {
        /// Address of the instance.
        address: SocketAddr,
        /// What is wrong.
        detail: String,
    },
    /// A document has findings.
    #[error("{}", join_findings(.0))]
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
    /// An instance refused what was asked of it.
    #[error("{address} refused with HTTP status {status}: {message}")]
    Refused {
        /// Address of the instance.
        address: SocketAddr,
        /// What it said.
        message: String,
        /// HTTP status.
        status: u16,
    },
    /// A part of the process looked for a service that is not there.
    #[error("No service '{name}' is there.")]
    ServiceMissing {
        /// Name of the service.
        name: &'static str,
    },
    /// An instance can't be reached.
    #[error("{address} can't be reached: {detail}.")]
    Unreachable {
        /// Address of the instance.
        address: SocketAddr,
        /// The cause.
        detail: String,
    },
}

impl Error {
    /// Returns the findings; an error of another kind becomes one.
    pub fn into_findings(self) -> Vec<Finding> {
        match self {
            Self::Findings(findings) => findings,
            error => {
                vec![Finding { file: "".into(), line: 0, message: error.to_string() }]
            }
        }
    }

    /// Wraps an I/O error with what was tried.
    pub fn io<S>(action: S, source: io::Error) -> Self
    where
        S: Into<String>,
    {
        Self::Io { action: action.into(), source }
    }
}

fn join_findings(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")
}
