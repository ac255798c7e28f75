//! The exit status of `bergamotspan`, the program for operators.

use std::process::ExitCode;

/// Exit status of the program for operators; the number is its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// A document has findings, or an instance refused the request.
    Findings = 1,
    /// The command line is wrong or a file can't be read.
    Usage = 2,
    /// An instance can't be reached, or its answer can't be read.
    Unreachable = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
