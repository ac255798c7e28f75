//! The output and exit status of a command of `bergamotspan`.

use std::io::{self, Write};
use std::process::ExitCode;

use crate::error::Error;
use crate::exit_status::ExitStatus;

/// Output and exit status of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandOutput {
    /// Text for standard error.
    pub stderr: String,
    /// Exit status of the command.
    pub status: ExitStatus,
    /// Text for standard output.
    pub stdout: String,
}

impl CommandOutput {
    /// Returns the output of a command that ends with `status` and prints `stdout`.
    pub fn new<S>(status: ExitStatus, stdout: S) -> Self
    where
        S: Into<String>,
    {
        Self { stderr: String::new(), status, stdout: stdout.into() }
    }

    /// Returns the output of a command that failed because of wrong usage or an unreadable file.
    pub fn usage<S>(message: S) -> Self
    where
        S: Into<String>,
    {
        Self { stderr: message.into(), status: ExitStatus::Usage, stdout: String::new() }
    }

    /// Writes both texts and returns the exit code.
    ///
    /// Write errors are ignored, since a reader such as `head` may close the pipe early.
    pub fn write(&self) -> ExitCode {
        let _ = write_lines(&mut io::stdout(), &self.stdout);
        let _ = write_lines(&mut io::stderr(), &self.stderr);
        self.status.into()
    }
}

impl From<Error> for CommandOutput {
    fn from(error: Error) -> Self {
        let message = error.to_string();
        match error {
            Error::Findings(_) => Self::new(ExitStatus::Findings, message),
            Error::Refused { .. } => {
                Self { stderr: message, status: ExitStatus::Findings, stdout: String::new() }
            }
            Error::AnswerUnreadable { .. } | Error::Unreachable { .. } => {
                Self { stderr: message, status: ExitStatus::Unreachable, stdout: String::new() }
            }
            Error::Io { .. } | Error::PeerMessage { .. } | Error::ServiceMissing { .. } => {
                Self::usage(message)
            }
        }
    }
}

fn write_lines<W>(writer: &mut W, text: &str) -> io::Result<()>
where
    W: Write,
{
    if text.is_empty() {
        return Ok(());
    }
    writeln!(writer, "{}", text.trim_end_matches('\n'))?;
    writer.flush()
}
