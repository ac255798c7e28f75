//! Tests of the detection of stragglers. A server that was always slow, or that slows down together
//! with its peers, is not a straggler.

use bergamotspan::straggler::{Pace, Straggler};

const USUAL_MS: u64 = 20;

fn usual() -> Straggler {
    let mut straggler = Straggler::default();
    measure(&mut straggler, USUAL_MS, 20);
    straggler
}

fn measure(straggler: &mut Straggler, between_tokens_ms: u64, count: u32) {
    for _ in 0..count {
        straggler.measure(between_tokens_ms, Some(USUAL_MS as f64));
    }
}

#[test]
fn an_engine_that_was_always_slow_is_no_straggler() {
    let mut straggler = Straggler::default();

    measure(&mut straggler, 10 * USUAL_MS, 50);

    assert_eq!(straggler.pace(), Pace::Whole);
}

#[test]
fn an_engine_that_slows_down_with_its_peers_is_no_straggler() {
    let mut straggler = usual();

    for _ in 0..30 {
        straggler.measure(4 * USUAL_MS, Some(4.0 * USUAL_MS as f64));
    }

    assert_eq!(straggler.pace(), Pace::Whole);
}

#[test]
fn an_engine_that_slows_down_alone_gets_a_share() {
    let mut straggler = usual();

    measure(&mut straggler, 3 * USUAL_MS, 20);

    assert!(matches!(straggler.pace(), Pace::Share(30..50)), "{:?}", straggler.pace());
}

#[test]
fn an_engine_that_slows_down_a_lot_gets_one_probe() {
    let mut straggler = usual();

    measure(&mut straggler, 20 * USUAL_MS, 20);

    assert_eq!(straggler.pace(), Pace::Probe);
}

#[test]
fn a_straggler_recovers() {
    let mut straggler = usual();
    measure(&mut straggler, 20 * USUAL_MS, 20);

    measure(&mut straggler, USUAL_MS, 20);

    assert_eq!(straggler.pace(), Pace::Whole);
}
