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
        let mut name = String::new();
        let mut lines: Vec<String> = Vec::new();
        let mut line = String::new();
        loop {
            line.clear();
            if self.lines.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let text = line.trim_end_matches(['\r', '\n']);
            if text.is_empty() && !name.is_empty() {
                return Ok(Some(Event { data: lines.join("\n"), name }));
            }
            let (field, value) = text.split_once(':').unwrap_or((text, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => lines.push(value.to_owned()),
                "event" => value.clone_into(&mut name),
                _ => {}
            }
        }
    }
}
