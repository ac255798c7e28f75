//! Tests of the estimate of answer lengths.
//!
//! Requests are refused on it, so it gives no bound for that before enough answers; no bound is
//! above what the request allows.

use bergamotspan::length_estimate::{CUSTOMER_LIMIT, LengthEstimates};
use proptest::prelude::*;

const MAX_OUTPUT_TOKENS: u32 = 4_000;

fn estimates_after(lengths_tokens: &[u32]) -> LengthEstimates {
    let mut estimates = LengthEstimates::default();
    for output_tokens in lengths_tokens {
        estimates.record(&"large".into(), *output_tokens);
    }
    estimates
}

#[test]
fn gives_no_trusted_bound_before_enough_answers() {
    let estimates = estimates_after(&[100; 7]);

    assert_eq!(estimates.lower_tokens(&"large".into(), MAX_OUTPUT_TOKENS), None);
    assert_eq!(estimates.trusted_upper_tokens(&"large".into(), MAX_OUTPUT_TOKENS), None);
}

#[test]
fn converges_on_equal_answers() {
    let estimates = estimates_after(&[100; 40]);

    let lower_tokens = estimates.lower_tokens(&"large".into(), MAX_OUTPUT_TOKENS);
    let upper_tokens = estimates.upper_tokens(&"large".into(), MAX_OUTPUT_TOKENS);

    assert_eq!(lower_tokens, Some(99));
    assert_eq!(upper_tokens, 100);
}

#[test]
fn never_exceeds_the_limit_of_the_request() {
    let estimates = estimates_after(&[1_000; 40]);

    assert_eq!(estimates.upper_tokens(&"large".into(), 10), 10);
    assert_eq!(estimates.upper_tokens(&"unknown".into(), 10), 10);
}

#[test]
fn evicts_the_least_recently_used_customer() {
    let mut estimates = estimates_after(&[100; 8]);
    for index in 0..CUSTOMER_LIMIT {
        estimates.record(&format!("customer-{index}").into(), 5);
    }

    assert_eq!(estimates.len(), CUSTOMER_LIMIT);
    assert_eq!(estimates.lower_tokens(&"large".into(), MAX_OUTPUT_TOKENS), None);
}

proptest! {
    #[test]
    fn keeps_the_bounds_in_order(
        lengths_tokens in prop::collection::vec(any::<u32>(), 8..100),
        max_output_tokens in any::<u32>(),
    ) {
        let estimates = estimates_after(&lengths_tokens);

        let lower_tokens = estimates.lower_tokens(&"large".into(), max_output_tokens).unwrap();
        let upper_tokens = estimates.upper_tokens(&"large".into(), max_output_tokens);

        prop_assert!(lower_tokens <= upper_tokens);
        prop_assert!(upper_tokens <= max_output_tokens);
    }
}
