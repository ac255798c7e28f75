//! Tests of the shares of customers within a tier: by weight, counted in tokens.
//! No customer starves.

use std::collections::BTreeMap;

use bergamotspan::coordinator::SETTLE_MS;
use bergamotspan::scheduling::Progress;
use schedules::schedulers::{GrantRequestBuilder, Harness, InventoryBuilder};

const SIZES_TOKENS: [u32; 5] = [10, 1_000, 100, 500, 30];
const GRANTS: usize = 500;
const BACKLOG_REQUESTS: u64 = 3_000;

/// Grants from a backlog of both customers and returns the tokens granted to each.
fn granted_tokens(weights: [u32; 2], sizes_tokens: [fn(u64) -> u32; 2]) -> [u64; 2] {
    let inventory = InventoryBuilder::new()
        .engine("e1", 1_100)
        .customer("customer-0", weights[0])
        .customer("customer-1", weights[1]);
    let mut harness = Harness::coordinator(inventory);
    let mut owners = BTreeMap::new();
    for sequence in 0..BACKLOG_REQUESTS {
        let owner = (sequence % 2) as usize;
        let prompt_tokens = sizes_tokens[owner](sequence / 2);
        let grant_request =
            GrantRequestBuilder::new(sequence).customer(&format!("customer-{owner}"));
        harness.request_grant(
            grant_request.prompt_tokens(prompt_tokens).max_output_tokens(1).time_left_ms(900_000),
        );
        owners.insert(sequence, (owner, u64::from(prompt_tokens) + 1));
    }
    harness.advance(SETTLE_MS);
    let mut running: Vec<u64> = harness.tick().granted().iter().map(|(s, _)| *s).collect();
    let mut tokens = [0, 0];
    for _ in 0..GRANTS {
        let Some(sequence) = running.pop() else { break };
        let (owner, cost_tokens) = owners[&sequence];
        tokens[owner] += cost_tokens;
        let finished = Progress::Finished { cached_tokens: 0, output_tokens: 1 };
        running.extend(harness.progress(sequence, finished).granted().iter().map(|(s, _)| *s));
    }
    tokens
}

fn mixed_tokens(sequence: u64) -> u32 {
    SIZES_TOKENS[sequence as usize % SIZES_TOKENS.len()]
}

fn small_tokens(_: u64) -> u32 {
    50
}

fn assert_ratio(tokens: [u64; 2], expected: f64) {
    let ratio = tokens[0] as f64 / tokens[1] as f64;
    assert!((ratio / expected - 1.0).abs() < 0.1, "ratio {ratio} of {tokens:?}");
}

#[test]
fn equal_weights_give_equal_tokens() {
    assert_ratio(granted_tokens([1, 1], [mixed_tokens, mixed_tokens]), 1.0);
}

#[test]
fn a_triple_weight_gives_triple_tokens() {
    assert_ratio(granted_tokens([3, 1], [mixed_tokens, mixed_tokens]), 3.0);
}

#[test]
fn shares_count_tokens_and_not_requests() {
    assert_ratio(granted_tokens([1, 1], [mixed_tokens, small_tokens]), 1.0);
}

#[test]
fn a_large_customer_does_not_starve_a_small_one() {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 1_100));
    for sequence in 0..1_000 {
        harness.request_grant(
            GrantRequestBuilder::new(sequence).prompt_tokens(1_000).time_left_ms(20_000),
        );
    }
    harness.request_grant(GrantRequestBuilder::new(5_000).customer("small").prompt_tokens(1_000));
    harness.advance(SETTLE_MS);
    let mut granted: Vec<u64> = harness.tick().granted().iter().map(|(s, _)| *s).collect();

    for turn in 0..4 {
        let sequence = granted[turn];
        let effects = harness.progress(sequence, Progress::Cancelled);
        granted.extend(effects.granted().iter().map(|(s, _)| *s));
    }

    assert!(granted.contains(&5_000), "granted {granted:?}");
}
