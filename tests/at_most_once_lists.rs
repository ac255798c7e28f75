//! Tests that a key runs at most once while instances are replaced, leave and join, with real
//! processes.

mod bookings;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use bookings::{ALL_LIMIT_MS, Bookings, bookings};
use serde_json::json;
use standins::caller::Outcome;
use standins::platform::PlatformFaults;
use standins::proxy::FaultMode;

const HOME: &str = "entry-2";
const INSTANCES: usize = 7;
const RECEIVER: &str = "entry-1";
const STOP_LIMIT_MS: u64 = 10_000;
const OUTCOMES_AFTER_A_RUN: [Option<Outcome>; 2] = [Some(Outcome::Done), Some(Outcome::Unknown)];

/// Starts a fleet in which one request has run, and returns its key.
fn arrange() -> (Bookings, String) {
    let bookings = Bookings::start(bookings(INSTANCES).proxy_platform());
    let key = bookings.key_with_home(HOME);
    assert_eq!(bookings.send(RECEIVER, &key), Some(Outcome::Done));
    (bookings, key)
}

fn names_without(bookings: &Bookings, without: &str) -> Vec<String> {
    bookings.names().into_iter().filter(|name| name != without).collect()
}

/// Publishes the inventory and waits until the instances use it and may grant keys.
fn publish(bookings: &mut Bookings, names: &[String]) {
    bookings.fleet.publish().unwrap();
    let version = bookings.fleet.inventory.instances_version;
    bookings.wait_list(names, version);
    bookings.wait_eligible(names, ALL_LIMIT_MS);
}

/// Sends a key through instances repeatedly while an action runs.
fn while_sending<A>(bookings: &Bookings, key: &str, names: &[String], action: A)
where
    A: FnOnce(),
{
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !ended.load(Ordering::Relaxed) {
                bookings.send_through(names, key);
            }
        });
        action();
        ended.store(true, Ordering::Relaxed);
    });
}

#[test]
fn a_home_replaced_in_place_does_not_grant_its_old_keys() {
    let (mut bookings, key) = arrange();

    bookings.fleet.restart_instance(HOME).unwrap();
    let rest = names_without(&bookings, HOME);
    while_sending(&bookings, &key, &rest, || {
        bookings.wait_eligible(&[HOME], ALL_LIMIT_MS);
        bookings.check_fresh_keys(RECEIVER, &[HOME], ALL_LIMIT_MS);
    });
    let outcome = bookings.send("entry-5", &key);

    assert!(OUTCOMES_AFTER_A_RUN.contains(&outcome), "{outcome:?}");
    bookings.check_executions();
}

#[test]
fn a_receiver_replaced_in_place_does_not_run_its_old_keys() {
    let (mut bookings, key) = arrange();

    bookings.fleet.restart_instance(RECEIVER).unwrap();
    bookings.wait_eligible(&[RECEIVER], ALL_LIMIT_MS);
    let outcomes = bookings.send_through(&bookings.names(), &key);

    assert!(outcomes.iter().all(|outcome| *outcome == Some(Outcome::Unknown)), "{outcomes:?}");
    bookings.check_fresh_keys(RECEIVER, &[HOME, RECEIVER], ALL_LIMIT_MS);
    bookings.check_executions();
}

#[test]
fn a_home_that_leaves_the_list_and_returns_grants_no_old_key() {
    let (mut bookings, key) = arrange();
    let row = bookings.fleet.inventory.instances[1].clone();
    let rest = names_without(&bookings, HOME);

    bookings.fleet.remove_from_inventory(HOME);
    publish(&mut bookings, &rest);
    let outcomes = bookings.send_through(&rest, &key);
    bookings.check_fresh_keys(RECEIVER, &["entry-3", "entry-7"], ALL_LIMIT_MS);
    bookings.fleet.inventory.instances.insert(1, row);
    publish(&mut bookings, &rest);
    bookings.check_fresh_keys(RECEIVER, &[HOME, "entry-3"], ALL_LIMIT_MS);
    bookings.send_through(&bookings.names(), &key);

    let is_expected = |outcome: &Option<Outcome>| OUTCOMES_AFTER_A_RUN.contains(outcome);
    assert!(outcomes.iter().all(is_expected), "{outcomes:?}");
    bookings.check_executions();
}

#[test]
fn the_list_changes_while_the_platform_is_out_of_reach_for_some() {
    let (mut bookings, key) = arrange();
    let fresh = bookings.key_with_home(HOME);
    for name in ["entry-3", "entry-4", "entry-5"] {
        bookings.fleet.fault_platform_link(name, FaultMode::Freeze).unwrap();
    }
    let names = bookings.names();

    bookings.fleet.remove_from_inventory(HOME);
    bookings.fleet.publish().unwrap();
    for _ in 0..3 {
        bookings.send_through(&names, &key);
        bookings.send_through(&names, &fresh);
    }

    let version = bookings.fleet.inventory.instances_version;
    let rest = names_without(&bookings, HOME);
    bookings.wait_list(&rest, version);
    bookings.wait_eligible(&rest, ALL_LIMIT_MS);
    bookings.check_fresh_keys("entry-4", &["entry-3", "entry-7"], ALL_LIMIT_MS);
    bookings.check_executions();
}

#[test]
fn a_home_is_killed_as_the_list_changes_and_an_instance_starts_on_a_stale_list() {
    let (mut bookings, key) = arrange();
    let rest = names_without(&bookings, HOME);

    bookings.fleet.instance(HOME).unwrap().process.kill();
    bookings.fleet.remove_from_inventory(HOME);
    publish(&mut bookings, &rest);
    let stale = PlatformFaults { stale_version: Some(1), ..PlatformFaults::default() };
    bookings.fleet.set_platform_faults(&stale).unwrap();
    bookings.fleet.restart_instance("entry-6").unwrap();
    bookings.send_through(&rest, &key);
    bookings.check_fresh_keys("entry-6", &["entry-3", "entry-6"], ALL_LIMIT_MS);
    let outcomes = bookings.send_through(&rest, &key);

    // The receiver itself still has the answer.
    assert_eq!(outcomes[0], Some(Outcome::Done), "{outcomes:?}");
    assert!(outcomes[1..].iter().all(|outcome| *outcome == Some(Outcome::Unknown)), "{outcomes:?}");
    bookings.check_executions();
}

#[test]
fn a_key_with_another_body_does_not_run() {
    let (bookings, key) = arrange();
    let fresh = bookings.key_with_home(HOME);
    let first = bookings.send_in_background(RECEIVER, &fresh);
    bookings.wait_executed(&fresh);

    let names = bookings.names();
    let calls: Vec<_> = [&key, &fresh]
        .into_iter()
        .flat_map(|key| names.iter().map(move |name| (name, key)))
        .map(|(name, key)| bookings.send_body(name, key, json!({ "nonce": "another" })))
        .collect();
    let outcomes: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();

    assert!(outcomes.iter().all(|outcome| *outcome == Some(Outcome::NotRun)), "{outcomes:?}");
    assert_eq!(first.join().unwrap(), Some(Outcome::Done));
    bookings.check_executions();
}

#[test]
fn a_stopping_home_hands_its_keys_over() {
    let (mut bookings, key) = arrange();
    let rest = names_without(&bookings, HOME);

    let stopped = bookings.fleet.instance(HOME).unwrap().process.terminate(STOP_LIMIT_MS).unwrap();
    let before = bookings.send_through(&rest, &key);
    bookings.fleet.remove_from_inventory(HOME);
    publish(&mut bookings, &rest);
    let after = bookings.send_through(&rest, &key);

    assert!(stopped.success());
    assert!(!before.contains(&None), "{before:?}");
    assert!(after.iter().all(|outcome| *outcome == Some(Outcome::Done)), "{after:?}");
    bookings.check_fresh_keys(RECEIVER, &["entry-3", "entry-7"], ALL_LIMIT_MS);
    bookings.check_executions();
}

#[test]
fn a_home_that_stops_while_its_key_runs_hands_it_over() {
    let mut bookings = Bookings::start(bookings(INSTANCES));
    let key = bookings.key_with_home(HOME);
    let rest = names_without(&bookings, HOME);
    let first = bookings.send_in_background(RECEIVER, &key);
    bookings.wait_executed(&key);

    bookings.fleet.instance(HOME).unwrap().process.begin_terminate().unwrap();
    bookings.fleet.remove_from_inventory(HOME);
    bookings.fleet.publish().unwrap();
    bookings.send_through(&rest, &key);
    let version = bookings.fleet.inventory.instances_version;
    bookings.wait_list(&rest, version);
    bookings.wait_eligible(&rest, ALL_LIMIT_MS);
    let after = bookings.send_through(&rest, &key);

    assert_eq!(first.join().unwrap(), Some(Outcome::Done));
    assert!(after.iter().all(|outcome| *outcome == Some(Outcome::Done)), "{after:?}");
    bookings.check_executions();
}
