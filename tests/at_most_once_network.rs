//! Tests that a key runs at most once while the network between the instances fails, with real
//! processes.
//!
//! The key is sent on both sides of the failure, and through all instances afterwards.

mod bookings;

use std::thread;
use std::time::Duration;

use bookings::{ALL_LIMIT_MS, Bookings, LONG_PAUSE_MS, OTHERS_LIMIT_MS, bookings};
use standins::caller::Outcome;
use standins::proxy::FaultMode;

const INSTANCES: usize = 7;

/// The links that fail.
#[derive(Clone, Copy)]
enum Failure {
    /// Every link of the home.
    Home(FaultMode),
    /// The links between the first three instances and the other four.
    Partition(FaultMode),
    /// The link between receiver and home.
    ReceiverAndHome(FaultMode),
}

/// When the links fail.
#[derive(Clone, Copy, PartialEq)]
enum Step {
    BeforeSend,
    WhileItRuns,
}

/// Indexes of receiver and home among the names; the first three instances are the smaller side of
/// a partition.
#[derive(Clone, Copy)]
struct Places {
    home: usize,
    receiver: usize,
}

const RECEIVER_ON_SMALLER_SIDE: Places = Places { home: 5, receiver: 0 };
const HOME_ON_SMALLER_SIDE: Places = Places { home: 1, receiver: 4 };
const BOTH_ON_SMALLER_SIDE: Places = Places { home: 1, receiver: 0 };

fn set_failure(bookings: &mut Bookings, places: Places, failure: Failure, heal: bool) {
    let names = bookings.names();
    let fleet = &mut bookings.fleet;
    let new_mode = |mode| if heal { FaultMode::Pass } else { mode };
    match failure {
        Failure::Home(mode) => fleet.fault_instance(&names[places.home], new_mode(mode)).unwrap(),
        Failure::Partition(mode) => {
            for (a, b) in names[..3].iter().flat_map(|a| names[3..].iter().map(move |b| (a, b))) {
                fleet.fault_link(a, b, new_mode(mode)).unwrap();
            }
        }
        Failure::ReceiverAndHome(mode) => {
            let (home, receiver) = (&names[places.home], &names[places.receiver]);
            fleet.fault_link(receiver, home, new_mode(mode)).unwrap();
        }
    }
}

/// Runs one scenario and checks its executions; may also restart the home.
fn check_with(places: Places, failure: Failure, step: Step, restart_home: bool) {
    let mut bookings = Bookings::start(bookings(INSTANCES));
    let names = bookings.names();
    let (home, receiver) = (&names[places.home], &names[places.receiver]);
    let key = bookings.key_with_home(home);
    if step == Step::BeforeSend {
        set_failure(&mut bookings, places, failure, false);
    }
    let mut calls = vec![bookings.send_in_background(receiver, &key)];
    if step == Step::WhileItRuns {
        bookings.wait_executed(&key);
        set_failure(&mut bookings, places, failure, false);
    }
    if restart_home {
        bookings.fleet.restart_instance(home).unwrap();
    }
    for _ in 0..2 {
        let both_sides = [2, 3, 6].map(|at| bookings.send_in_background(&names[at], &key));
        calls.extend(both_sides);
        thread::sleep(Duration::from_millis(LONG_PAUSE_MS / 2));
    }
    bookings.check_fresh_keys(&names[3], &[&names[4], &names[6]], OTHERS_LIMIT_MS);
    set_failure(&mut bookings, places, failure, true);
    bookings.send_through(&names, &key);
    for call in calls {
        call.join().unwrap();
    }
    bookings.check_fresh_keys(&names[2], &[home, receiver], ALL_LIMIT_MS);
    bookings.send_through(&names, &key);
    bookings.check_executions();
}

fn check(places: Places, failure: Failure, step: Step) {
    check_with(places, failure, step, false);
}

#[test]
fn a_partition_between_receiver_and_home_before_the_send() {
    check(RECEIVER_ON_SMALLER_SIDE, Failure::Partition(FaultMode::Cut), Step::BeforeSend);
}

#[test]
fn a_partition_between_receiver_and_home_while_it_runs() {
    check(RECEIVER_ON_SMALLER_SIDE, Failure::Partition(FaultMode::Freeze), Step::WhileItRuns);
}

#[test]
fn a_partition_with_the_home_on_the_smaller_side() {
    check(HOME_ON_SMALLER_SIDE, Failure::Partition(FaultMode::Freeze), Step::WhileItRuns);
}

#[test]
fn a_partition_with_both_on_the_smaller_side() {
    check(BOTH_ON_SMALLER_SIDE, Failure::Partition(FaultMode::Freeze), Step::BeforeSend);
}

#[test]
fn the_links_of_the_home_freeze_towards_their_clients() {
    check(RECEIVER_ON_SMALLER_SIDE, Failure::Home(FaultMode::FreezeToClient), Step::BeforeSend);
}

#[test]
fn the_links_of_the_home_freeze_towards_their_targets() {
    check(RECEIVER_ON_SMALLER_SIDE, Failure::Home(FaultMode::FreezeToTarget), Step::BeforeSend);
}

#[test]
fn the_link_of_receiver_and_home_freezes_one_way() {
    check(
        RECEIVER_ON_SMALLER_SIDE,
        Failure::ReceiverAndHome(FaultMode::FreezeToClient),
        Step::WhileItRuns,
    );
    // Either end may have opened the link.
    check(
        HOME_ON_SMALLER_SIDE,
        Failure::ReceiverAndHome(FaultMode::FreezeToClient),
        Step::BeforeSend,
    );
}

#[test]
fn the_links_of_the_home_stay_half_open() {
    check(RECEIVER_ON_SMALLER_SIDE, Failure::Home(FaultMode::HalfOpen), Step::BeforeSend);
}

#[test]
fn a_partition_and_a_home_replaced_in_place() {
    check_with(
        HOME_ON_SMALLER_SIDE,
        Failure::Partition(FaultMode::Freeze),
        Step::WhileItRuns,
        true,
    );
}

#[test]
fn half_open_links_and_a_home_replaced_in_place() {
    check_with(
        RECEIVER_ON_SMALLER_SIDE,
        Failure::Home(FaultMode::HalfOpen),
        Step::WhileItRuns,
        true,
    );
}

#[test]
fn a_claim_delayed_beyond_its_limit_does_not_run_twice() {
    let mut bookings = Bookings::start(bookings(INSTANCES));
    let names = bookings.names();
    let key = bookings.key_with_home(&names[5]);
    let frozen_link = Failure::ReceiverAndHome(FaultMode::Freeze);
    set_failure(&mut bookings, RECEIVER_ON_SMALLER_SIDE, frozen_link, false);

    let first = bookings.send(&names[0], &key);
    set_failure(&mut bookings, RECEIVER_ON_SMALLER_SIDE, frozen_link, true);
    bookings.check_fresh_keys(&names[3], &[&names[5]], ALL_LIMIT_MS);
    let again = bookings.send_through(&names, &key);

    assert_eq!(first, Some(Outcome::NotRun));
    assert!(again.contains(&Some(Outcome::Done)), "{again:?}");
    bookings.check_executions();
}
