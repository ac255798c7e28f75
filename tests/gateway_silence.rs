//! Tests of when a paused stream may move to another backend server.

mod gateway_support;

use crate::gateway_support::{START_MS, admitted, draft, state};

const SILENCE_MS: u64 = 1_200;

#[test]
fn a_stream_stays_while_other_answers_arrive_from_its_backend_server() {
    let mut state = state();
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-1", 1_000, 50));
    let now_ms = START_MS + 5_000;
    state.record_activity(now_ms - 300, "m-1");
    assert!(!state.may_move_stream(now_ms, &plan, "m-1", SILENCE_MS));
}

#[test]
fn a_stream_may_move_away_from_a_silent_backend_server() {
    let mut state = state();
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-1", 1_000, 50));
    let now_ms = START_MS + 5_000;
    state.record_activity(now_ms - SILENCE_MS, "m-1");
    assert!(state.may_move_stream(now_ms, &plan, "m-1", SILENCE_MS));
}

#[test]
fn a_stream_stays_if_no_other_backend_server_has_room() {
    let mut state = state();
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-1", 1_000, 50));
    let backend = state.backends_mut().get_mut("m-2").expect("a backend server");
    for _ in 0..2 {
        backend.record_send(START_MS, None, 0);
    }
    let now_ms = START_MS + 5_000;
    assert!(!state.may_move_stream(now_ms, &plan, "m-1", SILENCE_MS));
}
