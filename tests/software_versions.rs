//! Tests of the record of software versions and of the choice of engines and waiting requests by
//! version.

mod gateway_support;

use bergamotspan::gateway::admission::Rank;
use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::backends::{Backends, EngineChoice};
use bergamotspan::gateway::engine_query::{EngineQuery, VersionNeed};
use bergamotspan::gateway::request_queue::{QueueDecision, RequestQueue, WaitingRequest};
use bergamotspan::gateway::sharing::sharer::Sharer;
use bergamotspan::gateway::software_versions::{
    HOLD_MS, PROOF_LIMIT_MS, PresentVersion, SoftwareVersions,
};
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::name::Name;

use crate::gateway_support::{
    START_MS, apply_store_changes, backend, name, prompt, record, settings,
};

/// Time for which a stream of these tests can be resumed, in milliseconds.
const RESUMABLE_MS: u64 = 15_000;
/// Start of the backend servers, in Unix milliseconds.
const BORN_MS: u64 = 5_000;

fn present(versions: &[(&str, &str)]) -> Vec<PresentVersion> {
    let mut present: Vec<_> = versions
        .iter()
        .map(|(service, software_version)| PresentVersion {
            service: name(service),
            software_version: name(software_version),
            born_ms: Some(BORN_MS),
        })
        .collect();
    present.sort();
    present
}

fn only(versions: &SoftwareVersions, now_ms: u64, service: &str) -> Option<Name> {
    versions.only(now_ms, service, RESUMABLE_MS).cloned()
}

/// Returns the record of a service that has had v1 alone since the start.
fn established() -> SoftwareVersions {
    let mut versions = SoftwareVersions::default();
    versions.record(START_MS, START_MS, &present(&[("model", "v1")]));
    versions
}

#[test]
fn a_version_is_the_only_one_once_it_was_for_as_long_as_a_stream_can_be_resumed() {
    let versions = established();
    assert_eq!(only(&versions, START_MS + RESUMABLE_MS - 1, "model"), None);
    assert_eq!(only(&versions, START_MS + RESUMABLE_MS, "model"), Some(name("v1")));
    assert_eq!(only(&versions, START_MS + RESUMABLE_MS, "other"), None);
}

#[test]
fn a_version_that_left_counts_until_its_last_stream_can_no_longer_be_resumed() {
    let mut versions = established();
    let left_ms = START_MS + 2 * RESUMABLE_MS;
    versions.record(
        left_ms - HOLD_MS,
        left_ms - HOLD_MS,
        &present(&[("model", "v1"), ("model", "v2")]),
    );
    versions.record(left_ms, left_ms, &present(&[("model", "v2")]));
    assert_eq!(only(&versions, left_ms + RESUMABLE_MS - 1, "model"), None);
    assert_eq!(only(&versions, left_ms + RESUMABLE_MS, "model"), Some(name("v2")));
}

#[test]
fn a_version_that_returns_after_the_hold_is_held_again() {
    let mut versions = established();
    let both = present(&[("model", "v1"), ("model", "v2")]);
    let added_ms = START_MS + RESUMABLE_MS;
    versions.record(added_ms, added_ms, &both);
    versions.record(added_ms + HOLD_MS, added_ms + HOLD_MS, &present(&[("model", "v1")]));
    let left_ms = added_ms + HOLD_MS;
    assert!(versions.record(left_ms + HOLD_MS - 1, left_ms + HOLD_MS - 1, &both).is_empty());
    assert_eq!(versions.held_until_ms("model", "v2"), added_ms + HOLD_MS);
    versions.record(left_ms + HOLD_MS, left_ms + HOLD_MS, &present(&[("model", "v1")]));
    let returned_ms = left_ms + 2 * HOLD_MS;
    assert_eq!(versions.record(returned_ms, returned_ms, &both), [name("model")]);
    assert_eq!(versions.held_until_ms("model", "v2"), returned_ms + HOLD_MS);
    assert_eq!(versions.held_until_ms("model", "v1"), 0);
}

#[test]
fn a_version_of_one_service_does_not_count_in_another() {
    let mut versions = SoftwareVersions::default();
    versions.record(START_MS, START_MS, &present(&[("model", "v1"), ("other", "v2")]));
    let now_ms = START_MS + RESUMABLE_MS;
    assert_eq!(only(&versions, now_ms, "model"), Some(name("v1")));
    assert_eq!(only(&versions, now_ms, "other"), Some(name("v2")));
    let changed = versions.record(
        now_ms,
        now_ms,
        &present(&[("model", "v1"), ("model", "v2"), ("other", "v2")]),
    );
    assert_eq!(changed, [name("model")]);
    assert_eq!(versions.held_until_ms("model", "v2"), now_ms + HOLD_MS);
    assert_eq!(versions.held_until_ms("other", "v2"), 0);
    assert_eq!(only(&versions, now_ms, "other"), Some(name("v2")));
}

#[test]
fn a_new_version_is_held_for_longer_than_an_instance_may_lack_knowledge_of_it() {
    const { assert!(HOLD_MS > PROOF_LIMIT_MS) };
    let mut versions = established();
    let added_ms = START_MS + 100;
    assert_eq!(
        versions.record(added_ms, added_ms, &present(&[("model", "v1"), ("model", "v2")])),
        [name("model")]
    );
    assert_eq!(versions.held_until_ms("model", "v2"), added_ms + HOLD_MS);
    assert_eq!(versions.held_until_ms("model", "v1"), 0);
    assert_eq!(only(&versions, START_MS + RESUMABLE_MS, "model"), None);
}

/// Returns the record of an instance that starts and finds two versions, born at these times.
fn started_with(born_v1_ms: Option<u64>, born_v2_ms: Option<u64>) -> SoftwareVersions {
    let mut both = present(&[("model", "v1"), ("model", "v2")]);
    both[0].born_ms = born_v1_ms;
    both[1].born_ms = born_v2_ms;
    let mut versions = SoftwareVersions::default();
    versions.record(START_MS, START_MS, &both);
    assert_eq!(only(&versions, START_MS + RESUMABLE_MS, "model"), None);
    versions
}

#[test]
fn an_instance_that_starts_amid_a_release_holds_all_but_the_version_of_the_eldest_server() {
    let held = |born_v1_ms, born_v2_ms| {
        let versions = started_with(born_v1_ms, born_v2_ms);
        ["v1", "v2"].map(|version| versions.held_until_ms("model", version))
    };
    let until_ms = START_MS + HOLD_MS;
    assert_eq!(held(Some(BORN_MS), Some(BORN_MS + 1)), [0, until_ms]);
    assert_eq!(held(Some(BORN_MS), Some(BORN_MS - 1)), [until_ms, 0]);
    assert_eq!(held(Some(BORN_MS), Some(BORN_MS)), [0, until_ms]);
    assert_eq!(held(None, Some(BORN_MS)), [until_ms, 0]);
    assert_eq!(held(None, None), [0, until_ms]);
}

#[test]
fn a_version_that_is_alone_when_the_service_becomes_known_is_not_held() {
    let mut versions = SoftwareVersions::default();
    versions.record(START_MS, START_MS, &present(&[("model", "v1"), ("other", "v2")]));
    assert_eq!(versions.held_until_ms("model", "v1"), 0);
    assert_eq!(versions.held_until_ms("other", "v2"), 0);
}

// Instances just started began streams at a version that one which had stood still did not know.
#[test]
fn an_instance_that_just_started_begins_no_stream_at_a_version_that_another_may_lack() {
    let mut started = GatewayState::new(settings(), START_MS, 1);
    let younger = BackendRecord {
        born_ms: Some(BORN_MS + 1),
        software_version: name("v2"),
        ..record("model", 2)
    };
    apply_store_changes(&mut started, START_MS, vec![engine("v1", 1), backend("v2-2", younger)]);
    assert_eq!(settled_slots(&started, START_MS + HOLD_MS - 1), 2);
    assert_eq!(settled_slots(&started, START_MS + HOLD_MS), 4);
}

#[test]
fn versions_that_may_have_come_and_gone_unnoticed_leave_no_only_one() {
    let mut versions = established();
    let gap_ms = START_MS + 2 * RESUMABLE_MS;
    assert_eq!(versions.record_gap(gap_ms), [name("model")]);
    assert_eq!(only(&versions, gap_ms + RESUMABLE_MS - 1, "model"), None);
    assert_eq!(only(&versions, gap_ms + RESUMABLE_MS, "model"), Some(name("v1")));
    versions.record(gap_ms, gap_ms, &present(&[("model", "v1"), ("model", "v2")]));
    assert_eq!(versions.held_until_ms("model", "v2"), gap_ms + HOLD_MS);
}

#[test]
fn streams_of_a_killed_instance_go_on_although_a_version_is_new() {
    let mut versions = established();
    let added_ms = START_MS + RESUMABLE_MS;
    let proved_ms = added_ms - 400;
    versions.record(added_ms, proved_ms, &present(&[("model", "v1"), ("model", "v2")]));
    let unused_until_ms = proved_ms + PROOF_LIMIT_MS;
    assert_eq!(only(&versions, unused_until_ms - 1, "model"), Some(name("v1")));
    assert!(versions.has_unused(unused_until_ms - 1, "model"));
    assert_eq!(only(&versions, unused_until_ms, "model"), None);
    assert!(!versions.has_unused(unused_until_ms, "model"));
}

#[test]
fn a_version_is_present_only_while_an_engine_has_it() {
    let mut versions = established();
    assert!(versions.is_present("model", "v1"));
    assert!(!versions.is_present("model", "v2"));
    assert!(!versions.is_present("other", "v1"));
    versions.record(START_MS + 10, START_MS + 10, &present(&[("model", "v2")]));
    assert!(!versions.is_present("model", "v1"));
}

fn engine(software_version: &str, port: u16) -> StoreItem {
    let id = format!("{software_version}-{port}");
    let software_version = name(software_version);
    backend(&id, BackendRecord { software_version, ..record("model", port) })
}

fn query(version_need: VersionNeed) -> EngineQuery {
    EngineQuery {
        deadline_ms: START_MS + 60_000,
        due_ms: START_MS + 400,
        event_gap_goal_ms: 300,
        prompt: prompt(100, 10).into(),
        tried: Vec::new(),
        version_need,
    }
}

fn only_need(software_version: &str) -> VersionNeed {
    VersionNeed::Only(name(software_version))
}

/// Returns backend servers with two slots each.
fn backends(engines: &[(&str, u16)]) -> Backends {
    let mut backends = Backends::default();
    for (software_version, port) in engines {
        if let StoreItem::Backend { id, record: Ok(record) } = engine(software_version, *port) {
            backends.upsert(0, &id, record);
        }
    }
    backends
}

fn fill(backends: &mut Backends, id: &str, running: usize) {
    let backend = backends.get_mut(id).expect("it is known");
    (0..running).for_each(|_| backend.record_send(START_MS, None, 0));
}

#[test]
fn a_stream_goes_on_at_the_version_that_began_it_even_if_that_is_busier() {
    let mut backends = backends(&[("v1", 1), ("v2", 2)]);
    fill(&mut backends, "v1-1", 1);
    let choose =
        |backends: &Backends, need| backends.choose_engine(START_MS, "model", &query(need));
    assert_eq!(choose(&backends, only_need("v1")), EngineChoice::Chosen(name("v1-1")));
    assert_eq!(choose(&backends, only_need("v2")), EngineChoice::Chosen(name("v2-2")));
    fill(&mut backends, "v1-1", 1);
    assert_eq!(choose(&backends, only_need("v1")), EngineChoice::AllBusy);
    assert_eq!(choose(&backends, only_need("v3")), EngineChoice::NoneUsable);
}

#[test]
fn slots_of_another_version_do_not_count() {
    let mut backends = backends(&[("v1", 1), ("v2", 2), ("v2", 3)]);
    fill(&mut backends, "v2-3", 1);
    let slots = |need| backends.slots_for(START_MS, "model", &need);
    assert_eq!(slots(only_need("v1")), (2, 2));
    assert_eq!(slots(only_need("v2")), (4, 3));
    assert_eq!(slots(only_need("v3")), (0, 0));
    assert_eq!(slots(VersionNeed::Any), (6, 5));
}

/// Returns the state of an instance with engines of v1, to which one of v2 was just added.
fn state_with_new_version() -> GatewayState {
    let mut state = GatewayState::new(settings(), START_MS, 1);
    apply_store_changes(&mut state, START_MS, vec![engine("v1", 1), engine("v1", 2)]);
    apply_store_changes(&mut state, START_MS + 100, vec![engine("v2", 3)]);
    state
}

fn settled_slots(state: &GatewayState, now_ms: u64) -> usize {
    state.backends().slots_for(now_ms, "model", &VersionNeed::Settled).0
}

#[test]
fn a_new_version_takes_no_resumable_streams_before_its_hold_ends() {
    let state = state_with_new_version();
    assert_eq!(settled_slots(&state, START_MS + 99 + HOLD_MS), 4);
    assert_eq!(settled_slots(&state, START_MS + 100 + HOLD_MS), 6);
    assert_eq!(state.backends().slots_for(START_MS + 100, "model", &VersionNeed::Any).0, 6);
}

#[test]
fn a_later_engine_of_a_held_version_is_held_as_well() {
    let mut state = state_with_new_version();
    apply_store_changes(&mut state, START_MS + 500, vec![engine("v2", 4)]);
    assert_eq!(settled_slots(&state, START_MS + 500), 4);
    assert_eq!(settled_slots(&state, START_MS + 100 + HOLD_MS), 8);
}

#[test]
fn an_engine_that_restarts_with_a_held_version_is_held_as_well() {
    let mut state = state_with_new_version();
    let restarted =
        BackendRecord { born_ms: Some(6_000), software_version: name("v2"), ..record("model", 2) };
    apply_store_changes(&mut state, START_MS + 500, vec![backend("v1-2", restarted)]);
    assert_eq!(settled_slots(&state, START_MS + 500), 2);
}

#[test]
fn a_held_version_serves_where_there_is_no_other() {
    let mut state = state_with_new_version();
    let gone = |id: &str| StoreItem::BackendGone { id: id.into() };
    apply_store_changes(&mut state, START_MS + 500, vec![gone("v1-1"), gone("v1-2")]);
    assert_eq!(settled_slots(&state, START_MS + 500), 2);
}

fn waiting(number: u64, route_rank: u32, version_need: VersionNeed) -> WaitingRequest {
    WaitingRequest {
        begun_ms: START_MS,
        query: query(version_need),
        expires_ms: START_MS + 1_000,
        number,
        rank: Rank { customer: 0, route: route_rank },
        sharer: Sharer::Anonymous,
    }
}

fn sent(queue: &mut RequestQueue, backends: &Backends) -> Option<(u64, Name)> {
    match queue.next_decision(START_MS, "model", backends)? {
        QueueDecision::Send { number, backend_server, .. } => Some((number, backend_server)),
        decision => panic!("{decision:?}"),
    }
}

#[test]
fn a_request_whose_version_is_full_does_not_hold_up_those_behind_it() {
    let mut backends = backends(&[("v1", 1), ("v2", 2)]);
    fill(&mut backends, "v1-1", 2);
    let mut queue = RequestQueue::default();
    queue.insert(waiting(1, 0, only_need("v1")));
    queue.insert(waiting(2, 1, VersionNeed::Settled));
    queue.insert(waiting(3, 1, only_need("v2")));
    assert_eq!(sent(&mut queue, &backends), Some((2, name("v2-2"))));
    assert_eq!(sent(&mut queue, &backends), Some((3, name("v2-2"))));
    assert_eq!(sent(&mut queue, &backends), None);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_request_that_needs_a_version_gets_its_next_slot_before_those_of_lower_rank() {
    let mut backends = backends(&[("v1", 1), ("v2", 2)]);
    fill(&mut backends, "v1-1", 2);
    fill(&mut backends, "v2-2", 2);
    let mut queue = RequestQueue::default();
    queue.insert(waiting(1, 1, VersionNeed::Settled));
    queue.insert(waiting(2, 0, only_need("v1")));
    assert_eq!(sent(&mut queue, &backends), None);
    backends.get_mut("v1-1").expect("it is known").release(0);
    assert_eq!(sent(&mut queue, &backends), Some((2, name("v1-1"))));
    fill(&mut backends, "v1-1", 1);
    assert_eq!(sent(&mut queue, &backends), None);
}
