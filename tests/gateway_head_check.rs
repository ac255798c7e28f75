//! What the head of a request decides before its body is read.

mod gateway_support;

use bergamotspan::gateway::admission::{Arrival, RefusalReason};
use bergamotspan::gateway::request_metadata::RequestMetadata;
use bergamotspan::gateway::state::GatewayState;

use crate::gateway_support::{HOST, START_MS, metadata, state};

fn check(
    state: &mut GatewayState,
    now_ms: u64,
    path: &str,
    metadata: &RequestMetadata,
) -> Result<u64, RefusalReason> {
    let arrival = Arrival { arrived_ms: now_ms, metadata, fingerprint: 0, host: HOST, path };
    state.check_head(now_ms, &arrival).map_err(|refusal| refusal.reason)
}

#[test]
fn a_proper_head_tells_how_long_its_body_may_take() {
    let deadline_ms = check(&mut state(), START_MS, "/booking/a", &metadata("r-1"));
    assert!(deadline_ms.is_ok_and(|deadline_ms| deadline_ms > START_MS));
}

#[test]
fn an_unknown_route_or_key_is_refused_by_the_head() {
    let mut state = state();
    let no_route = check(&mut state, START_MS, "/none/a", &metadata("r-1"));
    assert_eq!(no_route, Err(RefusalReason::NoRoute));
    let unknown = RequestMetadata { key: Some("other".into()), ..metadata("r-2") };
    let unknown = check(&mut state, START_MS, "/booking/a", &unknown);
    assert_eq!(unknown, Err(RefusalReason::UnknownKey));
}

#[test]
fn a_process_that_stops_refuses_by_the_head() {
    let mut state = state();
    state.stop(START_MS, START_MS + 8_000);
    let late = check(&mut state, START_MS + 4_000, "/booking/a", &metadata("r-1"));
    assert_eq!(late, Err(RefusalReason::Stopping));
}
