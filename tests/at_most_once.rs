//! Tests that a key runs at most once while processes crash and pause, with real processes.
//!
//! Each scenario names the processes that fail and the step at which they fail. The key is sent
//! again through other instances during the failure, and through all of them afterwards.

mod bookings;

use bookings::{ALL_LIMIT_MS, Bookings, LONG_PAUSE_MS, OTHERS_LIMIT_MS, bookings};
use standins::caller::Outcome;
use standins::fleet::Process;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const INSTANCES: usize = 7;
const SERVERS: [&str; 2] = ["order-desk-1", "order-desk-2"];

/// A fault of a process.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Kill,
    Pause,
}

/// The step of a request at which processes fail.
#[derive(Clone, Copy, PartialEq)]
enum Step {
    /// The request is sent during the failure.
    BeforeGrant,
    /// Its key is granted, and its grant request waits at a paused coordinator.
    AfterGrant,
    /// It runs and has not been answered yet.
    AfterFirstByte,
}

/// The process that fails.
#[derive(Clone, Copy)]
enum Target {
    Home,
    Receiver,
    Server(usize),
}

use Fault::{Kill, Pause};
use Step::{AfterFirstByte, AfterGrant, BeforeGrant};
use Target::{Home, Receiver, Server};

/// A fleet and the processes that fail in it.
struct Scenario {
    bookings: Bookings,
    failures: Vec<(Target, Fault)>,
    /// Names of the instances, the coordinator last.
    names: Vec<String>,
}

impl Scenario {
    fn arrange(failures: &[(Target, Fault)]) -> Self {
        let bookings = Bookings::start(bookings(INSTANCES));
        let coordinator = bookings.coordinator();
        let mut names = bookings.names();
        names.retain(|name| *name != coordinator);
        names.push(coordinator);
        Self { bookings, failures: failures.to_vec(), names }
    }

    fn receiver(&self) -> &str {
        &self.names[0]
    }

    fn home(&self) -> &str {
        &self.names[1]
    }

    /// Returns the instances that don't fail.
    fn others(&self) -> &[String] {
        &self.names[2..6]
    }

    fn coordinator(&mut self) -> &mut Process {
        let name = self.names[6].clone();
        &mut self.bookings.fleet.instance(&name).unwrap().process
    }

    fn name_of(&self, target: Target) -> String {
        match target {
            Home => self.home().to_owned(),
            Receiver => self.receiver().to_owned(),
            Server(number) => SERVERS[number].to_owned(),
        }
    }

    fn process(&mut self, target: Target) -> &mut Process {
        let name = self.name_of(target);
        match target {
            Server(_) => &mut self.bookings.fleet.backend(&name).unwrap().process,
            _ => &mut self.bookings.fleet.instance(&name).unwrap().process,
        }
    }

    fn fail(&mut self) {
        for (target, fault) in self.failures.clone() {
            match fault {
                Kill => self.process(target).kill(),
                Pause => self.process(target).stop().unwrap(),
            }
        }
    }

    fn repair(&mut self) {
        for (target, fault) in self.failures.clone() {
            let name = self.name_of(target);
            match (fault, target) {
                (Kill, Server(_)) => self.bookings.fleet.restart_backend(&name).unwrap(),
                (Kill, _) => self.bookings.fleet.restart_instance(&name).unwrap(),
                (Pause, _) => self.process(target).cont().unwrap(),
            }
        }
    }

    /// Sends the request and makes the processes fail when it reaches the step.
    fn send_and_fail(&mut self, step: Step, key: &str) -> JoinHandle<Option<Outcome>> {
        let receiver = self.receiver().to_owned();
        match step {
            BeforeGrant => {
                self.fail();
                self.bookings.send_in_background(&receiver, key)
            }
            AfterGrant => {
                self.coordinator().stop().unwrap();
                let first = self.bookings.send_in_background(&receiver, key);
                self.bookings.wait_granted(self.home());
                self.fail();
                first
            }
            AfterFirstByte => {
                let first = self.bookings.send_in_background(&receiver, key);
                self.bookings.wait_executed(key);
                self.fail();
                first
            }
        }
    }
}

/// Runs one scenario and checks its executions.
fn check(step: Step, failures: &[(Target, Fault)]) {
    let mut scenario = Scenario::arrange(failures);
    let key = scenario.bookings.key_with_home(scenario.home());
    let mut calls = vec![scenario.send_and_fail(step, &key)];
    for name in &scenario.others()[..2] {
        calls.push(scenario.bookings.send_in_background(name, &key));
    }
    if failures.iter().any(|(_, fault)| *fault == Pause) {
        thread::sleep(Duration::from_millis(LONG_PAUSE_MS));
    }
    scenario.bookings.check_fresh_keys(
        &scenario.names[2],
        &scenario.others()[2..],
        OTHERS_LIMIT_MS,
    );
    scenario.repair();
    if step == AfterGrant {
        scenario.coordinator().cont().unwrap();
    }
    scenario.bookings.send_through(&scenario.bookings.names(), &key);
    for call in calls {
        call.join().unwrap();
    }
    scenario.bookings.check_fresh_keys(&scenario.names[3], &scenario.names[..2], ALL_LIMIT_MS);
    scenario.bookings.send_through(&scenario.bookings.names(), &key);
    scenario.bookings.check_executions();
}

#[test]
fn a_key_sent_to_all_instances_at_once_runs_once() {
    let bookings = Bookings::start(bookings(INSTANCES));
    for home in ["entry-1", "entry-4", "entry-7"] {
        let key = bookings.key_with_home(home);
        let names = bookings.names();
        let twice: Vec<&String> = names.iter().chain(&names).collect();

        let outcomes = bookings.send_through(&twice, &key);

        let done = outcomes.iter().filter(|outcome| **outcome == Some(Outcome::Done)).count();
        assert_eq!(done, twice.len(), "{outcomes:?}");
    }
    bookings.check_executions();
}

#[test]
fn the_receiver_is_killed_after_its_grant() {
    check(AfterGrant, &[(Receiver, Kill)]);
}

#[test]
fn the_receiver_is_killed_after_the_first_byte() {
    check(AfterFirstByte, &[(Receiver, Kill)]);
}

#[test]
fn the_receiver_is_paused_after_its_grant() {
    check(AfterGrant, &[(Receiver, Pause)]);
}

#[test]
fn the_receiver_is_paused_after_the_first_byte() {
    check(AfterFirstByte, &[(Receiver, Pause)]);
}

#[test]
fn the_home_is_killed_before_the_grant() {
    check(BeforeGrant, &[(Home, Kill)]);
}

#[test]
fn the_home_is_killed_after_its_grant() {
    check(AfterGrant, &[(Home, Kill)]);
}

#[test]
fn the_home_is_killed_after_the_first_byte() {
    check(AfterFirstByte, &[(Home, Kill)]);
}

#[test]
fn the_home_is_paused_before_the_grant() {
    check(BeforeGrant, &[(Home, Pause)]);
}

#[test]
fn the_home_is_paused_after_its_grant() {
    check(AfterGrant, &[(Home, Pause)]);
}

#[test]
fn the_home_is_paused_after_the_first_byte() {
    check(AfterFirstByte, &[(Home, Pause)]);
}

#[test]
fn a_backend_server_is_killed_before_the_grant() {
    check(BeforeGrant, &[(Server(0), Kill)]);
}

#[test]
fn the_backend_servers_are_killed_after_the_first_byte() {
    let mut scenario = Scenario::arrange(&[(Server(0), Kill), (Server(1), Kill)]);
    let key = scenario.bookings.key_with_home(scenario.home());
    let first = scenario.send_and_fail(AfterFirstByte, &key);

    let during = scenario.bookings.send_through(&scenario.others()[..2], &key);
    scenario.repair();

    assert!(!during.contains(&Some(Outcome::Done)), "{during:?}");
    assert_eq!(first.join().unwrap(), Some(Outcome::Unknown));
    scenario.bookings.check_fresh_keys(&scenario.names[2], &scenario.names[..2], OTHERS_LIMIT_MS);
    scenario.bookings.send_through(&scenario.bookings.names(), &key);
    scenario.bookings.check_executions();
}

#[test]
fn receiver_and_home_are_killed_at_once() {
    check(AfterFirstByte, &[(Receiver, Kill), (Home, Kill)]);
}

#[test]
fn the_receiver_is_paused_and_the_home_killed_after_the_grant() {
    check(AfterGrant, &[(Receiver, Pause), (Home, Kill)]);
}

#[test]
fn receiver_and_home_are_paused_after_the_grant() {
    check(AfterGrant, &[(Receiver, Pause), (Home, Pause)]);
}

#[test]
fn the_home_is_killed_and_a_backend_server_paused() {
    check(AfterFirstByte, &[(Home, Kill), (Server(1), Pause)]);
}
