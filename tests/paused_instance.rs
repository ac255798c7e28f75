//! Tests of a real instance that resumes with outdated state after a pause beyond every limit.

mod seven;
mod support;

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use seven::{address_of, draft, elapsed_ms, status, version_at};
use standins::caller::Outcome;
use standins::fleet::{Fleet, wait_until};
use standins::proxy::FaultMode;
use support::{booking, fresh_key, quick_fleet, wait_eligible};

/// Length of the pause, longer than every limit of the fleet, in milliseconds.
const PAUSE_MS: u64 = 3_000;
/// Longest wait for a condition, in milliseconds.
const LIMIT_MS: u64 = 8_000;
/// Requests that reach the instance while it is paused.
const REQUESTS: usize = 8;
/// Confirmation window of the fleet, in milliseconds.
const WINDOW_MS: u64 = 600;

fn arrange() -> Fleet {
    let fleet = quick_fleet(3).proxy_platform().start().unwrap();
    wait_eligible(&fleet);
    fleet
}

/// Returns the coordinator of the model service.
fn coordinator(fleet: &Fleet) -> String {
    assert_eq!(draft(fleet.caller_addresses()[0], "first", 5).outcome, Some(Outcome::Done));
    let has_scheduler = |page: &Value| {
        let schedulers = page["schedulers"].as_array().cloned().unwrap_or_default();
        schedulers.iter().any(|scheduler| scheduler["service"] == json!("plan-model"))
    };
    let mut found = String::new();
    wait_until("one coordinator", LIMIT_MS, || {
        let names = fleet.instances.iter().map(|instance| instance.name.clone());
        let coordinators: Vec<_> =
            names.filter(|name| has_scheduler(&status(address_of(fleet, name)))).collect();
        found = coordinators.first().cloned().unwrap_or_default();
        coordinators.len() == 1
    })
    .unwrap();
    found
}

fn executions(fleet: &mut Fleet, engine: &str) -> u64 {
    fleet.engine_statistics(engine).unwrap().executions.values().sum()
}

#[test]
fn a_resumed_coordinator_asks_its_peers_before_it_dispatches() {
    let mut fleet = arrange();
    let paused = coordinator(&fleet);
    let address = address_of(&fleet, &paused);
    let others: Vec<String> = fleet.instances.iter().map(|i| i.name.clone()).collect();
    let others: Vec<String> = others.into_iter().filter(|name| *name != paused).collect();
    fleet.fault_platform_link(&paused, FaultMode::Cut).unwrap();
    fleet.instance(&paused).unwrap().process.stop().unwrap();
    let stopped = Instant::now();

    fleet.inventory.backend_servers[0].leaving = true;
    fleet.publish().unwrap();
    for other in &others {
        wait_until("the change is in force", LIMIT_MS, || version_at(&fleet, other) == 2).unwrap();
    }
    let before = executions(&mut fleet, "plan-model-1");
    let sent: Vec<_> = (0..REQUESTS)
        .map(|number| thread::spawn(move || draft(address, &format!("{number} plan"), 20)))
        .collect();
    thread::sleep(Duration::from_millis(PAUSE_MS.saturating_sub(elapsed_ms(stopped))));
    fleet.instance(&paused).unwrap().process.cont().unwrap();

    wait_until("the resumed instance is ready", LIMIT_MS, || {
        let page = status(address);
        let ready = page["ready"] == json!(true);
        assert!(
            !ready || page["config_version"] == json!(2),
            "ready with outdated configuration: {page}"
        );
        ready
    })
    .unwrap();
    for answer in sent {
        let answer = answer.join().unwrap();
        assert_eq!(answer.outcome, Some(Outcome::Done), "{answer:?}");
    }
    assert_eq!(
        executions(&mut fleet, "plan-model-1"),
        before,
        "dispatched by outdated configuration"
    );
    assert!(fleet.instance(&paused).unwrap().process.log().contains("The process was paused"));
}

#[test]
fn a_resumed_key_home_grants_nothing_for_a_whole_window() {
    let mut fleet = arrange();
    let address = address_of(&fleet, "entry-2");
    let key = fresh_key();
    assert_eq!(booking(&fleet, 0, &key).send().unwrap().outcome, Some(Outcome::Done));

    fleet.instance("entry-2").unwrap().process.stop().unwrap();
    thread::sleep(Duration::from_millis(PAUSE_MS));
    fleet.instance("entry-2").unwrap().process.cont().unwrap();
    let resumed = Instant::now();
    wait_until("entry-2 may grant keys", LIMIT_MS, || {
        status(address)["standing"]["lawful"] == json!(true)
    })
    .unwrap();
    let settled_ms = elapsed_ms(resumed);
    let again = booking(&fleet, 1, &key).send().unwrap();

    println!("entry-2 may grant keys {settled_ms} ms after it resumed");
    assert!(settled_ms >= WINDOW_MS, "{settled_ms} ms");
    assert!(again.outcome == Some(Outcome::Done) || again.reason.is_some(), "{again:?}");
    assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
}
