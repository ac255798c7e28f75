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
