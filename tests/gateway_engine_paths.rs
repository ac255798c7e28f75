//! Tests when connections to backend servers go through other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bergamotspan::gateway::engine_paths::{EnginePaths, PathNotice, RoundStep, Way};
use bergamotspan::gateway::fleet::message::RosterEntry;
use bergamotspan::gateway::fleet::roster::Roster;
use bergamotspan::name::Name;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn peer(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 80))
}

/// Returns paths with these backend servers reached through others only, at this time.
fn bypassing(now_ms: u64, backend_servers: &[&str]) -> EnginePaths {
    let mut paths = EnginePaths::default();
    for backend_server in backend_servers {
        paths.record_bypassed(now_ms, &name(backend_server));
    }
    paths
}

fn direct_count(paths: &mut EnginePaths, now_ms: u64, backend_servers: &[&str]) -> usize {
    let ways = backend_servers.iter().map(|id| paths.way(now_ms, id));
    ways.filter(|way| *way == Way::DirectFirst).count()
}

#[test]
fn connections_are_direct_until_one_had_to_go_round() {
    let mut paths = EnginePaths::default();
    assert_eq!(direct_count(&mut paths, 0, &["a"; 20]), 20);
    paths.record_bypassed(100, &name("a"));
    assert_eq!(direct_count(&mut paths, 100, &["a"; 20]), 0);
    assert_eq!(direct_count(&mut paths, 100, &["b"; 20]), 20);
}

#[test]
fn one_connection_alone_tries_the_direct_way_again() {
    let mut paths = bypassing(0, &["a"]);
    assert_eq!(direct_count(&mut paths, 999, &["a"; 20]), 0);
    assert_eq!(direct_count(&mut paths, 1_000, &["a"; 20]), 1);
    // It has not told the outcome.
    assert_eq!(direct_count(&mut paths, 1_499, &["a"; 20]), 0);
    assert_eq!(direct_count(&mut paths, 1_500, &["a"; 20]), 1);
    paths.record_bypassed(1_600, &name("a"));
    assert_eq!(direct_count(&mut paths, 2_599, &["a"; 20]), 0);
    assert_eq!(direct_count(&mut paths, 2_600, &["a"; 20]), 1);
    paths.record_direct(2_610, &name("a"));
    assert_eq!(direct_count(&mut paths, 2_610, &["a"; 20]), 20);
}

#[test]
fn one_backend_server_that_is_not_reached_is_no_cut() {
    let mut paths = bypassing(0, &["a", "a", "a"]);
    assert!(!paths.is_cut_off());
    assert!(paths.take_notices().is_empty());
    assert!(!paths.is_direct("a") && paths.is_direct("b"));
}

#[test]
fn two_backend_servers_that_are_not_reached_are_no_cut_if_one_was_reached_between() {
    let mut paths = bypassing(0, &["a"]);
    paths.record_direct(10, &name("b"));
    paths.record_bypassed(20, &name("c"));
    assert!(!paths.is_cut_off());
}

#[test]
fn two_backend_servers_that_are_not_reached_far_apart_are_no_cut() {
    let mut paths = bypassing(0, &["a"]);
    paths.record_bypassed(10_000, &name("b"));
    assert!(!paths.is_cut_off());
}

#[test]
fn a_cut_bypasses_all_backend_servers_and_is_told_once() {
    let mut paths = bypassing(50, &["b", "a"]);
    paths.record_bypassed(60, &name("c"));
    assert!(paths.is_cut_off());
    let bypassed = vec![name("a"), name("b")];
    assert_eq!(paths.take_notices(), [PathNotice::CutOff { bypassed }]);
    assert!(!paths.is_direct("z"));
    assert_eq!(direct_count(&mut paths, 549, &["a", "b", "c", "z"]), 0);
}

#[test]
fn one_connection_to_any_backend_server_tries_whether_a_cut_has_ended() {
    let mut paths = bypassing(0, &["a", "b"]);
    for trial_ms in [500, 1_000, 1_500, 2_000] {
        assert_eq!(direct_count(&mut paths, trial_ms, &["a", "b", "z", "z"]), 1, "{trial_ms}");
        assert_eq!(direct_count(&mut paths, trial_ms + 499, &["a", "b", "z", "z"]), 0);
    }
}

#[test]
fn the_first_direct_connection_ends_a_cut_without_a_herd() {
    let mut paths = bypassing(0, &["a", "b", "c"]);
    paths.take_notices();
    paths.record_direct(700, &name("a"));
    let backend_server = name("a");
    let restored = PathNotice::Restored { after_ms: 700, backend_server };
    assert_eq!(paths.take_notices(), [restored]);
    assert!(!paths.is_cut_off());
    assert_eq!(direct_count(&mut paths, 700, &["a"; 10]), 10);
    // Each of the others is tried by one connection.
    assert_eq!(direct_count(&mut paths, 700, &["b"; 10]), 1);
    assert_eq!(direct_count(&mut paths, 700, &["c"; 10]), 1);
    paths.record_direct(710, &name("b"));
    assert_eq!(direct_count(&mut paths, 710, &["b"; 10]), 10);
    assert!(paths.take_notices().is_empty());
}

#[test]
fn a_backend_server_that_restarted_is_tried_directly() {
    let mut paths = bypassing(0, &["a"]);
    paths.forget("a");
    assert_eq!(direct_count(&mut paths, 10, &["a"; 5]), 5);
}

#[test]
fn an_instance_that_did_not_help_is_left_out_for_a_while() {
    let mut paths = EnginePaths::default();
    paths.leave_out(100, peer(2));
    paths.leave_out(100, peer(1));
    assert!(!paths.may_ask(2_099, peer(1)) && !paths.may_ask(2_099, peer(2)));
    assert!(paths.may_ask(2_099, peer(3)));
    paths.leave_out(2_000, peer(1));
    assert!(paths.may_ask(2_100, peer(2)) && !paths.may_ask(3_999, peer(1)));
    assert!(paths.may_ask(4_000, peer(1)));
}

#[test]
fn instances_that_only_others_have_heard_may_be_asked_unless_they_stop() {
    let entry = |instance: &str, last: u8, stopping: bool| RosterEntry {
        instance: name(instance),
        address: peer(last),
        capacity: 1_000,
        age_ms: 100,
        stopping,
    };
    let mut roster = Roster::new(name("front-1"), peer(1), &[]);
    roster.merge(1_000, &[entry("front-2", 2, false), entry("front-3", 3, true)]);
    assert!(!roster.get("front-2").expect("it is known").is_live(1_000));
    assert!(roster.has_others());
    let asked = roster.sample(&mut StdRng::seed_from_u64(1), 12);
    let asked: Vec<_> = asked.iter().map(|known| &*known.name).collect();
    assert_eq!(asked, ["front-2"]);
}

#[test]
fn a_few_instances_of_a_large_fleet_are_asked_each_as_likely_as_the_others() {
    let entry = |number: u8| RosterEntry {
        instance: name(&format!("front-{number}")),
        address: peer(number),
        capacity: 1_000,
        age_ms: 100,
        stopping: false,
    };
    let mut roster = Roster::new(name("front-0"), peer(0), &[]);
    roster.merge(1_000, &(1..=100).map(entry).collect::<Vec<_>>());
    let mut random = StdRng::seed_from_u64(1);
    let mut times = BTreeMap::new();
    for _ in 0..1_000 {
        let sampled = roster.sample(&mut random, 12);
        assert_eq!(sampled.len(), 12);
        sampled.iter().for_each(|known| *times.entry(known.name.clone()).or_insert(0) += 1);
    }
    assert_eq!(times.len(), 100);
    assert!(times.values().all(|times| (60..=180).contains(times)), "{times:?}");
}

#[test]
fn a_silent_backend_server_is_probed_once_a_second_and_only_if_it_is_reached_directly() {
    let mut paths = EnginePaths::default();
    assert!(paths.take_probe(0, &name("a")) && paths.take_probe(0, &name("b")));
    assert!(!paths.take_probe(999, &name("a")));
    assert!(paths.take_probe(1_000, &name("a")));
    paths.record_bypassed(1_100, &name("b"));
    assert!(!paths.take_probe(5_000, &name("b")));
}

#[test]
fn an_instance_whose_old_connections_bring_answers_is_not_cut_off() {
    let mut paths = EnginePaths::default();
    paths.record_bypassed(100, &name("a"));
    paths.record_answer(150);
    paths.record_bypassed(200, &name("b"));
    assert!(!paths.is_cut_off());
    paths.record_bypassed(1_200, &name("a"));
    assert!(paths.is_cut_off());
}

#[test]
fn a_connection_goes_round_only_while_no_other_is_opened_directly() {
    let mut paths = EnginePaths::default();
    assert_eq!(paths.round_step(50, 0), RoundStep::GoRound);
    paths.record_direct(100, &name("a"));
    assert_eq!(paths.round_step(150, 140), RoundStep::Wait(20));
    assert_eq!(paths.round_step(395, 140), RoundStep::Wait(5));
    assert_eq!(paths.round_step(400, 140), RoundStep::GoRound);
    paths.record_direct(401, &name("b"));
    assert_eq!(paths.round_step(401, 140), RoundStep::GiveUp);
    paths.record_bypassed(800, &name("a"));
    paths.record_bypassed(801, &name("b"));
    assert_eq!(paths.round_step(802, 140), RoundStep::GoRound);
}

#[test]
fn a_silent_backend_server_is_not_probed_while_others_answer() {
    let mut paths = EnginePaths::default();
    paths.record_answer(100);
    assert!(!paths.take_probe(349, &name("a")));
    assert!(paths.take_probe(350, &name("a")));
}
