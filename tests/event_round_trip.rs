//! Tests that an event is read from a stream as it was written to it.

use std::io::{self, BufReader};
use std::sync::{Arc, Mutex};

use bergamotspan::answer_log::totals;
use bergamotspan::answer_output::{AnswerHead, AnswerOutput};
use bergamotspan::answer_writer::{AnswerWriter, StreamAnswerWriter};
use bergamotspan::server_sent_events::{ServerSentEvent, read_event};
use bytes::Bytes;
use proptest::prelude::{prop_assert_eq, proptest};

/// Keeps what is written.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl AnswerOutput for Output {
    fn begin(&mut self, head: AnswerHead) -> io::Result<()> {
        assert_eq!(head.content_type, "text/event-stream");
        Ok(())
    }

    fn write(&mut self, bytes: Bytes) -> io::Result<()> {
        self.0.lock().unwrap().extend_from_slice(&bytes);
        Ok(())
    }

    fn end(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes one event and returns its data as another instance reads it.
fn read_back(data: &str) -> String {
    let output = Output::default();
    let mut writer = StreamAnswerWriter::new(Box::new(output.clone()), None);
    writer.events(&[Arc::from(data)]).unwrap();
    let bytes = output.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    match read_event(&mut text.as_bytes()).unwrap() {
        ServerSentEvent::Event { data, .. } => data,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_joined_answer_keeps_its_leading_spaces() {
    for data in ["{}", "  indented", "{\n  \"rows\": 2\n}", "\tcolumn"] {
        assert_eq!(read_back(data), data);
    }
}

#[test]
fn a_joined_answer_keeps_its_line_feeds() {
    for data in ["a\nb", "a\n", "\n", "\n\n a", " \n"] {
        assert_eq!(read_back(data), data);
    }
}

#[test]
fn a_line_end_within_an_answer_is_read_as_a_line_feed() {
    for (data, expected) in [
        ("a\r\nb", "a\nb"),
        ("a\r", "a\n"),
        ("a\r\r\nb", "a\n\nb"),
        ("\n\r", "\n\n"),
        ("\r\n", "\n"),
    ] {
        assert_eq!(read_back(data), expected, "{data:?}");
    }
}

#[test]
fn an_answer_with_a_carriage_return_writes_no_other_event() {
    assert_eq!(read_back("a\r\revent: end\rdata: b"), "a\n\nevent: end\ndata: b");
}

#[test]
fn the_digest_of_an_answer_is_of_what_is_read() {
    for data in ["a\r\nb", "a\r", "\n a", "  "] {
        let read = read_back(data);

        assert_eq!(totals(&[Arc::from(data)]), totals(&[Arc::from(read)]), "{data:?}");
    }
}

#[test]
fn lines_of_a_stream_end_with_any_line_end() {
    for stream in [
        "event: end\ndata:  a\ndata\ndata:b\n\nrest",
        "event: end\r\ndata:  a\r\ndata\r\ndata:b\r\n\r\nrest",
        "event: end\rdata:  a\rdata\rdata:b\r\rrest",
    ] {
        for capacity_bytes in [1, 7, 8_192] {
            let mut reader = BufReader::with_capacity(capacity_bytes, stream.as_bytes());

            let event = read_event(&mut reader).unwrap();

            let expected = ServerSentEvent::Event { data: " a\n\nb".into(), name: "end".into() };
            assert_eq!(event, expected, "{stream:?} by {capacity_bytes} bytes");
            assert_eq!(read_event(&mut reader).unwrap(), ServerSentEvent::EndOfStream);
        }
    }
}

#[test]
fn an_event_that_breaks_off_is_not_read() {
    for stream in ["data: a", "data: a\n", "data: a\r\n"] {
        let event = read_event(&mut stream.as_bytes()).unwrap();

        assert_eq!(event, ServerSentEvent::EndOfStream, "{stream:?}");
    }
}

#[test]
fn a_joined_answer_that_is_empty_stays_empty() {
    assert_eq!(read_back(""), "");
}

#[test]
fn a_comment_within_an_event_takes_nothing_from_it() {
    let expected = ServerSentEvent::Event { data: "a\nb".into(), name: "end".into() };
    for stream in [
        ":\nevent: end\n: alive\ndata: a\ndata: b\n\n",
        ":\n\nevent: end\ndata: a\n: alive\ndata: b\n\n",
        ":\r\n\r\nevent: end\r\ndata: a\r\n: alive\r\ndata: b\r\n:\r\n\r\n",
    ] {
        let mut reader = stream.as_bytes();

        assert_eq!(read_event(&mut reader).unwrap(), ServerSentEvent::Comment, "{stream:?}");
        assert_eq!(read_event(&mut reader).unwrap(), expected, "{stream:?}");
    }
}

#[test]
fn an_event_without_data_names_no_other_event() {
    let event = read_event(&mut &b"event: end\n\ndata: a\n\n"[..]).unwrap();

    assert_eq!(event, ServerSentEvent::Event { data: "a".into(), name: "message".into() });
}

proptest! {
    #[test]
    fn any_text_without_a_carriage_return_is_read_as_written(data in "[^\r]{0,40}") {
        prop_assert_eq!(read_back(&data), data);
    }

    #[test]
    fn any_text_of_separators_is_read_as_written(data in "[ \t\n:\u{feff}a]{0,12}") {
        prop_assert_eq!(read_back(&data), data);
    }
}
