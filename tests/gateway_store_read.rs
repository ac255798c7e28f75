//! Tests of which instance reads the store, and of the store updates between instances.

mod gateway_support;

use std::net::SocketAddr;

use bergamotspan::gateway::backends::RecordChange;
use bergamotspan::gateway::peer_digest::{DIGEST_VERSION, Digest, Envelope};
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::{StoreChanges, StoreItem};
use bergamotspan::gateway::store_read::StoreRead;
use bergamotspan::gateway::store_updates::StateChange;

use crate::gateway_support::{
    START_MS, apply_store_changes, backend, document, name, record, settings, state,
};

/// Shortest update bound in the settings of these tests, in milliseconds.
const BOUND_MS: u64 = 2_000;

fn digest(instance: &str, state: &GatewayState) -> Digest {
    Digest {
        instance: name(instance),
        incarnation: 3,
        sent_ms: 5,
        stopping: false,
        document_version: state.table().version(),
        proof_age_ms: Some(0),
        store_revision: state.store_revision().unwrap_or_default(),
        store_reachable: true,
        others: Vec::new(),
        loads: Vec::new(),
        spent: Vec::new(),
        queues: Vec::new(),
        suspects: Vec::new(),
    }
}

fn receive_digest(state: &mut GatewayState, now_ms: u64, number: u64, digest: Digest) {
    let from = SocketAddr::from(([10, 0, 0, 2], 7_600));
    let envelope = Envelope { version: DIGEST_VERSION, echoed_sent_ms: Some(now_ms), held_ms: 0 };
    state.receive_digest(now_ms, from, &envelope, &Digest { sent_ms: number, ..digest });
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
    let StoreRead::Changes { after: 1, wait_ms } = state.next_store_read(START_MS) else {
        panic!("it does not watch");
    };
    assert!(wait_ms < BOUND_MS);
}

#[test]
fn only_the_first_instance_of_a_cell_watches_while_its_proofs_arrive() {
    let mut state = state();
    let peer_digest = digest("front-0", &state);
    let mut calls = 0;
    for step in 0..100 {
        let now_ms = START_MS + step * 400;
        receive_digest(&mut state, now_ms, step, peer_digest.clone());
        calls += u64::from(!matches!(state.next_store_read(now_ms), StoreRead::Nothing(_)));
    }
    assert_eq!(calls, 0);
    let mut first = gateway_support::state();
    receive_digest(&mut first, START_MS, 1, digest("front-2", &state));
    assert!(matches!(first.next_store_read(START_MS), StoreRead::Changes { .. }));
}

#[test]
fn without_a_proof_an_instance_reads_well_before_the_shortest_update_bound() {
    let mut state = state();
    let peer_digest = digest("front-0", &state);
    receive_digest(&mut state, START_MS, 1, peer_digest.clone());
    let silent = Digest { proof_age_ms: None, ..peer_digest };
    receive_digest(&mut state, START_MS + 1_200, 2, silent.clone());
    let StoreRead::Nothing(left_ms) = state.next_store_read(START_MS + 1_200) else {
        panic!("it reads early");
    };
    let due_ms = START_MS + 1_200 + left_ms;
    assert!(due_ms + BOUND_MS / 4 <= START_MS + BOUND_MS, "{left_ms}");
    receive_digest(&mut state, due_ms, 3, silent);
    assert_eq!(state.next_store_read(due_ms), StoreRead::Changes { after: 1, wait_ms: 1 });
}

#[test]
fn the_next_instance_watches_if_the_store_does_not_answer_the_first() {
    let mut state = state();
    let peer_digest = digest("front-0", &state);
    receive_digest(&mut state, START_MS, 1, Digest { store_reachable: false, ..peer_digest });
    assert!(matches!(state.next_store_read(START_MS), StoreRead::Changes { wait_ms: 2.., .. }));
}

#[test]
fn an_instance_without_access_to_the_store_waits_while_a_peer_sends_proofs() {
    let mut state = state();
    let peer_digest = digest("front-2", &state);
    receive_digest(&mut state, START_MS, 1, peer_digest.clone());
    state.set_store_reachable(false);
    assert!(matches!(state.next_store_read(START_MS), StoreRead::Nothing(_)));
    let also_unreachable = Digest { store_reachable: false, ..peer_digest };
    receive_digest(&mut state, START_MS + 100, 2, also_unreachable);
    assert!(matches!(state.next_store_read(START_MS + 100), StoreRead::Changes { .. }));
}

#[test]
fn an_instance_that_stays_behind_reads_the_store_itself() {
    let mut state = state();
    let ahead = Digest { store_revision: 9, ..digest("front-0", &state) };
    receive_digest(&mut state, START_MS, 1, ahead.clone());
    assert!(state.lacks(&ahead));
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
        sender.store_update_since(receiver.store_revision(), 1).expect("the store was listed");
    assert!(!update.whole);
    let state_changes = receiver.apply_store_update(START_MS, update);
    let left = StateChange::Backend { id: name("m-1"), change: RecordChange::Left };
    assert_eq!(state_changes, [left, StateChange::Document { version: 4, before: 1 }]);
    assert_eq!(receiver.store_revision(), sender.store_revision());
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
    state.apply_store_listing(START_MS, START_MS, StoreChanges { items, revision: 3 });
    assert!(matches!(state.next_store_read(START_MS), StoreRead::Changes { after: 3, .. }));
}

#[test]
fn an_outdated_answer_of_the_store_changes_nothing_but_renews_the_proof() {
    let mut state = state();
    let gone =
        StoreChanges { items: vec![StoreItem::BackendGone { id: name("m-1") }], revision: 5 };
    state.apply_store_changes(START_MS, START_MS, gone);
    let late = StoreChanges { items: vec![backend("m-1", record("model", 1))], revision: 4 };
    assert!(state.apply_store_changes(START_MS + 100, START_MS + 50, late.clone()).is_empty());
    assert!(state.apply_store_listing(START_MS + 100, START_MS + 60, late).is_empty());
    assert_eq!(state.store_revision(), Some(5));
    assert_eq!(state.proof_age_ms(START_MS + 100), Some(40));
    assert!(state.backends().usable().all(|known| &*known.id != "m-1"));
}

#[test]
fn a_proof_from_a_peer_with_a_newer_revision_is_ignored() {
    let mut state = state();
    let ahead = Digest { store_revision: 2, ..digest("front-0", &state) };
    receive_digest(&mut state, START_MS + 1_000, 1, ahead.clone());
    assert_eq!(state.proof_age_ms(START_MS + 1_000), Some(1_000));
    apply_store_changes(&mut state, START_MS, vec![leaving("m-1")]);
    receive_digest(&mut state, START_MS + 1_000, 2, ahead);
    assert_eq!(state.proof_age_ms(START_MS + 1_000), Some(0));
}
