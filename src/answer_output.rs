//! The interface through which an answer is written to its caller's connection.

use std::io;

use bytes::Bytes;

/// Head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// Type of the body.
    pub content_type: &'static str,
    /// Further headers; names are in lower case.
    pub headers: Vec<(&'static str, String)>,
    /// Length of the body, in bytes; `None` if it is streamed.
    pub length_bytes: Option<usize>,
    /// HTTP status.
    pub status: u16,
}

/// Writes one answer: its head, then its body, then its end.
pub trait AnswerOutput: Send {
    /// Writes the head.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected, or does not read.
    fn begin(&mut self, head: AnswerHead) -> io::Result<()>;

    /// Writes a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected, or does not read.
    fn write(&mut self, bytes: Bytes) -> io::Result<()>;

    /// Ends the body; without it, the caller sees that the answer breaks off.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected, or does not read.
    fn end(&mut self) -> io::Result<()>;
}
