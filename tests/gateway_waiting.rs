//! Tests of how long requests wait for an engine, and of the time until a retry.

mod gateway_support;

use bergamotspan::gateway::admission::RequestPlan;
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::dispatching::{DispatchDecision, SendEnd, StartedSend, WaitResult};
use bergamotspan::gateway::state::GatewayState;

use crate::gateway_support::{START_MS, admitted, draft, metadata, state};

/// Goal of the route in these tests, in milliseconds.
const GOAL_MS: u64 = 400;
/// Slots of all engines in these tests.
const SLOTS: usize = 4;

fn arrive(state: &mut GatewayState, number: usize) -> (RequestPlan, DispatchDecision) {
    let plan = admitted(state, START_MS, "/draft/a", &draft(&format!("r-{number}"), 100, 10));
    let dispatch = state.dispatch(START_MS, &plan, &[]);
    (plan, dispatch)
}

fn with_full_engines() -> GatewayState {
    with_running_requests().0
}

/// Returns a state whose engines are full, and the sends that run.
fn with_running_requests() -> (GatewayState, Vec<StartedSend>) {
    let mut state = state();
    // A request occupies its slot for 10 ms.
    (0..400).for_each(|_| state.record_slot_time(10.0));
    let started = (0..SLOTS).map(|number| match arrive(&mut state, number).1 {
        DispatchDecision::Send(started_send) => started_send,
        other => panic!("{other:?}"),
    });
    let started = started.collect();
    (state, started)
}

/// Ends a send at an engine, and returns the engines that the waiting requests get.
fn engines_after_end(
    state: &mut GatewayState,
    running: &[StartedSend],
    engine: &str,
) -> Vec<(u64, String)> {
    let ended = running.iter().find(|send| &*send.backend_server == engine).expect("a send");
    state.end_send(START_MS, ended, &SendEnd::new(SendOutcome::Answered));
    let outcomes = state.dispatch_waiting(START_MS).into_iter();
    let sent = outcomes.map(|outcome| match outcome.result {
        WaitResult::Sent(send) => (outcome.number, send.backend_server.to_string()),
        other => panic!("{other:?}"),
    });
    sent.collect()
}

#[test]
fn a_waiting_request_expires_while_its_goal_could_still_be_met() {
    let mut state = with_full_engines();
    assert!(matches!(arrive(&mut state, 9).1, DispatchDecision::Wait(_)));
    assert!(state.dispatch_waiting(START_MS + 1).is_empty());
    let outcomes = state.dispatch_waiting(START_MS + GOAL_MS / 2);
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

#[test]
fn a_request_that_few_engines_may_serve_does_not_hold_up_the_others() {
    let (mut state, running) = with_running_requests();
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-5", 100, 10));
    let limited = state.dispatch(START_MS, &plan, &["m-1".into()]);
    let DispatchDecision::Wait(limited) = limited else { panic!("{limited:?}") };
    let DispatchDecision::Wait(second) = arrive(&mut state, 6).1 else {
        panic!("it does not wait")
    };
    let DispatchDecision::Wait(_) = arrive(&mut state, 7).1 else { panic!("it does not wait") };
    let at_m_1 = engines_after_end(&mut state, &running, "m-1");
    assert_eq!(at_m_1, [(second, "m-1".to_owned())]);
    let at_m_2 = engines_after_end(&mut state, &running, "m-2");
    assert_eq!(at_m_2, [(limited, "m-2".to_owned())]);
}
