//! Parses server-sent events from a stream.

use std::borrow::Cow;
use std::io::{self, BufRead, Read};

use crate::answer_head::ANSWER_START;

/// Longest event, in bytes; the answer of a plain service is one event.
const EVENT_LIMIT_BYTES: u64 = 8 * 1_048_576;

/// One item of a stream of server-sent events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerSentEvent {
    /// A comment, which serves as a keep-alive.
    Comment,
    /// An event.
    Event {
        /// Its data, lines joined by newlines.
        data: String,
        /// Its name; `message` if it has none.
        name: String,
    },
    /// The stream ended.
    EndOfStream,
}

/// Reads the next comment or event; skips comments within an event, and events without data.
///
/// # Errors
///
/// Returns the error of the underlying stream, a timeout among them, and an error for an event of
/// 8 MiB or more and for the head of another answer in place of a line.
pub fn read_event<R>(reader: &mut R) -> io::Result<ServerSentEvent>
where
    R: BufRead,
{
    let mut after_return = false;
    let mut name = None;
    let mut lines: Vec<String> = Vec::new();
    let mut reader = Read::take(reader, EVENT_LIMIT_BYTES);
    loop {
        let line = read_line(&mut reader, &mut after_return)?;
        if reader.limit() == 0 {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "an event is too long"));
        }
        let Some(line) = line else { return Ok(ServerSentEvent::EndOfStream) };
        if line.as_bytes().starts_with(ANSWER_START) {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "another answer began"));
        }
        if line.is_empty() && !lines.is_empty() {
            let name = name.unwrap_or_else(|| "message".to_string());
            return Ok(ServerSentEvent::Event { data: lines.join("\n"), name });
        }
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "" if line.is_empty() => name = None,
            "" if name.is_none() && lines.is_empty() => return Ok(ServerSentEvent::Comment),
            "data" => lines.push(value.to_string()),
            "event" => name = Some(value.to_string()),
            _ => {}
        }
    }
}

/// Returns data with a line feed for each of its line ends: CRLF, CR or LF. An event carries no
/// other line ends.
pub fn with_line_feeds(data: &str) -> Cow<'_, str> {
    match data.contains('\r') {
        true => Cow::Owned(data.replace("\r\n", "\n").replace('\r', "\n")),
        false => Cow::Borrowed(data),
    }
}

/// Reads a line that ends with CRLF, CR or LF; `after_return` tells whether the line before ended
/// with CR.
///
/// A CR ends its line at once, since nothing more may arrive for a while.
fn read_line<R>(reader: &mut R, after_return: &mut bool) -> io::Result<Option<String>>
where
    R: BufRead,
{
    let mut line = Vec::new();
    loop {
        let bytes = match reader.fill_buf() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            bytes => bytes?,
        };
        let Some(first) = bytes.first() else { return Ok(None) };
        if std::mem::take(after_return) && *first == b'\n' {
            reader.consume(1);
            continue;
        }
        let Some(length) = bytes.iter().position(|byte| matches!(byte, b'\r' | b'\n')) else {
            let length = bytes.len();
            line.extend_from_slice(bytes);
            reader.consume(length);
            continue;
        };
        *after_return = bytes[length] == b'\r';
        line.extend_from_slice(&bytes[..length]);
        reader.consume(length + 1);
        let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        return String::from_utf8(line).map(Some).map_err(invalid);
    }
}
