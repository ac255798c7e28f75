//! Parses server-sent events from a stream.

use std::io::{self, BufRead};

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

/// Reads the next comment or event.
///
/// # Errors
///
/// Returns the error of the underlying stream, a timeout among them.
pub fn read_event<R>(reader: &mut R) -> io::Result<ServerSentEvent>
where
    R: BufRead,
{
    let mut name = String::from("message");
    let mut lines: Vec<String> = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(ServerSentEvent::EndOfStream);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        match line.split_once(':') {
            None if line.is_empty() && !lines.is_empty() => {
                return Ok(ServerSentEvent::Event { data: lines.join("\n"), name });
            }
            Some(("", _)) => return Ok(ServerSentEvent::Comment),
            Some(("data", value)) => lines.push(value.trim_start().to_string()),
            Some(("event", value)) => name = value.trim_start().to_string(),
            _ => {}
        }
    }
}
