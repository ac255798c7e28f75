//! Reader of server-sent events.

use std::io::{self, BufRead, BufReader, Read};

/// A server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Data, whose lines are joined by line feeds.
    pub data: String,
    /// Name of the event.
    pub name: String,
}

/// Reads an event stream and skips comments.
#[derive(Debug)]
pub struct EventReader<R> {
    lines: BufReader<R>,
}

impl<R> EventReader<R>
where
    R: Read,
{
    /// Creates a reader.
    pub fn new(source: R) -> Self {
        Self { lines: BufReader::new(source) }
    }

    /// Reads the next event; returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks.
    pub fn next_event(&mut self) -> io::Result<Option<Event>> {
        let mut event = Event { data: String::new(), name: String::new() };
        let mut line = String::new();
        loop {
            line.clear();
            if self.lines.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let text = line.trim_end_matches(['\r', '\n']);
            if text.is_empty() && !event.name.is_empty() {
                return Ok(Some(event));
            }
            if let Some(name) = text.strip_prefix("event: ") {
                name.clone_into(&mut event.name);
            } else if let Some(data) = text.strip_prefix("data: ") {
                if !event.data.is_empty() {
                    event.data.push('\n');
                }
                event.data.push_str(data);
            }
        }
    }
}
