//! Tests of the parser of server-sent events.

use std::io::{BufReader, ErrorKind, Read};

use bergamotspan::server_sent_events::{ServerSentEvent, read_event};

/// Bound at which a stream ends that should have been given up before, in bytes.
const BOUND_BYTES: u64 = 16 * 1_048_576;

/// Repeats a line without end.
struct Endless {
    line: &'static [u8],
    position: usize,
}

impl Read for Endless {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        for byte in &mut *buffer {
            *byte = self.line[self.position % self.line.len()];
            self.position += 1;
        }
        Ok(buffer.len())
    }
}

#[test]
fn an_event_without_end_is_given_up() {
    for line in [&b"a"[..], b"data: a\n", b"event: a\n", b"\n"] {
        let stream = Endless { line, position: 0 };
        let mut reader = BufReader::new(stream.take(BOUND_BYTES));
        let error = read_event(&mut reader).expect_err("an event that is too long");
        assert_eq!(error.kind(), ErrorKind::InvalidData);
    }
}

#[test]
fn a_long_event_is_read_whole_and_so_is_the_next_one() {
    let data = "a".repeat(4 * 1_048_576);
    let text = format!("event: token\ndata: {data}\n\ndata: b\n\n");
    let mut reader = text.as_bytes();
    let event =
        |name: &str, data: &str| ServerSentEvent::Event { data: data.into(), name: name.into() };
    assert_eq!(read_event(&mut reader).expect("an event"), event("token", &data));
    assert_eq!(read_event(&mut reader).expect("an event"), event("message", "b"));
    assert_eq!(read_event(&mut reader).expect("an end"), ServerSentEvent::EndOfStream);
}

#[test]
fn another_answer_between_lines_is_an_error() {
    let other = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: b\n\n";
    for before in ["", "data: a\n", "event: token\r", ": alive\r\n"] {
        let text = format!("{before}{other}");
        let mut reader = text.as_bytes();
        let mut event = read_event(&mut reader);
        if matches!(event, Ok(ServerSentEvent::Comment)) {
            event = read_event(&mut reader);
        }
        assert_eq!(event.expect_err("another answer").kind(), ErrorKind::InvalidData, "{text:?}");
    }
    let event = read_event(&mut &b"data: HTTP/1.1 200 OK\n\n"[..]).expect("an event");
    let data = "HTTP/1.1 200 OK".to_owned();
    assert_eq!(event, ServerSentEvent::Event { data, name: "message".to_owned() });
}
