//! How the end of an answer's body is marked.

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerFraming {
    /// By the last chunk.
    Chunks,
    /// By the end of the connection.
    ConnectionEnd,
    /// By its length.
    Length,
}

impl AnswerFraming {
    /// Reads the framing from the headers of an answer.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        match codings.map(|codings| codings.to_str().unwrap_or_default()) {
            Some(codings) if ends_in_chunked(codings) => Self::Chunks,
            // A length beside another coding does not count.
            Some(_) => Self::ConnectionEnd,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            None => Self::ConnectionEnd,
        }
    }

    /// Returns its name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Chunks => "chunks",
            Self::ConnectionEnd => "connection_end",
            Self::Length => "length",
        }
    }
}

fn ends_in_chunked(codings: &str) -> bool {
    codings.rsplit(',').next().is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}
