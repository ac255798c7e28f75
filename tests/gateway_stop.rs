//! Tests of the requests that a stopping instance still admits.

mod gateway_support;

use bergamotspan::gateway::admission::RefusalReason;

use crate::gateway_support::{
    START_MS, admitted, apply_store_changes, draft, metadata, refused, state,
};

#[test]
fn a_request_that_ends_in_time_is_admitted_after_the_stop_signal() {
    let mut state = state();
    state.stop(START_MS, START_MS + 7_700);
    admitted(&mut state, START_MS + 100, "/booking/a", &metadata("r-1"));
    admitted(&mut state, START_MS + 100, "/draft/a", &draft("r-2", 1_000, 50));
}

#[test]
fn a_request_on_a_kept_alive_connection_is_refused_once_the_balancer_has_noticed() {
    let mut state = state();
    state.stop(START_MS, START_MS + 7_700);
    apply_store_changes(&mut state, START_MS + 7_000, Vec::new());
    let refusal = refused(&mut state, START_MS + 7_170, "/draft/a", &draft("r-1", 1_000, 50));
    assert_eq!(refusal.reason, RefusalReason::Stopping);
    assert!(refusal.retry_after_ms.is_some_and(|wait_ms| wait_ms < 100));
}

#[test]
fn a_stream_that_would_outlast_the_process_is_refused_at_once() {
    let mut state = state();
    state.stop(START_MS, START_MS + 7_700);
    let refusal = refused(&mut state, START_MS + 100, "/draft/a", &draft("r-1", 1_000, 2_000));
    assert_eq!(refusal.reason, RefusalReason::Stopping);
}

// Plain requests counted as if they took no time, and were cut at the end of the grace.
#[test]
fn a_plain_request_that_would_outlast_the_process_is_refused_at_once() {
    let mut state = state();
    for server in ["d-1", "d-2"] {
        let server = state.backends_mut().get_mut(server).expect("it is known");
        (0..20).for_each(|_| server.record_reply_time(4_000.0));
    }
    state.stop(START_MS, START_MS + 7_700);
    let refusal = refused(&mut state, START_MS + 100, "/booking/a", &metadata("r-1"));
    assert_eq!(refusal.reason, RefusalReason::Stopping);
    admitted(&mut state, START_MS + 100, "/draft/a", &draft("r-2", 1_000, 50));
}
