//! Tests of the split of streams at the ends of events, and of the retry budget of a service.

use bergamotspan::gateway::event_splitter::{
    CompleteEvents, EVENT_LIMIT_BYTES, EventSplitter, SplitEvents, StreamFault,
};
use bergamotspan::gateway::gateway_settings::Bounds;
use bergamotspan::gateway::service_retry_budget::ServiceRetryBudget;
use proptest::prelude::*;

fn complete(split: SplitEvents) -> CompleteEvents {
    match split {
        SplitEvents::Complete(events) => events,
        other => panic!("{other:?}"),
    }
}

/// Returns the events of a text that arrives in pieces of a size.
fn passed_bytes(splitter: &mut EventSplitter, text: &str, piece_bytes: usize) -> Vec<u8> {
    let mut passed = Vec::new();
    for piece in text.as_bytes().chunks(piece_bytes) {
        if let SplitEvents::Complete(events) = splitter.push(piece) {
            passed.extend_from_slice(&events.bytes);
        }
    }
    passed
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a"), SplitEvents::Incomplete);
    assert!(splitter.is_inside_event());
    let events = complete(splitter.push(b"b\n\nid: 2\n"));
    assert_eq!(&events.bytes[..], b"id: 1\ndata: ab\n\n");
    assert_eq!((events.count, events.last_id.as_deref()), (1, Some("1")));
    assert_eq!(splitter.rest_bytes(), 6);
    let events = complete(splitter.push(b"\n"));
    assert_eq!(&events.bytes[..], b"id: 2\n\n");
    assert_eq!((events.count, events.last_id.as_deref()), (1, Some("2")));
    assert!(!splitter.is_inside_event());
}

#[test]
fn the_end_of_an_event_is_found_across_chunks() {
    for text in ["a\n\n", "a\r\n\r\n", "a\n\r\n"] {
        for cut in 1..text.len() {
            let mut splitter = EventSplitter::default();
            assert_eq!(splitter.push(&text.as_bytes()[..cut]), SplitEvents::Incomplete);
            let events = complete(splitter.push(&text.as_bytes()[cut..]));
            assert_eq!(&events.bytes[..], text.as_bytes(), "{text:?} cut at {cut}");
        }
    }
}

/// A search that starts anew for each byte would take hours.
#[test]
fn the_longest_event_passes_byte_by_byte() {
    let mut event = vec![b'a'; EVENT_LIMIT_BYTES - 2];
    event.extend_from_slice(b"\n\n");
    let mut splitter = EventSplitter::default();
    let (last, before) = event.split_last().expect("a last byte");
    for byte in before {
        assert_eq!(splitter.push(&[*byte]), SplitEvents::Incomplete);
    }
    assert_eq!(complete(splitter.push(&[*last])).bytes, event);
}

#[test]
fn nothing_of_an_event_beyond_the_limit_is_returned() {
    let mut long = vec![b'a'; EVENT_LIMIT_BYTES - 1];
    long.extend_from_slice(b"\n\n");
    for chunk_bytes in [1_000, 65_536, EVENT_LIMIT_BYTES, 2 * EVENT_LIMIT_BYTES] {
        let mut splitter = EventSplitter::default();
        complete(splitter.push(b"id: 1\n\n"));
        let splits: Vec<_> = long.chunks(chunk_bytes).map(|chunk| splitter.push(chunk)).collect();
        let (last, before) = splits.split_last().expect("a chunk");
        assert_eq!(*last, SplitEvents::TooLong, "chunks of {chunk_bytes}");
        assert!(before.iter().all(|split| *split == SplitEvents::Incomplete));
    }
}

#[test]
fn short_events_that_arrive_together_may_exceed_the_limit_of_one() {
    let events = "data: a\n\n".repeat(EVENT_LIMIT_BYTES / 8);
    let split = complete(EventSplitter::default().push(events.as_bytes()));
    assert_eq!((split.bytes.len(), split.count as usize), (events.len(), EVENT_LIMIT_BYTES / 8));
}

#[test]
fn events_may_end_with_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let events = complete(splitter.push(b"id: 7\r\ndata: a\r\n\r\n"));
    assert_eq!((events.count, events.last_id.as_deref()), (1, Some("7")));
}

#[test]
fn an_answer_between_events_ends_the_stream_however_it_is_cut() {
    let text = b"id: 1\ndata: HTTP/1.1 200 OK\n\nHTTP/1.1 200 OK\r\n\r\nid: 2\ndata: b\n\n";
    for size in 1..=text.len() {
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        for chunk in text.chunks(size) {
            if let SplitEvents::Complete(events) = splitter.push(chunk) {
                passed.extend_from_slice(&events.bytes);
            }
        }
        assert_eq!(passed, b"id: 1\ndata: HTTP/1.1 200 OK\n\n", "in pieces of {size}");
        assert_eq!(splitter.fault(), Some(StreamFault::AnotherAnswer));
    }
}

#[test]
fn an_answer_inside_an_event_ends_the_stream_however_it_is_cut() {
    let first = "id: 1\ndata: a\n\n";
    for half in ["id: 2\ndata: pie", "id: 2\ndata: HTTP/1.1 200 OK", "id: 2\r", "d"] {
        for header in ["X-Request-Id: r-0", "X-Not-Executed: 1", "Date:Fri"] {
            let other = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\nid: 3\ndata: b\n\n");
            let text = format!("{first}{half}{other}");
            for size in 1..=text.len() {
                let mut splitter = EventSplitter::default();
                let passed = passed_bytes(&mut splitter, &text, size);
                assert_eq!(passed, first.as_bytes(), "{half:?} {header} in pieces of {size}");
                assert_eq!(splitter.fault(), Some(StreamFault::AnotherAnswer));
            }
        }
    }
}

#[test]
fn events_with_the_text_of_an_answer_pass() {
    for text in [
        "data: HTTP/1.1 200 OK\r\ndata: X-Request-Id: r-0\r\ndata:\r\ndata: a\r\n\r\n",
        "data: as in HTTP/1.1 200 OK\r\nid: 1\r\n\r\n",
        "data: HTTP/1.1 200 OK\r\n: a comment\r\ndata\r\n\r\n",
        "data: HTTP/1.1 and 200\nx-note: HTTP/1.0\n\nx-note: 3\nid: 1\ndata: a\n\n",
    ] {
        for size in 1..=text.len() {
            let mut splitter = EventSplitter::default();
            assert_eq!(passed_bytes(&mut splitter, text, size), text.as_bytes());
        }
    }
}

#[test]
fn an_event_whose_id_does_not_rise_ends_the_stream_however_it_is_cut() {
    let first = "id: 7\ndata: a\n\ndata: b\n \ndata: c\n\n";
    for other in ["id: 7\n\n", "id:6\r\n\r\n", "data: d\n \nid: 0\n\n", "id: 8\nid: 8\n\n"] {
        let text = format!("{first}{other}id: 9\n\n");
        for size in 1..=text.len() {
            let mut splitter = EventSplitter::default();
            let passed = passed_bytes(&mut splitter, &text, size);
            assert_eq!(passed, first.as_bytes(), "{other:?} in pieces of {size}");
            assert_eq!(splitter.fault(), Some(StreamFault::FallingIds));
        }
    }
}

#[test]
fn ids_that_rise_or_are_not_numbers_pass() {
    for text in [
        "id: 6\n\nid: 8\n\nid: 10\n\n",
        "id: b\n\nid: a\n\nid: -1\n\nid: 6\n\nid:\n\nid: 7\n\n",
        "data: id: 1\n\n",
    ] {
        let mut splitter = EventSplitter::after(Some("5"));
        assert_eq!(passed_bytes(&mut splitter, text, text.len()), text.as_bytes());
        assert_eq!(splitter.fault(), None);
    }
}

#[test]
fn a_resumed_stream_begins_after_the_event_at_which_it_is_resumed() {
    for (last_id, passes) in [(Some("4"), true), (Some("5"), false), (Some("a"), true)] {
        let mut splitter = EventSplitter::after(last_id);
        let passed = passed_bytes(&mut splitter, "id: 5\n\n", 7);
        assert_eq!(!passed.is_empty(), passes, "after {last_id:?}");
    }
}

proptest! {
    #[test]
    fn no_byte_is_lost_and_each_event_counts_once(
        cuts in prop::collection::vec(1_usize..40, 1..60),
        events in 1_usize..20,
    ) {
        let text: String = (0..events).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
        let mut splitter = EventSplitter::default();
        let (mut passed, mut count, mut rest) = (Vec::new(), 0, text.as_bytes());
        let mut sizes = cuts.iter().cycle();
        while !rest.is_empty() {
            let size = sizes.next().copied().unwrap_or(1).min(rest.len());
            let (chunk, remaining) = rest.split_at(size);
            rest = remaining;
            if let SplitEvents::Complete(complete) = splitter.push(chunk) {
                prop_assert!(complete.bytes.ends_with(b"\n\n"));
                passed.extend_from_slice(&complete.bytes);
                count += complete.count as usize;
            }
        }
        prop_assert_eq!(passed, text.into_bytes());
        prop_assert_eq!(count, events);
    }

    /// However requests spread over instances, all retries stay within the ratio and the allowance.
    #[test]
    fn retries_of_all_instances_stay_within_the_budget(
        requests in prop::collection::vec((0_usize..7, any::<bool>(), 0_u64..30), 1..600),
    ) {
        let bounds = Bounds::default();
        let mut budgets = vec![ServiceRetryBudget::default(); 7];
        let (mut now_ms, mut request_count, mut retry_count) = (0, 0, 0);
        for (instance, retry, pause_ms) in requests {
            now_ms += pause_ms;
            budgets[instance].record_request(now_ms, &bounds);
            request_count += 1;
            retry_count += u32::from(retry && budgets[instance].try_take(now_ms, &bounds, 7));
        }
        let allowed =
            bounds.retry_ratio * f64::from(request_count) + f64::from(bounds.retry_allowance);
        prop_assert!(f64::from(retry_count) <= allowed);
    }
}
