//! Tests of the limit of tokens in progress at one engine: it settles where latency meets the
//! target, and stays within its bounds for any measurements.

use bergamotspan::engine_limit::EngineLimit;
use proptest::prelude::*;

const TARGET_MS: u64 = 100;

#[test]
fn starts_at_the_limit_of_the_inventory() {
    assert_eq!(EngineLimit::new(8_000).limit_tokens(), 8_000);
}

#[test]
fn rises_by_steps_while_in_use_and_in_time() {
    let mut limit = EngineLimit::new(1_000);

    limit.measure(0, TARGET_MS, TARGET_MS, 900);
    limit.measure(1_000, TARGET_MS, TARGET_MS, 900);

    assert_eq!(limit.limit_tokens(), 1_128);
}

#[test]
fn stays_when_it_is_not_in_use() {
    let mut limit = EngineLimit::new(1_000);

    limit.measure(0, 1, TARGET_MS, 100);

    assert_eq!(limit.limit_tokens(), 1_000);
}

#[test]
fn falls_once_an_interval_when_late() {
    let mut limit = EngineLimit::new(1_000);

    limit.measure(0, TARGET_MS + 1, TARGET_MS, 900);
    limit.measure(10, TARGET_MS + 1, TARGET_MS, 900);

    assert_eq!(limit.limit_tokens(), 800);
}

#[test]
fn settles_where_latency_meets_the_target() {
    let mut limit = EngineLimit::new(1_000);
    let mut sum_tokens = 0;

    for step in 0..2_000u64 {
        let running_tokens = limit.limit_tokens();
        let measured_ms = running_tokens / 30;
        limit.measure(step * 100, measured_ms, TARGET_MS, running_tokens);
        sum_tokens += limit.limit_tokens();
    }

    let mean_tokens = sum_tokens / 2_000;
    assert!((2_400..=3_100).contains(&mean_tokens), "mean {mean_tokens}");
}

proptest! {
    #[test]
    fn stays_within_its_bounds(
        initial_tokens in 0u64..100_000,
        measurements in prop::collection::vec((0u64..5_000, 0u64..300, 0u64..1_000_000), 1..300),
    ) {
        let mut limit = EngineLimit::new(initial_tokens);
        let mut now_ms = 0;
        for (elapsed_ms, measured_ms, running_tokens) in measurements {
            now_ms += elapsed_ms;

            limit.measure(now_ms, measured_ms, TARGET_MS, running_tokens);

            prop_assert!(limit.limit_tokens() >= limit.lower_bound_tokens());
            prop_assert!(limit.limit_tokens() <= limit.upper_bound_tokens());
        }
    }
}
