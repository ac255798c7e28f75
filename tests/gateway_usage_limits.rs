//! Tests of the usage limits of customers over all instances.

mod gateway_support;

use std::sync::Arc;

use bergamotspan::gateway::usage_limits::{Charge, Usage, UsageLimits};
use proptest::prelude::*;

use crate::gateway_support::{START_MS, customer, name};

const RATE: u64 = 10_000;

fn limits(live: usize, known: usize) -> UsageLimits {
    let mut limits = UsageLimits::default();
    limits.set_instances(START_MS, live, known);
    // The bucket is full at the start of the tests.
    limits.set_customers(START_MS - 10_000, &[Arc::new(customer(RATE))]);
    limits
}

#[test]
fn a_new_instance_starts_with_an_empty_bucket() {
    let mut started = UsageLimits::default();
    started.set_instances(START_MS, 1, 1);
    started.set_customers(START_MS, &[Arc::new(customer(RATE))]);
    assert!(matches!(charge(&mut started, START_MS, 1_000), Charge::Insufficient(_)));
    assert_eq!(charge(&mut started, START_MS + 100, 1_000), Charge::Charged);
    // A coordinator reports what is left.
    started.adopt(START_MS + 100, "clinic", 6_000, None);
    assert_eq!(charge(&mut started, START_MS + 100, 5_000), Charge::Charged);
    assert!(matches!(charge(&mut started, START_MS + 100, 2_000), Charge::Insufficient(_)));
}

fn charge(limits: &mut UsageLimits, now_ms: u64, units: u64) -> Charge {
    limits.charge(now_ms, "clinic", Usage { ranks_before: 0, units })
}

#[test]
fn a_scarce_limit_is_reserved_for_requests_of_a_higher_rank() {
    let mut limits = limits(1, 1);
    let low = |units| Usage { ranks_before: 2, units };
    assert_eq!(limits.charge(START_MS, "clinic", low(2_000)), Charge::Charged);
    assert_eq!(charge(&mut limits, START_MS, 3_000), Charge::Charged);
    assert!(matches!(limits.charge(START_MS, "clinic", low(2_000)), Charge::Insufficient(_)));
    assert_eq!(limits.charge(START_MS, "clinic", low(RATE / 100)), Charge::Charged);
    assert_eq!(charge(&mut limits, START_MS, 4_000), Charge::Charged);
}

#[test]
fn units_refill_at_the_rate_of_the_customer() {
    let mut limits = limits(1, 1);
    assert_eq!(charge(&mut limits, START_MS, RATE), Charge::Charged);
    let Charge::Insufficient(shortage) = charge(&mut limits, START_MS, 1_000) else {
        panic!("more was charged than the burst");
    };
    assert_eq!((shortage.left_units, shortage.needed_units, shortage.wait_ms), (0, 1_000, 100));
    assert_eq!(charge(&mut limits, START_MS + 100, 1_000), Charge::Charged);
}

#[test]
fn a_request_larger_than_the_burst_is_admitted_and_leaves_a_debt() {
    let mut limits = limits(1, 1);
    assert_eq!(charge(&mut limits, START_MS, 3 * RATE), Charge::Charged);
    assert!(matches!(charge(&mut limits, START_MS + 1_900, 100), Charge::Insufficient(_)));
    assert_eq!(charge(&mut limits, START_MS + 2_100, 100), Charge::Charged);
}

#[test]
fn the_usage_of_another_instance_is_deducted_from_the_bucket() {
    let mut limits = limits(2, 2);
    limits.deduct(START_MS, "clinic", RATE);
    assert!(matches!(charge(&mut limits, START_MS, 1_000), Charge::Insufficient(_)));
}

#[test]
fn an_adopted_balance_still_lacks_what_this_instance_spent_or_promised_since() {
    let mut limits = limits(2, 2);
    assert_eq!(charge(&mut limits, START_MS, 1_000), Charge::Charged);
    limits.record_spent(START_MS, "clinic", 1_000);
    assert_eq!(charge(&mut limits, START_MS, 2_000), Charge::Charged);
    limits.record_spent(START_MS, "clinic", 2_000);
    // Charged, not sent yet.
    assert_eq!(charge(&mut limits, START_MS, 4_000), Charge::Charged);
    // The coordinator has deducted only the first request.
    limits.adopt(START_MS, "clinic", 9_000, Some(1_000));
    assert_eq!(limits.left_since(START_MS, 0), [(name("clinic"), 3_000)]);
    // A balance is not adopted if it is unknown how much of the own usage it contains.
    limits.adopt(START_MS, "clinic", 9_000, None);
    assert_eq!(limits.left_since(START_MS, 0), [(name("clinic"), 3_000)]);
}

#[test]
fn a_request_that_was_not_sent_is_refunded() {
    let mut limits = limits(1, 1);
    assert_eq!(charge(&mut limits, START_MS, RATE), Charge::Charged);
    limits.refund("clinic", RATE);
    assert_eq!(charge(&mut limits, START_MS, RATE), Charge::Charged);
    assert!(limits.spent_since(0).is_empty());
}

proptest! {
    /// However a fleet is split, its parts together spend at most the rate plus the burst.
    #[test]
    fn parts_of_a_split_fleet_keep_the_limit_together(
        sizes in prop::collection::vec(1_usize..5, 1..5),
        requests in prop::collection::vec((0_usize..5, 1_u64..500, 0_u64..40), 1..400),
    ) {
        let known = sizes.iter().sum();
        let mut parts: Vec<_> = sizes.iter().map(|live| limits(*live, known)).collect();
        let (mut now_ms, mut spent) = (START_MS, 0);
        for (part, units, pause_ms) in requests {
            now_ms += pause_ms;
            let part = part % parts.len();
            if charge(&mut parts[part], now_ms, units) == Charge::Charged {
                spent += units;
            }
        }
        let elapsed_ms = now_ms - START_MS;
        prop_assert!(spent <= RATE + RATE * elapsed_ms / 1_000 + parts.len() as u64);
    }
}
