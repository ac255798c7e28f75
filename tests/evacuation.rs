//! Tests of evacuated data centres: how far the set is known, and what it changes for requests.

mod gateway_support;

use bergamotspan::gateway::admission::{Admission, RefusalReason};
use bergamotspan::gateway::dispatching::DispatchDecision;
use bergamotspan::gateway::evacuation::evacuated_set::{EvacuatedSet, Lack};
use bergamotspan::gateway::fleet::additions::ToldEvacuations;
use bergamotspan::gateway::fleet::message::{Body, Envelope};
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::{StoreChanges, StoreItem, StorePosition};
use bergamotspan::gateway::store_log::StoreUpdate;
use bergamotspan::gateway::store_read::StoreRead;
use bergamotspan::name::Name;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

use crate::gateway_support::{
    START_MS, admit, admitted, apply_store_changes, backend, draft, metadata, name, position,
    record, refused, state,
};

/// Time after which a store from an older copy is believed, in milliseconds.
const SETTLE_MS: u64 = 2_500;

fn evacuated(data_centre: &str) -> StoreItem {
    StoreItem::Evacuated { data_centre: name(data_centre) }
}

fn ended(data_centre: &str) -> StoreItem {
    StoreItem::EvacuationEnded { data_centre: name(data_centre) }
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn told(position: StorePosition, is_settled: bool, names: &[&str]) -> ToldEvacuations {
    let data_centres = names.iter().map(|text| name(text)).collect();
    ToldEvacuations { age_ms: 0, data_centres, is_settled, position }
}

/// Returns a set that names these as of the first era's revision 10.
fn set(names: &[&str]) -> EvacuatedSet {
    let mut set = EvacuatedSet::default();
    let items: Vec<_> = names.iter().map(|text| evacuated(text)).collect();
    set.merge_listing(0, position(10), &items);
    set
}

fn names(set: &EvacuatedSet) -> Vec<&str> {
    set.data_centres().iter().map(|name| &**name).collect()
}

/// Returns a state with servers of both services in `umea-a` and `umea-b`, of which these data centres
/// are evacuated.
fn state_without(data_centres: &[&str]) -> GatewayState {
    let mut state = state();
    let mut items = Vec::new();
    for (id, service, port) in [("m-3", "model", 5), ("d-3", "desk", 6)] {
        let data_centre = name("umea-b");
        let record = bergamotspan::gateway::backend_record::BackendRecord {
            data_centre,
            ..record(service, port)
        };
        items.push(backend(id, record));
    }
    apply_store_changes(&mut state, START_MS, items);
    let items = data_centres.iter().map(|text| evacuated(text)).collect();
    apply_store_changes(&mut state, START_MS, items);
    state
}

fn sent_to(state: &mut GatewayState, path: &str, tried: &[Name]) -> Option<Name> {
    let metadata = if path == "/draft/a" { draft("r-1", 100, 20) } else { metadata("r-1") };
    let plan = admitted(state, START_MS, path, &metadata);
    match state.dispatch(START_MS, &plan, tried) {
        DispatchDecision::Send(send) => Some(send.backend_server),
        _ => None,
    }
}

#[test]
fn an_evacuation_ends_by_its_tombstone_or_a_listing_without_it_and_by_nothing_else() {
    let mut by_changes = set(&["a", "b"]);
    by_changes.merge_changes(0, position(10), position(12), &[evacuated("c")]);
    assert_eq!(names(&by_changes), ["a", "b", "c"]);
    by_changes.merge_changes(
        0,
        position(12),
        position(14),
        &[ended("a"), evacuated("a"), ended("b")],
    );
    assert_eq!(names(&by_changes), ["a", "c"]);
    let mut by_listing = set(&["a", "b"]);
    by_listing.merge_listing(0, position(9), &[]);
    assert_eq!(names(&by_listing), ["a", "b"], "an older listing proves nothing");
    by_listing.merge_listing(0, position(11), &[evacuated("b")]);
    assert_eq!(names(&by_listing), ["b"]);
}

#[test]
fn changes_are_taken_only_if_all_before_them_are_known() {
    let mut set = set(&["a"]);
    set.merge_changes(0, position(11), position(15), &[ended("a")]);
    assert_eq!((names(&set), set.position()), (vec!["a"], Some(position(10))));
    assert_eq!(set.lack(position(15)), Some(Lack::ChangesAfter(position(10))));
    set.merge_changes(0, position(10), position(15), &[ended("a")]);
    assert_eq!((names(&set), set.lack(position(15))), (vec![], None));
    assert_eq!(set.lack(at(1, 3)), Some(Lack::All));
}

#[test]
fn an_older_copy_of_the_store_ends_an_evacuation_only_if_it_lacks_it_still_later() {
    let mut set = set(&["a", "b"]);
    set.merge_listing(100, at(1, 4), &[evacuated("b"), evacuated("c")]);
    assert_eq!(names(&set), ["a", "b", "c"]);
    set.merge_listing(100 + SETTLE_MS - 1, at(1, 4), &[evacuated("b")]);
    assert!(!set.is_settling_due(100 + SETTLE_MS - 1));
    assert_eq!(names(&set), ["a", "b", "c"]);
    assert!(set.is_settling_due(100 + SETTLE_MS));
    set.merge_listing(100 + SETTLE_MS, at(1, 4), &[evacuated("b")]);
    assert_eq!(names(&set), ["b"]);
    // What an instance tells that has not settled it no longer counts, though its position is later.
    set.merge_told(3_000, &told(at(1, 9), false, &["a", "b"]));
    assert_eq!(names(&set), ["b"]);
}

#[test]
fn a_told_set_of_an_earlier_position_changes_nothing() {
    let mut set = set(&["a"]);
    set.merge_told(0, &told(position(9), true, &["x"]));
    set.merge_told(0, &told(position(10), true, &["x"]));
    assert_eq!(names(&set), ["a"]);
    set.merge_told(0, &told(position(11), true, &[]));
    assert!(names(&set).is_empty());
}

proptest! {
    #[test]
    fn sets_that_are_told_in_any_order_give_the_same(
        order in Just((0_u64..12).collect::<Vec<_>>()).prop_shuffle(),
        seen in proptest::collection::vec(0_u8..8, 12),
    ) {
        let told_at = |revision: u64| {
            let bits = seen[revision as usize];
            let named = ["a", "b", "c"].into_iter().enumerate();
            let named = named.filter(|(bit, _)| bits & (1 << bit) != 0).map(|(_, text)| text);
            told(position(revision), true, &named.collect::<Vec<_>>())
        };
        let mut set = EvacuatedSet::default();
        order.iter().for_each(|revision| drop(set.merge_told(0, &told_at(*revision))));
        prop_assert_eq!(set.data_centres(), &told_at(11).data_centres[..]);
    }
}

#[test]
fn backend_servers_of_an_evacuated_data_centre_get_no_new_work() {
    for path in ["/draft/a", "/booking/a"] {
        let mut state = state_without(&["umea-a", "elsewhere"]);
        let only = if path == "/draft/a" { "m-3" } else { "d-3" };
        assert_eq!(sent_to(&mut state, path, &[]).as_deref(), Some(only));
        assert_eq!(sent_to(&mut state, path, &[name(only)]), None);
        assert!(!state.may_send_to("m-1") && state.may_send_to(only));
    }
}

#[test]
fn a_request_that_waits_gets_no_place_in_an_evacuated_data_centre() {
    let mut state = state_without(&["umea-b"]);
    for _ in 0..4 {
        assert!(sent_to(&mut state, "/draft/a", &[]).is_some());
    }
    state.record_slot_time(1.0);
    (0..200).for_each(|_| state.record_slot_time(1.0));
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-9", 100, 20));
    assert!(matches!(state.dispatch(START_MS, &plan, &[]), DispatchDecision::Wait(_)));
    assert!(state.dispatch_waiting(START_MS + 10).is_empty(), "m-3 has free slots");
    apply_store_changes(&mut state, START_MS + 10, vec![ended("umea-b")]);
    assert_eq!(state.dispatch_waiting(START_MS + 20).len(), 1);
}

#[test]
fn a_silent_stream_in_an_evacuated_data_centre_moves_to_any_free_slot() {
    let mut state = state_without(&["umea-a"]);
    assert_eq!(sent_to(&mut state, "/draft/a", &[]).as_deref(), Some("m-3"));
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-2", 100, 20));
    // Its own server has more free slots, but takes no new work.
    assert!(state.may_move_stream(START_MS, &plan, "m-1", 1_000));
    assert_eq!(sent_to(&mut state, "/draft/a", &[]).as_deref(), Some("m-3"));
    assert!(!state.may_move_stream(START_MS, &plan, "m-1", 1_000));
}

#[test]
fn a_service_all_of_whose_servers_are_evacuated_refuses_at_once() {
    let mut state = state_without(&["umea-a", "umea-b"]);
    for path in ["/draft/a", "/booking/a"] {
        let refusal = refused(&mut state, START_MS, path, &draft("r-1", 100, 20));
        assert_eq!(refusal.reason, RefusalReason::Evacuated);
        assert!(refusal.retry_after_ms.is_some());
    }
    assert!(state.is_ready(START_MS), "the balancer must still reach an instance that says so");
    apply_store_changes(&mut state, START_MS, vec![ended("umea-b")]);
    let arrived = admit(&mut state, START_MS, "/draft/a", &draft("r-1", 100, 20));
    assert!(matches!(arrived, Admission::Forward(_)));
}

#[test]
fn a_data_centre_of_which_no_server_is_known_counts_as_soon_as_there_is_one() {
    let mut state = state_without(&["later"]);
    let moved = bergamotspan::gateway::backend_record::BackendRecord {
        data_centre: name("later"),
        sequence: 2,
        ..record("model", 1)
    };
    apply_store_changes(&mut state, START_MS, vec![backend("m-1", moved)]);
    assert!(!state.may_send_to("m-1"));
    let tried = [name("m-2"), name("m-3")];
    assert_eq!(sent_to(&mut state, "/draft/a", &tried), None);
}

/// A store update as builds before evacuations read it.
#[derive(Deserialize, Serialize)]
struct EarlierUpdate {
    facts: Vec<EarlierItem>,
    position: StorePosition,
    whole: bool,
}

#[derive(Deserialize, Serialize)]
enum EarlierItem {
    Backend { id: Name },
    BackendGone { id: Name },
}

#[test]
fn an_earlier_build_reads_updates_and_an_instance_that_lacks_evacuations_reads_them_itself() {
    let mut sender = state_without(&["umea-a"]);
    let mut receiver = state();
    let update = sender.store_update_since(receiver.store_position(), 1).expect("listed");
    let mut bytes = Vec::new();
    ciborium::into_writer(&update, &mut bytes).expect("encodable");
    let earlier: EarlierUpdate = ciborium::from_reader(&bytes[..]).expect("readable");
    assert_eq!(earlier.facts.len(), 2);
    // An earlier build passes on the same without the evacuations.
    let passed_on = StoreUpdate { evacuations: None, ..update };
    receiver.apply_store_update(START_MS, passed_on);
    assert!(receiver.may_send_to("m-1"));
    let known = position(1);
    let later_ms = START_MS + 1_250;
    // A report that brings nothing new does not put the read off.
    let body = Body::Member(Box::default());
    let mut message = sender.message(START_MS, body);
    message.sender.instance = name("front-9");
    let nothing_new = told(position(1), true, &[]);
    message.additions.evacuations = Some(nothing_new);
    let from = gateway_support::address("10.0.0.9:7600");
    receiver.receive_message(START_MS + 1_000, from, &Envelope::default(), message);
    receiver.record_proof(later_ms);
    assert_eq!(receiver.next_store_read(later_ms), StoreRead::Missed { after: known });
    let items = vec![evacuated("umea-a")];
    let changes = StoreChanges { items, position: sender.store_position().expect("listed") };
    receiver.apply_missed_changes(later_ms, known, &changes);
    assert!(!receiver.may_send_to("m-1"));
    assert_ne!(receiver.next_store_read(later_ms), StoreRead::Missed { after: known });
    // A later one from a build that knows them needs no read.
    apply_store_changes(&mut sender, START_MS, vec![ended("umea-a")]);
    let update = sender.store_update_since(receiver.store_position(), 1).expect("listed");
    receiver.apply_store_update(later_ms, update);
    assert!(receiver.may_send_to("m-1"));
}

#[test]
fn names_without_bounds_do_no_harm_to_the_rest() {
    let mut state = state_without(&["umea-a"]);
    let long = "x".repeat(10_000);
    let mut items: Vec<_> = (0..5_000).map(|number| evacuated(&format!("z-{number}"))).collect();
    items.push(evacuated(&long));
    items.push(evacuated(""));
    let changes = apply_store_changes(&mut state, START_MS, items);
    assert_eq!(state.evacuated().len(), 5_002);
    assert_eq!(changes.len(), 2, "{} changes", changes.len());
    assert_eq!(sent_to(&mut state, "/draft/a", &[]).as_deref(), Some("m-3"));
    let report = Body::Member(Box::default());
    let message = state.message(START_MS, report);
    assert_eq!(message.additions.evacuations, None, "it is left to store updates");
}
