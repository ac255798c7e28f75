//! The error type for failures outside a single request.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::finding::Finding;

/// A failure outside a single request.
#[derive(Debug, Error)]
pub enum Error {
    /// The answer of an instance can't be parsed.
    #[error("The answer of {address} can't be read: {detail}.")]
    AnswerUnreadable {
        /// Address of the instance.
        address: SocketAddr,
        /// Reason.
        detail: String,
    },
    /// A document has findings.
    #[error("{}", join_findings(.0))]
    Findings(Vec<Finding>),
    /// An operation on a socket or file failed.
    #[error("{action}: {source}")]
    Io {
        /// Description of the failed operation.
        action: String,
        /// Cause.
        source: io::Error,
    },
    /// A message from another instance can't be decoded, or one to it can't be encoded.
    #[error("A message from instance '{peer}' can't be read: {detail}.")]
    PeerMessage {
        /// Reason.
        detail: String,
        /// The other instance.
        peer: String,
    },
    /// An instance refused a request of an operator.
    #[error("{address} refused with HTTP status {status}: {message}")]
    Refused {
        /// Address of the instance.
        address: SocketAddr,
        /// Body of its answer.
        message: String,
        /// HTTP status.
        status: u16,
    },
    /// No service is registered under a name with the type that was looked up.
    #[error("Service '{name}' is not registered.")]
    ServiceMissing {
        /// Name of the service.
        name: &'static str,
    },
    /// An instance can't be reached.
    #[error("{address} can't be reached: {detail}.")]
    Unreachable {
        /// Address of the instance.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
}

impl Error {
    /// Returns the findings; an error of another kind becomes a single finding.
    pub fn into_findings(self) -> Vec<Finding> {
        match self {
            Self::Findings(findings) => findings,
            error => {
                vec![Finding { file: "".into(), line: 0, message: error.to_string() }]
            }
        }
    }

    /// Wraps an I/O error with the operation that failed.
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
