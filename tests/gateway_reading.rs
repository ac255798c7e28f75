//! Which instance reads the store, and what instances tell each other of it.

mod gateway_support;

use std::net::SocketAddr;

use bergamotspan::gateway::backends::RecordChange;
use bergamotspan::gateway::beliefs::Belief;
use bergamotspan::gateway::peer_digest::{DIGEST_VERSION, Digest, Envelope};
use bergamotspan::gateway::reading::Reading;
use bergamotspan::gateway::state::State;
use bergamotspan::gateway::store_fact::{StoreChanges, StoreFact};

use crate::gateway_support::{START_MS, backend, document, learn, name, record, settings, state};

/// Shortest bound on news in the settings of these tests, in milliseconds.
const BOUND_MS: u64 = 2_000;

fn digest(instance: &str, state: &State) -> Digest {
    Digest {
        instance: name(instance),
        incarnation: 3,
        sent_ms: 5,
        stopping: false,
        document_version: state.table().version(),
        proof_age_ms: Some(0),
        store_revision: state.store_revision().unwrap_or_default(),
        store_answers: true,
        others: Vec::new(),
        loads: Vec::new(),
        spent: Vec::new(),
        lines: Vec::new(),
        suspects: Vec::new(),
    }
}

fn hear(state: &mut State, now_ms: u64, number: u64, digest: Digest) {
    let from = SocketAddr::from(([10, 0, 0, 2], 7_600));
    let envelope = Envelope { version: DIGEST_VERSION, echoed_sent_ms: Some(now_ms), held_ms: 0 };
    state.hear(now_ms, from, &envelope, &Digest { sent_ms: number, ..digest });
}

fn leaving(id: &str) -> StoreFact {
    let mut record = record("model", 1);
    record.leaving = true;
    record.sequence = 2;
    backend(id, record)
}

#[test]
fn an_instance_that_hears_no_other_watches_the_store() {
    let started = State::new(settings(), START_MS, 1);
    assert_eq!(started.reading(START_MS), Reading::List);
    let state = state();
    let Reading::Changes { after: 1, wait_ms } = state.reading(START_MS) else {
        panic!("it does not watch");
    };
    assert!(wait_ms < BOUND_MS);
}

#[test]
fn only_the_first_instance_of_a_cell_watches_while_its_proofs_arrive() {
    let mut state = state();
    let told = digest("front-0", &state);
    let mut calls = 0;
    for step in 0..100 {
        let now_ms = START_MS + step * 400;
        hear(&mut state, now_ms, step, told.clone());
        calls += u64::from(!matches!(state.reading(now_ms), Reading::Nothing(_)));
    }
    assert_eq!(calls, 0);
    let mut first = gateway_support::state();
    hear(&mut first, START_MS, 1, digest("front-2", &state));
    assert!(matches!(first.reading(START_MS), Reading::Changes { .. }));
}

#[test]
fn without_a_proof_an_instance_reads_well_before_the_bound_on_news() {
    let mut state = state();
    let told = digest("front-0", &state);
    hear(&mut state, START_MS, 1, told.clone());
    let silent = Digest { proof_age_ms: None, ..told };
    hear(&mut state, START_MS + 1_200, 2, silent.clone());
    let Reading::Nothing(rest_ms) = state.reading(START_MS + 1_200) else {
        panic!("it reads early");
    };
    let due_ms = START_MS + 1_200 + rest_ms;
    assert!(due_ms + BOUND_MS / 4 <= START_MS + BOUND_MS, "{rest_ms}");
    hear(&mut state, due_ms, 3, silent);
    assert_eq!(state.reading(due_ms), Reading::Changes { after: 1, wait_ms: 1 });
}

#[test]
fn an_instance_that_the_store_does_not_answer_leaves_the_watch_to_the_next() {
    let mut state = state();
    let told = digest("front-0", &state);
    hear(&mut state, START_MS, 1, Digest { store_answers: false, ..told });
    assert!(matches!(state.reading(START_MS), Reading::Changes { wait_ms: 2.., .. }));
}

#[test]
fn an_instance_that_the_store_refuses_rests_while_another_proves_what_it_knows() {
    let mut state = state();
    let told = digest("front-2", &state);
    hear(&mut state, START_MS, 1, told.clone());
    state.set_store_answers(false);
    assert!(matches!(state.reading(START_MS), Reading::Nothing(_)));
    let refused_too = Digest { store_answers: false, ..told };
    hear(&mut state, START_MS + 100, 2, refused_too);
    assert!(matches!(state.reading(START_MS + 100), Reading::Changes { .. }));
}

#[test]
fn an_instance_that_stays_behind_reads_the_store_itself() {
    let mut state = state();
    let ahead = Digest { store_revision: 9, ..digest("front-0", &state) };
    hear(&mut state, START_MS, 1, ahead.clone());
    assert!(state.lacks(&ahead));
    let Reading::Nothing(rest_ms) = state.reading(START_MS) else { panic!("it does not wait") };
    assert!(rest_ms <= 250);
    assert!(matches!(state.reading(START_MS + 250), Reading::Changes { wait_ms: 1, .. }));
}

#[test]
fn news_of_another_instance_are_all_that_is_missing() {
    let mut knowing = state();
    learn(&mut knowing, START_MS, vec![leaving("m-1")]);
    learn(&mut knowing, START_MS, vec![StoreFact::Document(Ok(Box::new(document(4))))]);
    let mut lacking = state();
    let news = knowing.news_after(lacking.store_revision(), 1).expect("it knows the store");
    assert!(!news.whole);
    let beliefs = lacking.learn_news(START_MS, news);
    let left = Belief::Backend { id: name("m-1"), change: RecordChange::Left };
    assert_eq!(beliefs, [left, Belief::Document { version: 4, before: 1 }]);
    assert_eq!(lacking.store_revision(), knowing.store_revision());
}

#[test]
fn a_newcomer_learns_everything_from_another_instance_while_the_store_is_silent() {
    let mut knowing = state();
    learn(&mut knowing, START_MS, vec![StoreFact::BackendGone { id: name("m-2") }]);
    let mut newcomer = State::new(settings(), START_MS, 2);
    let news = knowing.news_after(None, 0).expect("it knows the store");
    assert!(news.whole);
    newcomer.learn_news(START_MS, news);
    assert_eq!(newcomer.table().version(), 1);
    let ids: Vec<_> = newcomer.backends().usable().map(|known| known.id.to_string()).collect();
    assert_eq!(ids, ["d-1", "d-2", "m-1"]);
    // Known, yet not proved to be the newest.
    assert_eq!(newcomer.proof_age_ms(START_MS), None);
}

#[test]
fn an_instance_whose_history_is_gone_lists_the_store_though_others_know_no_more() {
    let mut state = state();
    let same = state.news_after(None, 1).expect("it knows the store");
    state.lose_history();
    assert_eq!(state.reading(START_MS), Reading::List);
    state.learn_news(START_MS, same);
    assert_eq!(state.reading(START_MS), Reading::List);
    let facts = vec![backend("m-1", record("model", 1))];
    state.learn_all(START_MS, START_MS, StoreChanges { facts, revision: 3 });
    assert!(matches!(state.reading(START_MS), Reading::Changes { after: 3, .. }));
}

#[test]
fn an_answer_that_news_have_overtaken_changes_nothing_and_proves_all_the_same() {
    let mut state = state();
    let gone =
        StoreChanges { facts: vec![StoreFact::BackendGone { id: name("m-1") }], revision: 5 };
    state.learn(START_MS, START_MS, gone);
    let late = StoreChanges { facts: vec![backend("m-1", record("model", 1))], revision: 4 };
    assert!(state.learn(START_MS + 100, START_MS + 50, late.clone()).is_empty());
    assert!(state.learn_all(START_MS + 100, START_MS + 60, late).is_empty());
    assert_eq!(state.store_revision(), Some(5));
    assert_eq!(state.proof_age_ms(START_MS + 100), Some(40));
    assert!(state.backends().usable().all(|known| &*known.id != "m-1"));
}

#[test]
fn the_proof_of_an_instance_that_knows_more_proves_nothing_here() {
    let mut state = state();
    let ahead = Digest { store_revision: 2, ..digest("front-0", &state) };
    hear(&mut state, START_MS + 1_000, 1, ahead.clone());
    assert_eq!(state.proof_age_ms(START_MS + 1_000), Some(1_000));
    learn(&mut state, START_MS, vec![leaving("m-1")]);
    hear(&mut state, START_MS + 1_000, 2, ahead);
    assert_eq!(state.proof_age_ms(START_MS + 1_000), Some(0));
}
