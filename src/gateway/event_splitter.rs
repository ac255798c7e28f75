//! Splits a byte stream of server-sent events at the ends of events.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::answer_head::{ANSWER_START, first_status};

/// Longest event, in bytes.
pub const EVENT_LIMIT_BYTES: usize = 1_048_576;

/// Names of the fields of an event; a comment and the empty line have none.
const EVENT_FIELDS: [&[u8]; 5] = [b"", b"data", b"event", b"id", b"retry"];

/// Buffers a byte stream and splits it at the ends of events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    fault: Option<StreamFault>,
    /// Id of the last event that has a number as its id.
    last_number: Option<u64>,
    rest: BytesMut,
}

/// Why bytes of a stream are not part of the answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StreamFault {
    /// Another answer begins.
    #[error("another answer began inside the stream")]
    AnotherAnswer,
    /// The number of an event is not above the one before.
    #[error("the ids of the events do not rise")]
    FallingIds,
}

/// Complete events that arrived together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Their number.
    pub count: u32,
    /// Id of the last of them that has one.
    pub last_id: Option<String>,
}

/// What a splitter has after more bytes arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SplitEvents {
    /// These events are complete.
    Complete(CompleteEvents),
    /// No event is complete.
    Incomplete,
    /// An event is longer than [`EVENT_LIMIT_BYTES`]; the stream can't be split any further.
    TooLong,
}

impl EventSplitter {
    /// Returns a splitter for the events after the one with this id.
    pub fn after(last_id: Option<&str>) -> Self {
        Self { last_number: last_id.and_then(event_number), ..Self::default() }
    }

    /// Adds bytes and returns the events that are complete now, up to a fault.
    pub fn push(&mut self, bytes: &[u8]) -> SplitEvents {
        if self.fault.is_some() {
            return SplitEvents::Incomplete;
        }
        let searched = self.rest.len();
        self.rest.extend_from_slice(bytes);
        if let Some(start) = answer_start(&self.rest, searched) {
            self.fault = Some(StreamFault::AnotherAnswer);
            self.rest.truncate(start);
        }
        if self.rest.len() > EVENT_LIMIT_BYTES && has_long_event(&self.rest) {
            return SplitEvents::TooLong;
        }
        let mut last_end = last_event_end(&self.rest, searched);
        if let Some(start) = last_end.and_then(|end| answer_inside(&self.rest[..=end])) {
            self.fault = Some(StreamFault::AnotherAnswer);
            self.rest.truncate(start);
            last_end = last_event_end(&self.rest, searched);
        }
        let Some(last_end) = last_end else { return SplitEvents::Incomplete };
        let mut complete = self.rest.split_to(last_end + 1);
        let rising_bytes = self.read_ids(&complete);
        if rising_bytes < complete.len() {
            self.fault = Some(StreamFault::FallingIds);
            complete.truncate(rising_bytes);
        }
        if complete.is_empty() {
            return SplitEvents::Incomplete;
        }
        let count = count_events(&complete);
        let last_id = complete.rsplit(is_line_end).find_map(event_id).map(Cow::into_owned);
        SplitEvents::Complete(CompleteEvents { bytes: complete.freeze(), count, last_id })
    }

    /// Returns the size of the buffer, in bytes.
    pub fn capacity_bytes(&self) -> usize {
        self.rest.capacity()
    }

    /// Returns why the bytes after the last event are not part of the answer, if they are not.
    pub fn fault(&self) -> Option<StreamFault> {
        self.fault
    }

    /// Returns whether the last event is incomplete.
    pub fn is_inside_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns the bytes received of the last event if it is incomplete.
    pub fn rest_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Reads the ids of complete events up to one whose number is not above the one before, and
    /// returns the length of the events before it. Ids that are not numbers tell nothing.
    fn read_ids(&mut self, events: &[u8]) -> usize {
        let (mut event_start, mut line_end) = (0, 0);
        for line in events.split_inclusive(is_line_end) {
            line_end += line.len();
            if matches!(line, b"\n" | b"\r\n") {
                event_start = line_end;
            } else if let Some(number) = event_id(line).and_then(|id| event_number(&id)) {
                if self.last_number.is_some_and(|last_number| number <= last_number) {
                    return event_start;
                }
                self.last_number = Some(number);
            }
        }
        events.len()
    }
}

/// Returns where the first line starts that is the head of an answer; lines that were complete in
/// the first `searched` bytes are not looked at again.
fn answer_start(bytes: &[u8], searched: usize) -> Option<usize> {
    let first = searched.saturating_sub(ANSWER_START.len());
    let starts_line = |at: &usize| *at == 0 || bytes[at - 1] == b'\n';
    (first..bytes.len()).filter(starts_line).find(|at| bytes[*at..].starts_with(ANSWER_START))
}

/// Returns where the head of an answer starts inside a line of complete events. The lines of a head
/// after the first are no lines of an event, unlike those after the text of one.
fn answer_inside(events: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    let mut lines = events.split_inclusive(is_line_end).peekable();
    while let Some(line) = lines.next() {
        if lines.peek().is_some_and(|next| !is_event_line(next))
            && let Some((start, _)) = first_status(line)
        {
            return Some(line_start + start);
        }
        line_start += line.len();
    }
    None
}

/// Returns whether a line belongs to an event, or ends one.
fn is_event_line(line: &[u8]) -> bool {
    let name = line.trim_ascii_end().split(|byte| *byte == b':').next().unwrap_or_default();
    EVENT_FIELDS.contains(&name)
}

fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    (searched..bytes.len()).rev().find(|&end| ends_event(bytes, end))
}

fn count_events(bytes: &[u8]) -> u32 {
    let mut count = 0;
    let mut line_is_empty = true;
    for byte in bytes {
        match byte {
            b'\n' if line_is_empty => {
                count += 1;
            }
            b'\n' => line_is_empty = true,
            b'\r' => {}
            _ => line_is_empty = false,
        }
    }
    count
}

/// Returns whether the byte at `index` is the last one of an event.
fn ends_event(bytes: &[u8], index: usize) -> bool {
    bytes[index] == b'\n' && matches!(bytes[..index], [.., b'\n'] | [.., b'\n', b'\r'])
}

fn has_long_event(bytes: &[u8]) -> bool {
    let mut start = 0;
    for end in (0..bytes.len()).filter(|&index| ends_event(bytes, index)) {
        if end + 1 - start > EVENT_LIMIT_BYTES {
            return true;
        }
        start = end + 1;
    }
    bytes.len() - start > EVENT_LIMIT_BYTES
}

fn is_line_end(byte: &u8) -> bool {
    *byte == b'\n'
}

/// Returns the id that a line gives to its event.
fn event_id(line: &[u8]) -> Option<Cow<'_, str>> {
    let id = line.strip_prefix(b"id:")?;
    Some(String::from_utf8_lossy(id.trim_ascii()))
}

fn event_number(id: &str) -> Option<u64> {
    id.parse().ok()
}
