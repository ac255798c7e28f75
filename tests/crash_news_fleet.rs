//! Tests of what simulated fleets tell of requests that were running at engines that crashed: how much,
//! how soon and to whom.

mod gateway_support;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use bergamotspan::gateway::broken_sends::BrokenSend;
use bergamotspan::gateway::store_item::StoreItem;

use crate::gateway_support::{backend, document, name as named, record};
use crate::simulated_fleet::SimulatedFleet;

/// Requests that run at an engine.
const RUNNING: usize = 6;
/// Bytes that an instance may send for control in a second (docs/CAPACITY.md).
const CONTROL_BYTES_PER_S: f64 = 22_000.0;
/// Time after which a request that crashes engines may reach no more than a few (`stable-window-ms` of
/// the smallest installation).
const STABLE_WINDOW_MS: u64 = 3_000;
/// Time in which an instance that starts learns of all requests that crashed engines, in milliseconds.
const LEARNING_MS: u64 = 30_000;
/// Time in which a fleet finds itself, in milliseconds.
const SETTLE_MS: u64 = 6_000;

fn started(instances: usize, engines: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::start(instances, 3, 5);
    let mut items = vec![StoreItem::Document(Ok(Box::new(document(1))))];
    for number in 0..engines {
        items.push(backend(&engine(number), record("model", number as u16 + 1)));
    }
    fleet.publish_to_all(1, &items);
    fleet.run(SETTLE_MS);
    fleet
}

fn engine(number: usize) -> String {
    format!("i-{number:010}")
}

/// An instance finds that an engine crashed under one of its requests.
fn crash_under(fleet: &mut SimulatedFleet, instance: usize, engine_number: usize, request: u64) {
    let now_ms = fleet.now_ms;
    let state = fleet.state(instance);
    state.record_broken_send(BrokenSend {
        backend_server: named(&engine(engine_number)),
        broken_ms: now_ms,
        fingerprint: request,
        sent_ms: now_ms - 500,
        unstarted_parts: Vec::new(),
    });
    state.record_crash(now_ms, &engine(engine_number));
}

/// A quarter of the engines crash under requests of all instances.
fn crash_a_quarter(fleet: &mut SimulatedFleet, instances: usize, engines: usize) {
    for number in (0..engines).step_by(4) {
        for slot in 0..RUNNING {
            let request = number * RUNNING + slot;
            // Hashes use all bits.
            let fingerprint = (request as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            crash_under(fleet, request % instances, number, fingerprint);
        }
    }
}

fn sent_after_a_crash(instances: usize, engines: usize) -> f64 {
    const COUNTED_MS: u64 = 10_000;
    let mut fleet = started(instances, engines);
    crash_a_quarter(&mut fleet, instances, engines);
    fleet.count_bytes();
    fleet.run(COUNTED_MS);
    let rate = fleet.sent_bytes as f64 / instances as f64 / (COUNTED_MS as f64 / 1_000.0);
    println!("{instances} instances: {rate:.0} bytes a second, largest {}", fleet.largest_bytes);
    rate
}

#[test]
fn a_crash_of_a_quarter_of_the_engines_does_not_fill_the_links_with_reports() {
    for (instances, engines) in [(7, 9), (71, 112), (295, 204)] {
        assert!(sent_after_a_crash(instances, engines) < CONTROL_BYTES_PER_S);
    }
}

/// Runs until all instances refuse a request for its crashes; returns how long that took, or the first
/// instance that does not after `limit_ms`.
fn run_until_quarantined(
    fleet: &mut SimulatedFleet,
    fingerprint: u64,
    limit_ms: u64,
) -> Result<u64, usize> {
    let begun_ms = fleet.now_ms;
    loop {
        let now_ms = fleet.now_ms;
        let mut indices = 0..fleet.states.len();
        let unaware =
            indices.find(|index| !fleet.state(*index).is_quarantined(now_ms, fingerprint));
        match unaware {
            None => return Ok(now_ms - begun_ms),
            Some(index) if now_ms >= begun_ms + limit_ms => return Err(index),
            Some(_) => fleet.run(100),
        }
    }
}

#[test]
fn a_request_that_crashed_two_engines_is_quarantined_everywhere_amid_many_other_crashes() {
    const BAD: u64 = 77;
    for (instances, engines) in [(7, 9), (71, 112), (150, 100)] {
        let mut fleet = started(instances, engines);
        crash_a_quarter(&mut fleet, instances, engines);
        // Neither instance sees both crashes.
        crash_under(&mut fleet, 1, 1, BAD);
        crash_under(&mut fleet, instances - 1, 2, BAD);
        let known_ms = run_until_quarantined(&mut fleet, BAD, STABLE_WINDOW_MS);
        assert!(known_ms.is_ok(), "{instances} instances: {known_ms:?}");
    }
}

#[test]
fn an_instance_that_starts_later_learns_of_a_quarantined_request() {
    const BAD: u64 = 77;
    let mut fleet = started(40, 40);
    crash_a_quarter(&mut fleet, 40, 40);
    crash_under(&mut fleet, 1, 1, BAD);
    crash_under(&mut fleet, 2, 2, BAD);
    fleet.run(20_000);
    fleet.kill(30);
    fleet.run(500);
    fleet.start_instance(30);
    let known_ms = run_until_quarantined(&mut fleet, BAD, LEARNING_MS);
    assert!(known_ms.is_ok(), "{known_ms:?}");
}
