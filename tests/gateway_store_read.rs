//! Tests of which instance reads the store, and of the store updates between instances.

mod gateway_support;

use std::net::SocketAddr;

use bergamotspan::gateway::backends::RecordChange;
use bergamotspan::gateway::fleet::additions::Additions;
use bergamotspan::gateway::fleet::message::{
    Body, CellReport, Envelope, MemberReport, Message, Sender, StoreStatus,
};
use bergamotspan::gateway::fleet::receiving::Received;
use bergamotspan::gateway::gateway_settings::GatewaySettings;
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::{StoreChanges, StoreItem, StorePosition};
use bergamotspan::gateway::store_read::StoreRead;
use bergamotspan::gateway::store_updates::StateChange;

use crate::gateway_support::{
    START_MS, apply_store_changes, backend, document, name, position, record, settings, state,
};

/// Shortest update bound in the settings of these tests, in milliseconds.
const BOUND_MS: u64 = 2_000;
/// Capacity of an instance that ranks before the one under test.
const LARGE: u32 = 900;
/// Capacity of an instance that ranks after it.
const SMALL: u32 = 100;

fn status(state: &GatewayState) -> StoreStatus {
    StoreStatus {
        document_version: state.table().version(),
        proof_age_ms: Some(0),
        position: state.store_position().unwrap_or_default(),
        is_reachable: true,
    }
}

fn receive(
    state: &mut GatewayState,
    now_ms: u64,
    (instance, capacity): (&str, u32),
    body: Body,
) -> Received {
    let from = SocketAddr::from(([10, 0, 0, capacity as u8], 7_600));
    let envelope = Envelope { echoed_sent_ms: Some(now_ms), ..Envelope::default() };
    let sender = Sender {
        instance: name(instance),
        incarnation: 3,
        sent_ms: now_ms,
        capacity,
        stopping: false,
    };
    let received = state.receive_message(
        now_ms,
        from,
        &envelope,
        Message { sender, body, additions: Additions::default() },
    );
    state.tick(now_ms);
    received
}

/// Receives the report of a coordinator that ranks before the instance under test and names the
/// reader of the store.
fn hear(state: &mut GatewayState, now_ms: u64, status: StoreStatus, reader: &str) -> Received {
    let report = CellReport {
        status,
        is_ready: true,
        live: 2,
        known: 2,
        reader: Some(name(reader)),
        ..CellReport::default()
    };
    receive(state, now_ms, ("front-0", LARGE), Body::Cell(Box::new(report)))
}

fn leaving(id: &str) -> StoreItem {
    let mut record = record("model", 1);
    record.leaving = true;
    record.sequence = 2;
    backend(id, record)
}

#[test]
fn an_instance_without_live_peers_watches_the_store() {
    let started = GatewayState::new(settings(), START_MS, 1);
    assert_eq!(started.next_store_read(START_MS), StoreRead::List);
    let state = state();
    let StoreRead::Changes { after, wait_ms } = state.next_store_read(START_MS) else {
        panic!("it does not watch");
    };
    assert_eq!(after, position(1));
    assert!(wait_ms < BOUND_MS);
}

#[test]
fn an_instance_that_is_no_seed_waits_a_moment_for_the_state_of_others_before_it_lists() {
    let seeds = vec![SocketAddr::from(([10, 0, 0, 9], 7_600))];
    let started = GatewayState::new(GatewaySettings { seeds, ..settings() }, START_MS, 1);
    let StoreRead::Nothing(wait_ms) = started.next_store_read(START_MS) else {
        panic!("it lists at once");
    };
    assert!(wait_ms <= 300);
    assert_eq!(started.next_store_read(START_MS + wait_ms), StoreRead::List);
}

#[test]
fn only_the_reader_of_a_cell_watches_while_its_proofs_arrive() {
    let mut member = state();
    let known = status(&member);
    let mut calls = 0;
    for step in 0..100 {
        let now_ms = START_MS + step * 300;
        hear(&mut member, now_ms, known, "front-0");
        calls += u64::from(!matches!(member.next_store_read(now_ms), StoreRead::Nothing(_)));
    }
    assert_eq!(calls, 0);
    let mut first = state();
    let report = MemberReport { status: known, ..MemberReport::default() };
    receive(&mut first, START_MS, ("front-2", SMALL), Body::Member(Box::new(report)));
    assert!(matches!(first.next_store_read(START_MS), StoreRead::Changes { .. }));
}

#[test]
fn without_a_proof_an_instance_reads_well_before_the_shortest_update_bound() {
    let mut state = state();
    let known = status(&state);
    hear(&mut state, START_MS, known, "front-0");
    let silent = StoreStatus { proof_age_ms: None, ..known };
    hear(&mut state, START_MS + 900, silent, "front-0");
    let StoreRead::Nothing(left_ms) = state.next_store_read(START_MS + 900) else {
        panic!("it reads early");
    };
    let due_ms = START_MS + 900 + left_ms;
    assert!(due_ms + BOUND_MS / 4 <= START_MS + BOUND_MS, "{left_ms}");
    hear(&mut state, due_ms, silent, "front-0");
    let read = StoreRead::Changes { after: position(1), wait_ms: 1 };
    assert_eq!(state.next_store_read(due_ms), read);
}

#[test]
fn whatever_its_name_an_instance_without_a_proof_reads_well_before_the_bound() {
    for number in 0..200 {
        let instance = name(&format!("front-{number:03}"));
        let mut member = GatewayState::new(GatewaySettings { instance, ..settings() }, START_MS, 1);
        apply_store_changes(
            &mut member,
            START_MS,
            vec![StoreItem::Document(Ok(Box::new(document(1))))],
        );
        let silent = StoreStatus { proof_age_ms: None, ..status(&member) };
        hear(&mut member, START_MS, silent, "front-0");
        let StoreRead::Nothing(left_ms) = member.next_store_read(START_MS) else {
            panic!("it reads early");
        };
        assert!(left_ms <= BOUND_MS * 3 / 4, "{number}: {left_ms}");
    }
}

#[test]
fn the_next_instance_watches_if_the_store_does_not_answer_the_first() {
    let mut coordinator = state();
    let known = status(&coordinator);
    let unreachable = StoreStatus { is_reachable: false, ..known };
    hear(&mut coordinator, START_MS, unreachable, "front-1");
    assert!(matches!(
        coordinator.next_store_read(START_MS),
        StoreRead::Changes { wait_ms: 2.., .. }
    ));
}

#[test]
fn an_instance_without_access_to_the_store_waits_while_a_peer_sends_proofs() {
    let mut state = state();
    let known = status(&state);
    let report =
        |status| Body::Member(Box::new(MemberReport { status, ..MemberReport::default() }));
    receive(&mut state, START_MS, ("front-2", SMALL), report(known));
    state.set_store_reachable(false);
    assert!(matches!(state.next_store_read(START_MS), StoreRead::Nothing(_)));
    let also_unreachable = StoreStatus { is_reachable: false, ..known };
    receive(&mut state, START_MS + 100, ("front-2", SMALL), report(also_unreachable));
    assert!(matches!(state.next_store_read(START_MS + 100), StoreRead::Changes { .. }));
}

#[test]
fn an_instance_that_fetches_what_it_lacks_does_not_load_its_link_with_the_same_from_the_store() {
    let mut state = state();
    let ahead = StoreStatus { position: position(9), ..status(&state) };
    assert!(hear(&mut state, START_MS, ahead, "front-0").fetches_update);
    assert!(state.update_fetch_mut().begin() && !state.update_fetch_mut().begin());
    assert!(matches!(state.next_store_read(START_MS + 300), StoreRead::Nothing(_)));
    // A proof that gets old is renewed all the same.
    assert!(matches!(state.next_store_read(START_MS + 5_000), StoreRead::Changes { .. }));
    // After a failure it does not count on the next fetch.
    state.update_fetch_mut().end(false);
    assert!(state.update_fetch_mut().begin());
    assert!(matches!(state.next_store_read(START_MS + 300), StoreRead::Changes { wait_ms: 1, .. }));
}

#[test]
fn an_instance_that_stays_behind_reads_the_store_itself() {
    let mut state = state();
    let ahead = StoreStatus { position: position(9), ..status(&state) };
    let received = hear(&mut state, START_MS, ahead, "front-0");
    assert!(received.fetches_update);
    let StoreRead::Nothing(left_ms) = state.next_store_read(START_MS) else {
        panic!("it does not wait")
    };
    assert!(left_ms <= 250);
    assert!(matches!(state.next_store_read(START_MS + 250), StoreRead::Changes { wait_ms: 1, .. }));
}

#[test]
fn an_update_from_a_peer_contains_all_that_is_missing() {
    let mut sender = state();
    apply_store_changes(&mut sender, START_MS, vec![leaving("m-1")]);
    apply_store_changes(
        &mut sender,
        START_MS,
        vec![StoreItem::Document(Ok(Box::new(document(4))))],
    );
    let mut receiver = state();
    let update =
        sender.store_update_since(receiver.store_position(), 1).expect("the store was listed");
    assert!(!update.whole);
    let state_changes = receiver.apply_store_update(START_MS, update);
    let left = StateChange::Backend { id: name("m-1"), change: RecordChange::Left };
    assert_eq!(state_changes, [left, StateChange::Document { version: 4, before: 1 }]);
    assert_eq!(receiver.store_position(), sender.store_position());
}

#[test]
fn a_new_instance_receives_the_whole_state_from_a_peer_while_the_store_is_silent() {
    let mut sender = state();
    apply_store_changes(&mut sender, START_MS, vec![StoreItem::BackendGone { id: name("m-2") }]);
    let mut newcomer = GatewayState::new(settings(), START_MS, 2);
    let update = sender.store_update_since(None, 0).expect("the store was listed");
    assert!(update.whole);
    newcomer.apply_store_update(START_MS, update);
    assert_eq!(newcomer.table().version(), 1);
    let ids: Vec<_> = newcomer.backends().usable().map(|known| known.id.to_string()).collect();
    assert_eq!(ids, ["d-1", "d-2", "m-1"]);
    // The state is complete but not proved to be the newest.
    assert_eq!(newcomer.proof_age_ms(START_MS), None);
}

#[test]
fn an_instance_with_lost_history_lists_the_store_despite_an_update_from_a_peer() {
    let mut state = state();
    let same = state.store_update_since(None, 1).expect("the store was listed");
    state.set_history_lost();
    assert_eq!(state.next_store_read(START_MS), StoreRead::List);
    state.apply_store_update(START_MS, same);
    assert_eq!(state.next_store_read(START_MS), StoreRead::List);
    let items = vec![backend("m-1", record("model", 1))];
    state.apply_store_listing(START_MS, START_MS, StoreChanges { items, position: position(3) });
    assert!(matches!(
        state.next_store_read(START_MS),
        StoreRead::Changes { after: StorePosition { era: 0, revision: 3 }, .. }
    ));
}

#[test]
fn an_outdated_answer_of_the_store_changes_nothing_but_renews_the_proof() {
    let mut state = state();
    let gone = StoreChanges {
        items: vec![StoreItem::BackendGone { id: name("m-1") }],
        position: position(5),
    };
    state.apply_store_changes(START_MS, START_MS, gone);
    let late =
        StoreChanges { items: vec![backend("m-1", record("model", 1))], position: position(4) };
    assert!(state.apply_store_changes(START_MS + 100, START_MS + 50, late.clone()).is_empty());
    assert!(state.apply_store_listing(START_MS + 100, START_MS + 60, late).is_empty());
    assert_eq!(state.store_position(), Some(position(5)));
    assert_eq!(state.proof_age_ms(START_MS + 100), Some(40));
    assert!(state.backends().usable().all(|known| &*known.id != "m-1"));
}

#[test]
fn a_proof_from_a_peer_with_a_newer_position_is_ignored() {
    let mut state = state();
    let ahead = StoreStatus { position: position(2), ..status(&state) };
    hear(&mut state, START_MS + 1_000, ahead, "front-0");
    assert_eq!(state.proof_age_ms(START_MS + 1_000), Some(1_000));
    apply_store_changes(&mut state, START_MS, vec![leaving("m-1")]);
    hear(&mut state, START_MS + 1_001, ahead, "front-0");
    assert_eq!(state.proof_age_ms(START_MS + 1_001), Some(0));
}

fn listing(era: u64, revision: u64, items: Vec<StoreItem>) -> StoreChanges {
    StoreChanges { items, position: StorePosition { era, revision } }
}

fn ids(state: &GatewayState) -> Vec<String> {
    state.backends().usable().map(|known| known.id.to_string()).collect()
}

/// Returns a state that has applied nine revisions of the first era: a drain and a newer document.
fn in_first_era() -> GatewayState {
    let mut state = state();
    let items = vec![leaving("m-1"), StoreItem::Document(Ok(Box::new(document(7))))];
    state.apply_store_changes(START_MS, START_MS, listing(0, 9, items));
    state
}

#[test]
fn a_store_back_from_an_older_copy_brings_back_neither_its_document_nor_a_drained_server() {
    let mut state = in_first_era();
    let old = vec![
        StoreItem::Document(Ok(Box::new(document(1)))),
        backend("m-1", record("model", 1)),
        backend("m-2", record("model", 2)),
    ];
    state.apply_store_listing(START_MS + 100, START_MS + 100, listing(1, 4, old));
    assert_eq!(state.store_position(), Some(StorePosition { era: 1, revision: 4 }));
    assert_eq!(state.table().version(), 7);
    assert!(!ids(&state).contains(&"m-1".to_owned()));
    // A revision that was seen in the first era is new in this one.
    let again = vec![StoreItem::BackendGone { id: name("m-2") }];
    let state_changes =
        state.apply_store_changes(START_MS + 200, START_MS + 200, listing(1, 9, again));
    assert_eq!(state_changes.len(), 1);
}

#[test]
fn servers_missing_after_the_return_of_the_store_are_gone_only_if_they_stay_missing() {
    let mut state = in_first_era();
    let old = vec![backend("m-2", record("model", 2))];
    state.apply_store_listing(START_MS + 100, START_MS + 100, listing(1, 4, old.clone()));
    assert_eq!(ids(&state), ["d-1", "d-2", "m-2"]);
    assert!(!matches!(state.next_store_read(START_MS + 2_000), StoreRead::List));
    assert_eq!(state.next_store_read(START_MS + 2_700), StoreRead::List);
    state.apply_store_listing(START_MS + 2_700, START_MS + 2_700, listing(1, 5, old));
    assert_eq!(ids(&state), ["m-2"]);
    assert!(!matches!(state.next_store_read(START_MS + 2_800), StoreRead::List));
}

#[test]
fn servers_that_stay_missing_are_gone_also_if_the_store_did_not_change_in_between() {
    let mut state = in_first_era();
    let old = vec![backend("m-2", record("model", 2))];
    state.apply_store_listing(START_MS + 100, START_MS + 100, listing(1, 4, old.clone()));
    state.apply_store_listing(START_MS + 2_700, START_MS + 2_700, listing(1, 4, old));
    assert_eq!(ids(&state), ["m-2"]);
}

#[test]
fn a_late_answer_of_an_earlier_era_changes_and_proves_nothing() {
    let mut state = in_first_era();
    state.apply_store_listing(START_MS + 100, START_MS + 100, listing(1, 4, Vec::new()));
    let late = listing(0, 50, vec![StoreItem::Document(Ok(Box::new(document(9))))]);
    assert!(state.apply_store_changes(START_MS + 900, START_MS + 900, late.clone()).is_empty());
    assert!(state.apply_store_listing(START_MS + 900, START_MS + 900, late).is_empty());
    assert_eq!(state.table().version(), 7);
    assert_eq!(state.proof_age_ms(START_MS + 900), Some(800));
}

#[test]
fn a_peer_in_an_earlier_era_does_not_leave_an_instance_behind_for_good() {
    let mut state = in_first_era();
    let before = StoreStatus { position: position(50), ..status(&state) };
    state.apply_store_listing(START_MS + 100, START_MS + 100, listing(1, 4, Vec::new()));
    let received = hear(&mut state, START_MS + 200, before, "front-0");
    assert!(!state.is_behind() && !received.fetches_update);
    let ahead = StoreStatus { position: StorePosition { era: 2, revision: 1 }, ..status(&state) };
    hear(&mut state, START_MS + 300, ahead, "front-0");
    assert!(state.is_behind());
}
