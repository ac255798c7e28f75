//! Tests of what is known of the origins of streams, and of the question for one.

mod gateway_support;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bergamotspan::gateway::fleet::pending_origin::{OriginSource, OriginStep, PendingOrigin};
use bergamotspan::gateway::stream_origins::{StreamOrigin, StreamOrigins, stream_number};

use crate::gateway_support::{START_MS, address, name};

/// Time for which a stream can be resumed, in milliseconds.
const RESUMABLE_MS: u64 = 32_000;
/// Time after which an origin is dropped when the next one is recorded, in milliseconds.
const DROPPED_MS: u64 = 36_000;
/// Most streams of one generation.
const GENERATION_LIMIT: u64 = 8_192;
/// Time after which the next generation starts, in milliseconds.
const GENERATION_MS: u64 = 4_000;

fn known_origins() -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.set_resumable_ms(RESUMABLE_MS);
    origins
}

fn origin(software_version: &str) -> StreamOrigin {
    StreamOrigin { service: name("model"), software_version: name(software_version) }
}

#[test]
fn a_stream_with_two_origins_is_unknown_and_stays_so() {
    let mut origins = known_origins();
    origins.record(START_MS, 1, origin("v1"), true);
    origins.record(START_MS, 1, origin("v1"), false);
    assert_eq!(origins.origin(1), Some(&origin("v1")));
    origins.record(START_MS + 10, 1, origin("v2"), false);
    assert_eq!(origins.origin(1), None);
    origins.record(START_MS + GENERATION_MS, 1, origin("v1"), true);
    assert_eq!(origins.origin(1), None);
}

#[test]
fn an_origin_at_another_service_is_a_conflict() {
    let mut origins = known_origins();
    origins.record(START_MS, 1, origin("v1"), true);
    let other = StreamOrigin { service: name("other"), ..origin("v1") };
    origins.record(START_MS, 1, other, false);
    assert_eq!(origins.origin(1), None);
}

#[test]
fn an_origin_is_kept_for_as_long_as_a_stream_can_be_resumed_and_then_dropped() {
    let mut origins = known_origins();
    origins.record(START_MS, 7, origin("v2"), false);
    origins.record(START_MS + GENERATION_MS - 1, 1, origin("v1"), false);
    for now_ms in (START_MS + GENERATION_MS..START_MS + DROPPED_MS).step_by(500) {
        origins.record(now_ms, 2, origin("v1"), false);
        assert_eq!(origins.origin(1), Some(&origin("v1")), "after {} ms", now_ms - START_MS);
    }
    const { assert!(DROPPED_MS - GENERATION_MS >= RESUMABLE_MS) };
    origins.record(START_MS + DROPPED_MS, 2, origin("v1"), false);
    assert_eq!((origins.origin(1), origins.origin(7)), (None, None));
}

#[test]
fn a_stream_that_goes_on_is_kept_from_then_on() {
    let mut origins = known_origins();
    origins.record(START_MS, 1, origin("v1"), true);
    origins.record(START_MS + 20_000, 1, origin("v1"), false);
    origins.record(START_MS + 20_000 + RESUMABLE_MS, 2, origin("v1"), false);
    assert_eq!(origins.origin(1), Some(&origin("v1")));
    let own: BTreeSet<u64> = origins.own().map(|(stream, _)| stream).collect();
    assert_eq!(own, BTreeSet::from([1]));
}

#[test]
fn a_flood_of_streams_is_bounded_and_leaves_room_in_the_next_generation() {
    let mut origins = known_origins();
    (0..GENERATION_LIMIT + 100).for_each(|stream| {
        origins.record(START_MS, stream, origin("v1"), false);
    });
    assert_eq!(origins.len() as u64, GENERATION_LIMIT);
    assert_eq!(origins.origin(GENERATION_LIMIT), None);
    origins.record(START_MS + GENERATION_MS, GENERATION_LIMIT, origin("v1"), false);
    assert_eq!(origins.origin(GENERATION_LIMIT), Some(&origin("v1")));
}

#[test]
fn only_streams_that_began_here_are_own() {
    let mut origins = known_origins();
    assert!(origins.is_empty());
    origins.record(START_MS, 1, origin("v1"), true);
    origins.record(START_MS, 2, origin("v1"), false);
    let own: Vec<_> = origins.own().map(|(stream, origin)| (stream, origin.clone())).collect();
    assert_eq!(own, [(1, origin("v1"))]);
}

#[test]
fn customers_with_the_same_request_ids_have_different_streams() {
    let customers = [None, Some("clinic"), Some("desk"), Some("desk-1")];
    let ids = ["1", "-11", "r-1", "clinic", "desk"];
    let numbers: BTreeSet<u64> = customers
        .into_iter()
        .flat_map(|customer| ids.map(|id| stream_number(customer, id)))
        .collect();
    assert_eq!(numbers.len(), customers.len() * ids.len());
    assert_ne!(stream_number(Some("desk"), "-11"), stream_number(Some("desk-1"), "1"));
}

fn homes() -> Vec<SocketAddr> {
    ["10.1.0.1:7600", "10.1.0.2:7600", "10.1.0.3:7600"].map(address).to_vec()
}

#[test]
fn the_first_home_that_knows_the_origin_decides() {
    let homes = homes();
    let mut pending = PendingOrigin::new(1, homes.clone(), None);
    assert_eq!(pending.on_silence(), OriginStep::Ask(homes.clone()));
    assert_eq!(pending.on_answer(homes[1], None), OriginStep::Wait);
    assert_eq!(
        pending.on_answer(homes[0], Some((origin("v1"), OriginSource::Home))),
        OriginStep::Found(origin("v1"), OriginSource::Home)
    );
}

#[test]
fn an_origin_that_no_home_knows_is_unknown_as_soon_as_all_have_answered() {
    let homes = homes();
    let mut pending = PendingOrigin::new(1, homes.clone(), None);
    pending.on_silence();
    assert_eq!(pending.on_answer(homes[0], None), OriginStep::Wait);
    assert_eq!(pending.on_answer(homes[0], None), OriginStep::Wait);
    assert_eq!(pending.on_answer(homes[1], None), OriginStep::Wait);
    assert_eq!(pending.on_answer(homes[2], None), OriginStep::Unknown);
}

#[test]
fn silent_homes_are_asked_once_more_and_then_the_origin_is_unknown() {
    let homes = homes();
    let mut pending = PendingOrigin::new(1, homes.clone(), None);
    pending.on_silence();
    pending.on_answer(homes[1], None);
    assert_eq!(pending.on_silence(), OriginStep::Ask(vec![homes[0], homes[2]]));
    assert_eq!(pending.on_silence(), OriginStep::Unknown);
}

#[test]
fn an_instance_without_homes_to_ask_knows_no_origin() {
    assert_eq!(PendingOrigin::new(1, Vec::new(), None).on_silence(), OriginStep::Unknown);
}

#[test]
fn a_document_that_shortens_the_time_drops_no_stream_that_began_before() {
    let mut origins = known_origins();
    origins.record(START_MS, 1, origin("v1"), true);
    origins.set_resumable_ms(1_000);
    assert_eq!(origins.resumable_ms(), RESUMABLE_MS);
    origins.record(START_MS + RESUMABLE_MS, 2, origin("v1"), true);
    assert_eq!(origins.origin(1), Some(&origin("v1")));
}

#[test]
fn a_home_that_knows_the_stream_overrules_those_that_know_one_version_alone() {
    let homes = homes();
    let mut pending = PendingOrigin::new(1, homes.clone(), Some(origin("v1")));
    pending.on_silence();
    let only = Some((origin("v1"), OriginSource::OnlyVersion));
    assert_eq!(pending.on_answer(homes[0], only), OriginStep::Wait);
    let known = Some((origin("v2"), OriginSource::Home));
    let found = OriginStep::Found(origin("v2"), OriginSource::Home);
    assert_eq!(pending.on_answer(homes[1], known), found);
}

#[test]
fn instances_that_know_different_versions_alone_leave_the_origin_unknown() {
    let homes = homes();
    let mut pending = PendingOrigin::new(1, homes.clone(), Some(origin("v1")));
    pending.on_silence();
    let other = Some((origin("v2"), OriginSource::OnlyVersion));
    pending.on_answer(homes[0], other);
    let only = Some((origin("v1"), OriginSource::OnlyVersion));
    pending.on_answer(homes[1], only);
    assert_eq!(pending.on_answer(homes[2], None), OriginStep::Unknown);
}

#[test]
fn the_only_version_counts_where_no_home_knows_the_stream() {
    let homes = homes();
    let mut pending = PendingOrigin::new(1, homes.clone(), Some(origin("v1")));
    assert_eq!(pending.on_silence(), OriginStep::Ask(homes.clone()));
    assert_eq!(pending.on_silence(), OriginStep::Ask(homes));
    let found = OriginStep::Found(origin("v1"), OriginSource::OnlyVersion);
    assert_eq!(pending.on_silence(), found);
}
