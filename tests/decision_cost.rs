//! Tests of the number of queue entries that one decision examines, with a long queue and sixteen
//! engines.
//!
//! A decision that scanned the whole queue would be slowest under overload, when the queue is
//! longest.

use bergamotspan::coordinator::SETTLE_MS;
use bergamotspan::scheduling::Progress;
use schedules::schedulers::{GrantRequestBuilder, Harness, InventoryBuilder};

const ENGINES: usize = 16;
const FAST_BETWEEN_TOKENS_MS: u64 = 20;
const FIRST_SLOW_ENGINE: &str = "e08";
const REQUESTS: u64 = 20_000;
/// Decisions on one request: a grant request and three reports of progress.
const DECISIONS_PER_REQUEST: u64 = 4;
/// Shortest backlog. A decision must examine fewer entries than this at any backlog, so that none
/// scans the whole queue.
const MIN_BACKLOG: u64 = 500;

fn grant_request(sequence: u64) -> GrantRequestBuilder {
    let prefix_hashes = (0..4).map(|block| sequence % 200 * 100 + block).collect();
    GrantRequestBuilder::new(sequence)
        .customer(&format!("customer-{}", sequence % 5))
        .tier_rank((sequence % 3) as u8)
        .prompt_tokens(64 + (sequence * 7_919 % 1_500) as u32)
        .max_output_tokens(200)
        .prefix_hashes(prefix_hashes)
}

/// Parameters of one measurement.
#[derive(Clone, Copy)]
struct Case {
    backlog: u64,
    slow_between_tokens_ms: u64,
    time_left_ms: u64,
}

fn entries_per_decision(case: Case) -> u64 {
    let mut inventory = InventoryBuilder::new();
    for engine in 0..ENGINES {
        inventory = inventory.engine(&format!("e{engine:02}"), 16_000);
    }
    let mut harness = Harness::coordinator(inventory);
    harness.advance(SETTLE_MS);
    let mut running = std::collections::VecDeque::new();
    let timed = |sequence: u64| {
        grant_request(sequence).time_left_ms(case.time_left_ms + sequence * 7_919 % 1_000)
    };
    for sequence in 0..case.backlog {
        running.extend(harness.request_grant(timed(sequence)).granted());
    }
    let examined = |harness: &Harness| {
        harness.scheduler.entries_examined().expect("the coordinator counts examined entries")
    };
    let before = examined(&harness);
    for sequence in case.backlog..case.backlog + REQUESTS {
        harness.advance(u64::from(sequence % 4 == 0));
        running.extend(harness.request_grant(timed(sequence)).granted());
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
    (examined(&harness) - before) / (REQUESTS * DECISIONS_PER_REQUEST)
}

fn assert_few_entries(case: Case) {
    let entries = entries_per_decision(case);
    let backlog = case.backlog;
    println!("backlog {backlog}: {entries} entries for a decision");

    assert!(entries < MIN_BACKLOG, "{entries} entries at {backlog}");
}

#[test]
fn a_decision_examines_few_entries_at_any_length_of_the_queue() {
    for backlog in [0, MIN_BACKLOG, 1_000, 4_000] {
        assert_few_entries(Case { backlog, slow_between_tokens_ms: 20, time_left_ms: 600_000 });
    }
}

#[test]
fn a_decision_examines_few_entries_when_slow_engines_would_be_late() {
    for backlog in [0, MIN_BACKLOG, 1_000, 4_000] {
        assert_few_entries(Case { backlog, slow_between_tokens_ms: 200, time_left_ms: 12_000 });
    }
}
