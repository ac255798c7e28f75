//! Tests of published configuration in a fleet of seven real instances: each change is in force
//! everywhere in time, also while the platform, links or instances fail.

mod seven;

use std::process::Command;

use seven::{
    IN_FORCE_LIMIT_MS, NAMES, address_of, assert_stays, draft, seven_fleet, status, version_at,
    wait_in_force, wait_ready,
};
use standins::caller::Outcome;
use standins::fleet::{Fleet, binary, wait_until};
use standins::platform::PlatformFaults;
use standins::proxy::FaultMode;

/// Time for a started instance to become ready, in milliseconds.
const START_LIMIT_MS: u64 = 8_000;

/// Time for which a version must stay unchanged, in milliseconds.
const STAY_MS: u64 = 2_000;

fn arrange() -> Fleet {
    let fleet = seven_fleet().start().unwrap();
    wait_in_force(&fleet, &NAMES, 1);
    fleet
}

fn set_platform_faults(fleet: &Fleet, faults: PlatformFaults) {
    fleet.set_platform_faults(&faults).unwrap();
}

fn outage() -> PlatformFaults {
    PlatformFaults { outage: true, ..PlatformFaults::default() }
}

fn cut_from_platform(fleet: &mut Fleet, names: &[&str], mode: FaultMode) {
    for name in names {
        fleet.fault_platform_link(name, mode).unwrap();
    }
}

#[test]
fn a_change_is_in_force_on_all_seven_in_time() {
    let mut fleet = arrange();

    for version in 2..=4 {
        fleet.publish().unwrap();
        wait_in_force(&fleet, &NAMES, version);
    }
}

#[test]
fn of_two_quick_changes_the_later_version_is_in_force() {
    let mut fleet = arrange();

    fleet.publish().unwrap();
    fleet.publish().unwrap();
    wait_in_force(&fleet, &NAMES, 3);

    let mut outdated = fleet.inventory.clone();
    outdated.version = 2;
    fleet.publish_text(&outdated.render()).unwrap();
    assert_stays(&fleet, &NAMES, 3, STAY_MS);
}

#[test]
fn a_platform_that_serves_an_older_version_reverts_nothing() {
    let mut fleet = arrange();
    fleet.publish().unwrap();
    wait_in_force(&fleet, &NAMES, 2);

    set_platform_faults(
        &fleet,
        PlatformFaults { stale_version: Some(1), ..PlatformFaults::default() },
    );
    for name in ["entry-1", "entry-7"] {
        fleet.restart_instance(name).unwrap();
        assert_eq!(wait_ready(&fleet, name, START_LIMIT_MS), 2, "{name} was ready with it");
    }

    assert_stays(&fleet, &NAMES, 2, STAY_MS);
}

#[test]
fn an_instance_that_starts_while_the_platform_is_down_fetches_the_document_from_its_peers() {
    let mut fleet = arrange();
    set_platform_faults(&fleet, outage());

    for name in ["entry-7", "entry-4", "entry-1"] {
        fleet.restart_instance(name).unwrap();
        assert_eq!(wait_ready(&fleet, name, START_LIMIT_MS), 1, "{name}");
    }

    for name in NAMES {
        let answer = draft(address_of(&fleet, name), "draft a plan", 5);
        assert_eq!(answer.outcome, Some(Outcome::Done), "{name}: {answer:?}");
    }
}

#[test]
fn requests_are_served_while_the_platform_is_down_for_good() {
    let mut fleet = arrange();
    fleet.platform.kill();

    for round in 0..10 {
        for name in NAMES {
            let answer = draft(address_of(&fleet, name), &format!("plan {round} of {name}"), 10);
            assert_eq!(answer.outcome, Some(Outcome::Done), "{name}: {answer:?}");
        }
    }

    let unreachable = |name: &&str| {
        status(address_of(&fleet, name))["platform"]["reachable"] == serde_json::json!(false)
    };
    wait_until("every instance reports it", IN_FORCE_LIMIT_MS, || NAMES.iter().all(unreachable))
        .unwrap();
    assert_stays(&fleet, &NAMES, 1, 500);
}

#[test]
fn the_end_of_an_outage_is_reported_without_a_change() {
    let fleet = arrange();
    let wait_reported = |reachable: bool| {
        let is_reported = |name: &&str| {
            status(address_of(&fleet, name))["platform"]["reachable"]
                == serde_json::json!(reachable)
        };
        wait_until("every instance reports it", IN_FORCE_LIMIT_MS, || NAMES.iter().all(is_reported))
    };

    set_platform_faults(&fleet, outage());
    wait_reported(false).unwrap();
    set_platform_faults(&fleet, PlatformFaults::default());

    wait_reported(true).unwrap();
}

#[test]
fn instances_cut_from_the_platform_fetch_the_document_from_their_peers() {
    let mut fleet = seven_fleet().proxy_platform().start().unwrap();
    cut_from_platform(&mut fleet, &NAMES[..6], FaultMode::Cut);

    fleet.publish().unwrap();

    wait_in_force(&fleet, &NAMES, 2);
}

#[test]
fn a_change_is_in_force_in_time_while_connections_to_the_platform_are_half_open() {
    let mut fleet = seven_fleet().proxy_platform().start().unwrap();
    wait_until("a watch of each instance", IN_FORCE_LIMIT_MS, || {
        fleet.platform_counters().unwrap().waiting == NAMES.len() as u64
    })
    .unwrap();
    cut_from_platform(&mut fleet, &NAMES, FaultMode::HalfOpen);

    fleet.publish().unwrap();

    wait_in_force(&fleet, &NAMES, 2);
}

#[test]
fn a_change_on_one_side_of_a_partition_is_in_force_on_both_once_it_heals() {
    let mut fleet = seven_fleet().proxy_platform().proxy_peers().start().unwrap();
    let (near, far) = NAMES.split_at(3);
    split(&mut fleet, near, far, FaultMode::Cut);
    cut_from_platform(&mut fleet, far, FaultMode::Cut);

    fleet.publish().unwrap();
    wait_in_force(&fleet, near, 2);
    assert_stays(&fleet, far, 1, STAY_MS);
    split(&mut fleet, near, far, FaultMode::Pass);

    wait_in_force(&fleet, &NAMES, 2);
}

#[test]
fn an_instance_paused_during_a_change_adopts_it_once_it_resumes() {
    let mut fleet = arrange();
    fleet.instance("entry-4").unwrap().process.stop().unwrap();
    let others: Vec<&str> = NAMES.into_iter().filter(|name| *name != "entry-4").collect();

    fleet.publish().unwrap();
    wait_in_force(&fleet, &others, 2);
    fleet.instance("entry-4").unwrap().process.cont().unwrap();

    wait_in_force(&fleet, &NAMES, 2);
}

#[test]
fn an_invalid_document_is_refused_whole_and_shown() {
    let mut fleet = arrange();
    let mut invalid = fleet.inventory.clone();
    invalid.version = 2;
    invalid.backend_servers[0].leaving = true;
    let text = invalid.render().replace("rank = 0", "rank = none").replace("weight = 1", "weight");

    fleet.publish_text(&text).unwrap();

    for name in NAMES {
        let address = address_of(&fleet, name);
        wait_until(&format!("findings at {name}"), IN_FORCE_LIMIT_MS, || {
            status(address)["refused_document"]["version"] == serde_json::json!(2)
        })
        .unwrap();
        assert_eq!(version_at(&fleet, name), 1);
    }
    let shown = run_status(&fleet, "entry-3");
    assert!(shown.contains("version 2"), "{shown}");
    assert!(shown.contains("rank") && shown.contains("weight"), "{shown}");
    assert!(!shown.contains("leaving"), "{shown}");
    fleet.inventory.version = 2;
    fleet.publish().unwrap();
    wait_in_force(&fleet, &NAMES, 3);
    assert!(status(address_of(&fleet, "entry-3"))["refused_document"].is_null());
}

fn run_status(fleet: &Fleet, name: &str) -> String {
    let address = address_of(fleet, name).to_string();
    let output = Command::new(binary("bergamotspan").unwrap())
        .args(["status", "--address", &address])
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

fn split(fleet: &mut Fleet, near: &[&str], far: &[&str], mode: FaultMode) {
    for a in near {
        for b in far {
            fleet.fault_link(a, b, mode).unwrap();
        }
    }
}
