//! Streams are cut at the ends of events, wherever the bytes break.

use bergamotspan::gateway::event_splitter::EventSplitter;
use bergamotspan::gateway::gateway_settings::Bounds;
use bergamotspan::gateway::service_retry_budget::ServiceRetryBudget;
use proptest::prelude::*;

#[test]
fn part_of_an_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a"), None);
    assert!(splitter.is_inside_event());
    let events = splitter.push(b"b\n\nid: 2\n").expect("an event");
    assert_eq!(&events.bytes[..], b"id: 1\ndata: ab\n\n");
    assert_eq!((events.count, events.last_id.as_deref()), (1, Some("1")));
    assert_eq!(&splitter.take_rest()[..], b"id: 2\n");
    assert!(!splitter.is_inside_event());
}

#[test]
fn ends_of_events_may_have_carriage_returns() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 7\r\ndata: a\r\n\r\n").expect("an event");
    assert_eq!((events.count, events.last_id.as_deref()), (1, Some("7")));
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
            let (now, later) = rest.split_at(size);
            rest = later;
            if let Some(whole) = splitter.push(now) {
                prop_assert!(whole.bytes.ends_with(b"\n\n"));
                passed.extend_from_slice(&whole.bytes);
                count += whole.count as usize;
            }
        }
        prop_assert_eq!(passed, text.into_bytes());
        prop_assert_eq!(count, events);
    }

    /// Whatever instances see, together they stay within the ratio and the allowance.
    #[test]
    fn extra_sends_of_all_instances_stay_in_the_budget(
        asks in prop::collection::vec((0_usize..7, any::<bool>(), 0_u64..30), 1..600),
    ) {
        let bounds = Bounds::default();
        let mut budgets = vec![ServiceRetryBudget::default(); 7];
        let (mut now_ms, mut requests, mut extra) = (0, 0, 0);
        for (instance, again, pause_ms) in asks {
            now_ms += pause_ms;
            budgets[instance].record_request(now_ms, &bounds);
            requests += 1;
            extra += u32::from(again && budgets[instance].try_take(now_ms, &bounds, 7));
        }
        let allowed = bounds.retry_ratio * f64::from(requests) + f64::from(bounds.retry_allowance);
        prop_assert!(f64::from(extra) <= allowed);
    }
}
