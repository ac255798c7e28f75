//! Tests of the back-off of a backend server that failed: it always ends, a probe request follows,
//! and different servers end it at different times.

use bergamotspan::server_health::{Health, ServerHealth};
use proptest::prelude::*;

/// Longest back-off with its jitter, in milliseconds.
const MAX_DOWN_MS: u64 = 24_000;

fn down_ms(health: &ServerHealth, from_ms: u64) -> u64 {
    let down = |elapsed_ms: &u64| health.health(from_ms + elapsed_ms) == Health::Down;
    (0..=MAX_DOWN_MS).take_while(down).count() as u64
}

#[test]
fn is_down_then_probed_then_up() {
    let mut health = ServerHealth::default();

    health.record_failure(0, "e1");
    let at_once = health.health(0);
    let later = health.health(1_000);
    health.record_success(1_000);

    assert_eq!((at_once, later, health.health(1_000)), (Health::Down, Health::Probe, Health::Up));
}

#[test]
fn backs_off_longer_after_each_failed_probe() {
    let mut health = ServerHealth::default();
    health.record_failure(0, "e1");
    let first_ms = down_ms(&health, 0);

    health.record_failure(10_000, "e1");
    let second_ms = down_ms(&health, 10_000);

    assert!((500..=750).contains(&first_ms), "{first_ms}");
    assert!((1_000..=1_500).contains(&second_ms), "{second_ms}");
}

#[test]
fn counts_the_failures_of_one_back_off_once() {
    let mut health = ServerHealth::default();
    for now_ms in 0..10 {
        health.record_failure(now_ms, "e1");
    }

    assert!(down_ms(&health, 9) <= 750);
}

#[test]
fn spreads_servers_by_their_names() {
    let ends = ["e1", "e2", "e3", "e4"].map(|name| {
        let mut health = ServerHealth::default();
        health.record_failure(0, name);
        down_ms(&health, 0)
    });

    assert!(ends.iter().any(|end_ms| *end_ms != ends[0]), "{ends:?}");
}

proptest! {
    #[test]
    fn is_never_down_for_good(failures in prop::collection::vec(0u64..40_000, 1..40)) {
        let mut health = ServerHealth::default();
        let mut now_ms = 0;
        for elapsed_ms in failures {
            now_ms += elapsed_ms;
            health.record_failure(now_ms, "e1");
        }

        prop_assert!(health.health(now_ms + MAX_DOWN_MS + 1) == Health::Probe);
    }
}
