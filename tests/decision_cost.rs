//! Processor time of one decision, with a long queue and sixteen engines.

use std::time::Instant;

use bergamotspan::scheduling::Progress;
use bergamotspan::steward::SETTLE_MS;
use schedules::schedulers::{BidBuilder, Harness, InventoryBuilder};

const ENGINES: usize = 16;
const FAST_BETWEEN_TOKENS_MS: u64 = 20;
const FIRST_SLOW_ENGINE: &str = "e08";
const REQUESTS: u64 = 20_000;
/// Bound far above what is expected, to catch work that is quadratic in the queue.
const LONGEST_PER_REQUEST_US: u128 = 1_000;

fn bid(sequence: u64) -> BidBuilder {
    let prefix_hashes = (0..4).map(|block| sequence % 200 * 100 + block).collect();
    BidBuilder::new(sequence)
        .customer(&format!("customer-{}", sequence % 5))
        .tier_rank((sequence % 3) as u8)
        .prompt_tokens(64 + (sequence * 7_919 % 1_500) as u32)
        .max_output_tokens(200)
        .prefix_hashes(prefix_hashes)
}

/// What distinguishes one measurement.
#[derive(Clone, Copy)]
struct Case {
    backlog: u64,
    slow_between_tokens_ms: u64,
    time_left_ms: u64,
}

fn measure(case: Case) -> u128 {
    let mut inventory = InventoryBuilder::new();
    for engine in 0..ENGINES {
        inventory = inventory.engine(&format!("e{engine:02}"), 16_000);
    }
    let mut harness = Harness::steward(inventory);
    harness.advance(SETTLE_MS);
    let mut running = std::collections::VecDeque::new();
    let timed =
        |sequence: u64| bid(sequence).time_left_ms(case.time_left_ms + sequence * 7_919 % 1_000);
    for sequence in 0..case.backlog {
        running.extend(harness.bid(timed(sequence)).granted());
    }
    let started = Instant::now();
    for sequence in case.backlog..case.backlog + REQUESTS {
        harness.advance(u64::from(sequence % 4 == 0));
        running.extend(harness.bid(timed(sequence)).granted());
        let Some((oldest, server)) = running.pop_front() else { continue };
        harness.progress(oldest, Progress::FirstToken { elapsed_ms: 100 });
        let slow = server.as_str() >= FIRST_SLOW_ENGINE;
        let between_tokens_ms =
            if slow { case.slow_between_tokens_ms } else { FAST_BETWEEN_TOKENS_MS };
        let tokens = Progress::Tokens { between_tokens_ms, output_tokens: 10 };
        harness.progress(oldest, tokens);
        let finished = Progress::Finished { cached_tokens: 0, output_tokens: 100 };
        running.extend(harness.progress(oldest, finished).granted());
    }
    started.elapsed().as_nanos() / u128::from(REQUESTS)
}

fn assert_cheap(case: Case) {
    let cost_ns = measure(case);
    let backlog = case.backlog;
    println!("backlog {backlog}: {cost_ns} ns for a bid and three reports of progress");

    assert!(cost_ns < LONGEST_PER_REQUEST_US * 1_000, "{cost_ns} ns at {backlog}");
}

#[test]
fn a_request_costs_little_at_any_length_of_the_queue() {
    for backlog in [0, 500, 1_000, 4_000] {
        assert_cheap(Case { backlog, slow_between_tokens_ms: 20, time_left_ms: 600_000 });
    }
}

#[test]
fn a_request_costs_little_when_slow_engines_would_be_late() {
    for backlog in [0, 500, 1_000, 4_000] {
        assert_cheap(Case { backlog, slow_between_tokens_ms: 200, time_left_ms: 12_000 });
    }
}
