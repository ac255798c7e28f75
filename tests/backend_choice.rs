//! Tests of the choice of a backend server by cached prefix and speed: neither decides alone.

use bergamotspan::coordinator::SETTLE_MS;
use bergamotspan::scheduling::Progress;
use schedules::schedulers::{GrantRequestBuilder, Harness, InventoryBuilder};

const OUTPUT_TOKENS: u32 = 100;
const PROMPT_TOKENS: u32 = 1_024;

/// Returns a harness in which the prefix is cached at `e1`, which decodes more slowly than `e2`.
fn with_prefix_cached_at_slower_engine(between_tokens_ms: u64) -> Harness {
    let inventory = InventoryBuilder::new().engine("e1", 10_000).engine("e2", 10_000);
    let mut harness = Harness::coordinator(inventory);
    harness.advance(SETTLE_MS);
    harness.request_grant(with_prefix(1));
    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(PROMPT_TOKENS));
    for (sequence, between_tokens_ms) in [(1, between_tokens_ms), (2, 20)] {
        let output_tokens = OUTPUT_TOKENS;
        harness.progress(sequence, Progress::FirstToken { elapsed_ms: 100 });
        harness.progress(sequence, Progress::Tokens { between_tokens_ms, output_tokens });
        harness.progress(sequence, Progress::Finished { cached_tokens: 0, output_tokens });
    }
    harness
}

fn with_prefix(sequence: u64) -> GrantRequestBuilder {
    GrantRequestBuilder::new(sequence)
        .max_output_tokens(OUTPUT_TOKENS)
        .prefix_hashes(vec![1, 2, 3, 4])
        .prompt_tokens(PROMPT_TOKENS)
}

#[test]
fn a_cached_prefix_outweighs_a_somewhat_faster_server() {
    let mut harness = with_prefix_cached_at_slower_engine(23);

    assert_eq!(harness.request_grant(with_prefix(3)).granted(), vec![(3, "e1".to_owned())]);
}

#[test]
fn a_much_faster_server_outweighs_a_cached_prefix() {
    let mut harness = with_prefix_cached_at_slower_engine(200);

    assert_eq!(harness.request_grant(with_prefix(3)).granted(), vec![(3, "e2".to_owned())]);
}
