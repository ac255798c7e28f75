//! Tests of the admission, recheck and quarantine of requests.

mod gateway_support;

use bergamotspan::gateway::admission::{Rank, RefusalReason};
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::crash_records::CrashNotice;
use bergamotspan::gateway::dispatching::SendEnd;
use bergamotspan::gateway::request_metadata::RequestMetadata;
use bergamotspan::gateway::routing_document::WeightedService;
use bergamotspan::gateway::routing_table::{RoutingTable, weighted_service};
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::gateway::store_updates::StateChange;

use crate::gateway_support::{
    START_MS, admitted, apply_store_changes, customer, document, draft, fail_to_connect, metadata,
    record_broken_send, refused, route, settings, started_send, state,
};
use bergamotspan::gateway::routing_document::{RouteKind, RoutingDocument};

fn publish(state: &mut GatewayState, now_ms: u64, document: RoutingDocument) -> Vec<StateChange> {
    apply_store_changes(state, now_ms, vec![StoreItem::Document(Ok(Box::new(document)))])
}

#[test]
fn a_request_before_the_first_document_is_refused_as_retryable() {
    let mut state = GatewayState::new(settings(), START_MS, 1);
    let refusal = refused(&mut state, START_MS, "/booking/a", &metadata("r-1"));
    assert_eq!(refusal.reason, RefusalReason::NoDocument);
    assert_eq!(refusal.reason.describe().0, 503);
    assert!(refusal.retry_after_ms.is_some());
    assert!(!state.is_ready(START_MS));
}

#[test]
fn the_route_with_the_longest_prefix_takes_a_request() {
    let mut document = document(2);
    let mut inner = route("inner", RouteKind::Unsafe, "desk");
    inner.prefix = "/draft/inner/".into();
    document.routes.push(inner);
    let table = RoutingTable::new(document);
    let name = |path| table.route("desk.example", path).map(|route| route.name.to_string());
    assert_eq!(name("/draft/inner/x").as_deref(), Some("inner"));
    assert_eq!(name("/draft/inner").as_deref(), Some("draft"));
    assert_eq!(name("/drafts/x"), None);
    assert!(table.route("other.example", "/draft/x").is_none());
}

#[test]
fn a_missing_route_is_reported_only_while_the_document_is_fresh() {
    let mut state = state();
    let early = refused(&mut state, START_MS + 100, "/none/a", &metadata("r-1"));
    assert_eq!(early.reason, RefusalReason::NoRoute);
    let late = refused(&mut state, START_MS + 3_000, "/none/a", &metadata("r-2"));
    assert_eq!(late.reason, RefusalReason::NotFresh);
}

#[test]
fn an_unknown_key_is_refused_permanently_and_a_stale_document_allows_none() {
    let mut state = state();
    let unknown = RequestMetadata { key: Some("other".into()), ..metadata("r-1") };
    let refusal = refused(&mut state, START_MS, "/booking/a", &unknown);
    assert_eq!((refusal.reason, refusal.retry_after_ms), (RefusalReason::UnknownKey, None));
    let refusal = refused(&mut state, START_MS + 4_600, "/booking/a", &metadata("r-2"));
    assert_eq!(refusal.reason, RefusalReason::NotFresh);
}

#[test]
fn a_waiting_request_is_not_sent_once_the_document_is_stale() {
    let mut state = state();
    let plan = admitted(&mut state, START_MS, "/booking/a", &metadata("r-1"));
    assert_eq!(state.recheck(START_MS + 4_599, &plan), Ok(()));
    let refusal = state.recheck(START_MS + 4_600, &plan).expect_err("too old");
    assert_eq!(refusal.reason, RefusalReason::NotFresh);
}

#[test]
fn a_waiting_request_is_not_sent_once_its_key_is_revoked() {
    let mut state = state();
    let plan = admitted(&mut state, START_MS, "/booking/a", &metadata("r-1"));
    let mut next = document(2);
    next.customers[0].keys.clear();
    publish(&mut state, START_MS + 100, next);
    let refusal = state.recheck(START_MS + 100, &plan).expect_err("revoked");
    assert_eq!(refusal.reason, RefusalReason::UnknownKey);
}

#[test]
fn an_older_document_never_replaces_a_newer_one() {
    let mut state = state();
    publish(&mut state, START_MS, document(9));
    assert!(publish(&mut state, START_MS, document(8)).is_empty());
    assert_eq!(state.table().version(), 9);
}

#[test]
fn an_unreadable_document_leaves_the_previous_one_in_force() {
    let mut state = state();
    let state_changes = apply_store_changes(
        &mut state,
        START_MS,
        vec![StoreItem::Document(Err("torn".to_owned()))],
    );
    assert!(matches!(&state_changes[..], [StateChange::Unreadable { .. }]));
    admitted(&mut state, START_MS, "/booking/a", &metadata("r-1"));
}

#[test]
fn the_rank_of_a_customer_is_compared_before_that_of_the_route() {
    let mut document = document(2);
    document.customers[0].priority = Some(3);
    let mut state = state();
    publish(&mut state, START_MS, document);
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-1", 100, 10));
    assert_eq!(plan.rank, Rank { customer: 3, route: 1 });
    assert!(Rank { customer: 1, route: 2 } > Rank { customer: 1, route: 1 });
    assert!(Rank { customer: 2, route: 0 } > Rank { customer: 1, route: 9 });
}

#[test]
fn a_usage_limit_refusal_reports_the_shortage() {
    let mut document = document(2);
    document.customers = vec![customer(1_000)];
    let mut state = state();
    publish(&mut state, START_MS, document);
    admitted(&mut state, START_MS, "/draft/a", &draft("r-1", 900, 100));
    let refusal = refused(&mut state, START_MS, "/draft/a", &draft("r-2", 300, 100));
    assert_eq!(refusal.reason.describe().0, 429);
    assert_eq!(refusal.shortage.map(|shortage| shortage.needed_units), Some(400));
    assert!(refusal.retry_after_ms.is_some_and(|wait_ms| wait_ms >= 300));
}

#[test]
fn a_route_splits_requests_by_the_weights_of_its_services() {
    let weight = |service: &str, weight| WeightedService { service: service.into(), weight };
    let services = [weight("a", 90), weight("b", 10)];
    let picked = |random| weighted_service(&services, random).map(|name| name.to_string());
    let to_b = (0..100).filter(|random| picked(*random).as_deref() == Some("b")).count();
    assert_eq!(to_b, 10);
    assert_eq!(weighted_service(&[], 3), None);
}

fn remove_backend(state: &mut GatewayState, now_ms: u64, id: &str) {
    apply_store_changes(state, now_ms, vec![StoreItem::BackendGone { id: id.into() }]);
}

#[test]
fn a_request_that_crashed_two_backend_servers_is_refused() {
    let mut state = state();
    record_broken_send(&mut state, START_MS, "m-1", START_MS - 10);
    remove_backend(&mut state, START_MS + 500, "m-1");
    admitted(&mut state, START_MS + 500, "/draft/a", &draft("r-1", 100, 10));
    record_broken_send(&mut state, START_MS + 900, "m-2", START_MS + 800);
    fail_to_connect(&mut state, START_MS + 950, "m-2");
    let refusal = refused(&mut state, START_MS + 1_000, "/draft/a", &draft("r-2", 100, 10));
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
}

#[test]
fn a_crash_is_reported_once_with_the_time_that_its_proof_took() {
    let mut state = state();
    record_broken_send(&mut state, START_MS, "m-1", START_MS - 10);
    fail_to_connect(&mut state, START_MS + 40, "m-1");
    remove_backend(&mut state, START_MS + 500, "m-1");
    let expected = CrashNotice::Crashed {
        backend_server: "m-1".into(),
        confirmed_after_ms: 40,
        fingerprint: 7,
        unstarted_parts: Vec::new(),
    };
    assert_eq!(state.take_crash_notices(), [expected]);
    assert!(state.take_crash_notices().is_empty());
}

#[test]
fn a_connection_that_is_not_accepted_in_time_is_no_crash() {
    let mut state = state();
    for (at_ms, id) in [(0, "m-1"), (400, "m-2")] {
        record_broken_send(&mut state, START_MS + at_ms, id, START_MS);
        let started_send = started_send(id);
        let end = SendEnd::new(SendOutcome::Unreachable);
        state.end_send(START_MS + at_ms + 100, &started_send, &end);
    }
    assert_eq!(state.take_crash_notices(), []);
    admitted(&mut state, START_MS + 1_000, "/draft/a", &draft("r-1", 100, 10));
}

#[test]
fn a_broken_connection_to_a_live_backend_server_is_no_crash() {
    let mut state = state();
    for (number, id) in ["m-1", "m-2", "d-1"].into_iter().enumerate() {
        let now_ms = START_MS + number as u64 * 100;
        record_broken_send(&mut state, now_ms, id, now_ms - 10);
        state.record_answer(id, 9);
        remove_backend(&mut state, now_ms + 50, id);
    }
    // A crash long after the connection broke does not count against the request.
    record_broken_send(&mut state, START_MS + 1_000, "d-2", START_MS + 900);
    fail_to_connect(&mut state, START_MS + 9_000, "d-2");
    apply_store_changes(&mut state, START_MS + 9_000, Vec::new());
    admitted(&mut state, START_MS + 9_000, "/draft/a", &draft("r-1", 100, 10));
}
