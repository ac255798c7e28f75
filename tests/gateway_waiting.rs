//! Tests of how long requests wait for an engine, and of the time until a retry.

mod gateway_support;

use bergamotspan::gateway::admission::RequestPlan;
use bergamotspan::gateway::dispatching::{DispatchDecision, WaitResult};
use bergamotspan::gateway::state::GatewayState;

use crate::gateway_support::{START_MS, admitted, draft, metadata, state};

/// Goal of the route in these tests, in milliseconds.
const GOAL_MS: u64 = 400;
/// Shortest time from a send to the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 12;
/// Slots of all engines in these tests.
const SLOTS: usize = 4;

fn arrive(state: &mut GatewayState, number: usize) -> (RequestPlan, DispatchDecision) {
    let plan = admitted(state, START_MS, "/draft/a", &draft(&format!("r-{number}"), 100, 10));
    let dispatch = state.dispatch(START_MS, &plan, &[]);
    (plan, dispatch)
}

fn with_full_engines() -> GatewayState {
    let mut state = state();
    // A request occupies its slot for 10 ms.
    (0..400).for_each(|_| state.record_slot_time(10.0));
    for number in 0..SLOTS {
        assert!(matches!(arrive(&mut state, number).1, DispatchDecision::Send(_)));
    }
    state
}

#[test]
fn a_waiting_request_expires_while_its_goal_could_still_be_met() {
    let mut state = with_full_engines();
    assert!(matches!(arrive(&mut state, 9).1, DispatchDecision::Wait(_)));
    assert!(state.dispatch_waiting(START_MS + 1).is_empty());
    // It waits as long as an engine that it gets could still begin in time, and no longer.
    assert!(state.dispatch_waiting(START_MS + GOAL_MS / 2).is_empty());
    let outcomes = state.dispatch_waiting(START_MS + GOAL_MS - FIRST_EVENT_MS);
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].result, WaitResult::Expired);
}

#[test]
fn the_retry_after_of_a_rejected_request_outlasts_a_burst_and_fits_its_deadline() {
    let mut state = with_full_engines();
    let (plan, _) = arrive(&mut state, 9);
    let wait_ms = state.retry_after_ms(START_MS, plan.deadline_ms);
    assert!((3_000..=5_000).contains(&wait_ms), "{wait_ms}");
    let mut short = metadata("r-10");
    short.time_left_ms = Some(600);
    let plan = admitted(&mut state, START_MS, "/booking/a", &short);
    assert!(state.retry_after_ms(START_MS, plan.deadline_ms) <= 200);
}
