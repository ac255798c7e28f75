//! Silent connections are detected, and requests are served over new ones (real processes).

mod answer_support;
mod support;

use std::net::SocketAddr;
use std::time::Instant;

use answer_support::{LIMIT_MS, RunningCall, SILENCE_LIMIT_MS, key_with_home};
use serde_json::Value;
use standins::caller::Outcome;
use standins::fleet::{Fleet, FleetBuilder, get_json, wait_until};
use standins::proxy::{Fault, FaultMode};
use support::{booking, draft, quick_fleet, wait_eligible};

/// Longest time to the first probe, which leaves time for three probes a second apart.
const FIRST_PROBE_LIMIT_MS: u64 = SILENCE_LIMIT_MS - 3_000;
const CONFIRMATION_WINDOW_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;
/// Default heartbeat interval of an instance, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
const INSTANCES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
/// Longest run of a short draft, in milliseconds.
const RUN_LIMIT_MS: u64 = 1_000;

/// Describes a fleet with the default heartbeat interval.
fn default_heartbeat_fleet() -> FleetBuilder {
    quick_fleet(3).setting("peer", "heartbeat_interval_ms", HEARTBEAT_INTERVAL_MS).setting(
        "peer",
        "confirmation_window_ms",
        CONFIRMATION_WINDOW_MS,
    )
}

fn all_live(fleet: &Fleet) -> bool {
    fleet.caller_addresses().iter().all(|address| {
        let status: Value = get_json(*address, "/status").unwrap();
        let peers = status["peers"].as_array().unwrap();
        peers.iter().all(|peer| peer["state"] == "live")
    })
}

fn wait_silent(fleet: &mut Fleet, at: &str, peer: &str) {
    wait_until("the silent link is detected", SILENCE_LIMIT_MS, || {
        let status = fleet.status(at).unwrap();
        let peers = status["peers"].as_array().unwrap();
        peers.iter().any(|found| found["name"] == peer && found["state"] == "silent")
    })
    .unwrap();
}

fn config_in_force(fleet: &Fleet, version: u64) -> bool {
    fleet.caller_addresses().iter().all(|address| {
        let status: Value = get_json(*address, "/status").unwrap();
        status["config_version"] == version
    })
}

fn assert_drafts_in_time(fleet: &Fleet) {
    let prompt = |instance: usize| format!("a draft through instance {instance}");
    let calls: Vec<RunningCall> = (0..INSTANCES.len())
        .map(|instance| RunningCall::begin(draft(fleet, instance, &prompt(instance), 20)))
        .collect();
    for (instance, call) in calls.into_iter().enumerate() {
        let (answer, _) = call.finish();
        assert!(answer.matches(&prompt(instance)), "{answer:?}");
        assert!(answer.total_ms < SILENCE_LIMIT_MS + RUN_LIMIT_MS, "{} ms", answer.total_ms);
    }
}

#[test]
fn half_open_links_between_instances_are_replaced() {
    let fleet = default_heartbeat_fleet().proxy_peers().start().unwrap();
    wait_eligible(&fleet);

    for name in INSTANCES {
        fleet.set_fault(&format!("peer-{name}"), fault(FaultMode::HalfOpen)).unwrap();
    }
    let since = Instant::now();
    assert_drafts_in_time(&fleet);
    let drafts_ms = since.elapsed().as_millis() as u64;
    let mut sent = Vec::new();
    wait_until("a booking is done", SILENCE_LIMIT_MS + CONFIRMATION_WINDOW_MS, || {
        let key = key_with_home(&fleet, "entry-2");
        let answer = booking(&fleet, 0, &key).send().unwrap();
        sent.push((key, answer.outcome));
        answer.outcome == Some(Outcome::Done)
    })
    .unwrap();
    let elapsed_ms = since.elapsed().as_millis() as u64;
    println!("drafts were done after {drafts_ms} ms, a booking after {elapsed_ms} ms");

    assert!(elapsed_ms < SILENCE_LIMIT_MS + CONFIRMATION_WINDOW_MS, "{elapsed_ms} ms");
    for (key, outcome) in sent {
        let executions = fleet.executions_of_key(&key).unwrap();
        let expected = u64::from(outcome == Some(Outcome::Done));
        assert_eq!(executions, expected, "{outcome:?}");
    }
    assert!(all_live(&fleet));
}

#[test]
fn requests_are_served_while_the_links_of_one_instance_are_frozen() {
    let mut fleet = default_heartbeat_fleet().proxy_peers().start().unwrap();
    wait_until("all links are live", LIMIT_MS, || all_live(&fleet)).unwrap();

    fleet.fault_instance("entry-1", FaultMode::Freeze).unwrap();
    assert_drafts_in_time(&fleet);
    wait_silent(&mut fleet, "entry-2", "entry-1");
    wait_silent(&mut fleet, "entry-1", "entry-3");
    fleet.fault_instance("entry-1", FaultMode::Pass).unwrap();

    wait_until("all links are live", SILENCE_LIMIT_MS, || all_live(&fleet)).unwrap();
    assert_drafts_in_time(&fleet);
}

#[test]
fn a_request_sent_into_a_silent_connection_is_never_sent_again() {
    let mut fleet = quick_fleet(1).proxy_backend_servers().start().unwrap();
    let names = ["plan-model-1", "plan-model-2"];
    for name in names {
        fleet.fault_backend(name, FaultMode::FreezeToTarget).unwrap();
    }

    let call = RunningCall::begin(draft(&fleet, 0, "a rail beside the bowl", 20));
    wait_until("the request runs", LIMIT_MS, || {
        fleet.status("entry-1").unwrap()["requests"]["running"] == 1
    })
    .unwrap();
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    for name in names {
        fleet.fault_backend(name, FaultMode::Pass).unwrap();
    }
    let (answer, _) = call.finish();

    let whole = answer.matches("a rail beside the bowl");
    assert!(whole || answer.outcome == Some(Outcome::Unknown), "{answer:?}");
    assert!(answer.total_ms < SILENCE_LIMIT_MS + RUN_LIMIT_MS, "{} ms", answer.total_ms);
    wait_until("the held request arrives", LIMIT_MS, || {
        !fleet.engine_totals().unwrap().executions.is_empty()
    })
    .unwrap();
    let executions = fleet.engine_totals().unwrap().executions;
    assert_eq!(executions.values().sum::<u64>(), 1, "{executions:?}");
}

fn fault_platform_links(fleet: &mut Fleet, mode: FaultMode) {
    let names: Vec<String> = fleet.instances.iter().map(|instance| instance.name.clone()).collect();
    for name in names {
        fleet.fault_platform_link(&name, mode).unwrap();
    }
}

#[test]
fn a_silent_connection_to_the_platform_is_replaced() {
    let mut fleet = quick_fleet(3).proxy_platform().start().unwrap();

    fault_platform_links(&mut fleet, FaultMode::HalfOpen);
    fleet.publish().unwrap();

    let version = fleet.inventory.version;
    wait_until("the document is in force", SILENCE_LIMIT_MS, || config_in_force(&fleet, version))
        .unwrap();
}

#[test]
fn requests_are_served_while_the_platform_is_silent() {
    let mut fleet = quick_fleet(3).proxy_platform().start().unwrap();

    fault_platform_links(&mut fleet, FaultMode::Freeze);
    assert_drafts_in_time(&fleet);
    fleet.publish().unwrap();
    fault_platform_links(&mut fleet, FaultMode::Pass);

    let version = fleet.inventory.version;
    wait_until("the document is in force", SILENCE_LIMIT_MS, || config_in_force(&fleet, version))
        .unwrap();
}

/// Returns the time until the first probe of an idle connection to an address, in milliseconds.
///
/// The kernel lists each connection with its timer: kind 2 is the keep-alive timer, in hundredths
/// of a second.
fn probe_ms(address: SocketAddr) -> Option<u64> {
    let local = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let established = fields[1].ends_with(&local) && fields[3] == "01";
        let (kind, left) = fields[5].split_once(':')?;
        let left = u64::from_str_radix(left, 16).ok()?;
        (established && kind == "02").then_some(left * 10)
    })
}

#[test]
fn the_connection_of_a_silent_caller_is_probed() {
    let fleet = quick_fleet(1).start().unwrap();
    let address = fleet.caller_addresses()[0];

    let caller = std::net::TcpStream::connect(address).unwrap();

    wait_until("a probe is due", LIMIT_MS, || probe_ms(address).is_some()).unwrap();
    let probe_ms = probe_ms(address).unwrap();
    assert!(probe_ms <= FIRST_PROBE_LIMIT_MS, "{probe_ms} ms");
    drop(caller);
}

fn fault(mode: FaultMode) -> Fault {
    Fault { mode, ..Fault::default() }
}
