//! Processor time of one decision, with a long queue and sixteen engines.

mod schedulers;

use std::time::Instant;

use bergamotspan::scheduling::Progress;
use bergamotspan::steward::SETTLE_MS;
use schedulers::{BidBuilder, Harness, InventoryBuilder};

const ENGINES: usize = 16;
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
        .time_left_ms(600_000 + sequence * 7_919 % 1_000)
}

fn measure(backlog: u64) -> u128 {
    let mut inventory = InventoryBuilder::new();
    for engine in 0..ENGINES {
        inventory = inventory.engine(&format!("e{engine:02}"), 16_000);
    }
    let mut harness = Harness::steward(inventory);
    harness.advance(SETTLE_MS);
    let mut running = std::collections::VecDeque::new();
    for sequence in 0..backlog {
        running.extend(harness.bid(bid(sequence)).granted());
    }
    let started = Instant::now();
    for sequence in backlog..backlog + REQUESTS {
        harness.advance(u64::from(sequence % 4 == 0));
        running.extend(harness.bid(bid(sequence)).granted());
        let Some((oldest, _)) = running.pop_front() else { continue };
        harness.progress(oldest, Progress::FirstToken { elapsed_ms: 100 });
        let tokens = Progress::Tokens { between_tokens_ms: 20, output_tokens: 10 };
        harness.progress(oldest, tokens);
        let finished = Progress::Finished { cached_tokens: 0, output_tokens: 100 };
        running.extend(harness.progress(oldest, finished).granted());
    }
    started.elapsed().as_nanos() / u128::from(REQUESTS)
}

#[test]
fn a_request_costs_little_at_any_length_of_the_queue() {
    for backlog in [0, 500, 1_000, 4_000] {
        let cost_ns = measure(backlog);
        println!("backlog {backlog}: {cost_ns} ns for a bid and three reports of progress");

        assert!(cost_ns < LONGEST_PER_REQUEST_US * 1_000, "{cost_ns} ns at {backlog}");
    }
}
