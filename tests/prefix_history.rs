//! Tests of the history of cached prefixes: it stays bounded, and drops prefixes that an engine may
//! have evicted in a gap of its events, or lost in a restart.

use bergamotspan::load_report::CacheEvent;
use bergamotspan::prefix_history::{BLOCK_TOKENS, PREFIX_LIMIT, PrefixHistory};
use proptest::prelude::*;

fn stored(sequence: u64, prefix_hash: u64) -> CacheEvent {
    CacheEvent { prefix_hash, sequence, stored: true }
}

fn evicted(sequence: u64, prefix_hash: u64) -> CacheEvent {
    CacheEvent { prefix_hash, sequence, stored: false }
}

#[test]
fn counts_the_longest_prefix_dispatched() {
    let mut history = PrefixHistory::default();

    history.record_dispatch(&[1, 2, 3]);

    assert_eq!(history.cached_tokens(&[1, 2, 3, 4]), 3 * BLOCK_TOKENS);
    assert_eq!(history.cached_tokens(&[9]), 0);
}

#[test]
fn follows_stored_and_evicted_blocks() {
    let mut history = PrefixHistory::default();
    history.record_dispatch(&[1, 2]);

    history.apply(&[stored(1, 3), evicted(2, 2)]);

    assert_eq!(history.cached_tokens(&[1, 2]), BLOCK_TOKENS);
    assert_eq!(history.cached_tokens(&[3]), BLOCK_TOKENS);
}

#[test]
fn a_gap_evicts_the_least_recently_used_prefixes() {
    let mut history = PrefixHistory::default();
    history.apply(&[stored(1, 10), stored(2, 11), stored(3, 12), stored(4, 13)]);

    history.apply(&[stored(7, 14)]);

    assert_eq!(history.cached_tokens(&[10]), 0);
    assert_eq!(history.cached_tokens(&[11]), 0);
    assert_eq!(history.cached_tokens(&[12]), BLOCK_TOKENS);
    assert_eq!(history.len(), 3);
}

#[test]
fn ignores_events_that_come_twice() {
    let mut history = PrefixHistory::default();
    history.apply(&[stored(1, 10), evicted(2, 10), stored(3, 10)]);

    history.apply(&[evicted(2, 10), stored(3, 10)]);

    assert_eq!(history.cached_tokens(&[10]), BLOCK_TOKENS);
}

#[test]
fn a_restart_clears_the_history() {
    let mut history = PrefixHistory::default();
    history.apply(&[stored(50, 10), stored(51, 11)]);

    history.apply(&[stored(1, 12)]);

    assert_eq!(history.cached_tokens(&[10]), 0);
    assert_eq!(history.cached_tokens(&[12]), BLOCK_TOKENS);
}

#[test]
fn evicts_a_prefix_before_those_it_extends() {
    let mut history = PrefixHistory::default();
    history.apply(&[stored(1, 99)]);
    history.record_dispatch(&[1, 2, 3]);

    history.apply(&[stored(4, 98)]);

    assert_eq!(history.cached_tokens(&[1, 2, 3]), 2 * BLOCK_TOKENS);
}

proptest! {
    #[test]
    fn stays_bounded(
        batches in prop::collection::vec(
            prop::collection::vec((0u64..20_000, 0u64..20_000, any::<bool>()), 1..200),
            1..60,
        ),
    ) {
        let mut history = PrefixHistory::default();
        for batch in batches {
            let events: Vec<CacheEvent> = batch
                .iter()
                .map(|(prefix_hash, sequence, stored)| CacheEvent {
                    prefix_hash: *prefix_hash,
                    sequence: *sequence,
                    stored: *stored,
                })
                .collect();
            let hashes: Vec<u64> = batch.iter().map(|(hash, _, _)| *hash).collect();

            history.apply(&events);
            history.record_dispatch(&hashes);

            prop_assert!(history.len() <= PREFIX_LIMIT);
            prop_assert!(history.cached_tokens(&hashes) <= hashes.len() as u64 * BLOCK_TOKENS);
        }
    }
}

#[test]
fn holds_no_more_than_its_limit_for_one_long_prompt() {
    let mut history = PrefixHistory::default();
    let hashes: Vec<u64> = (0..2 * PREFIX_LIMIT as u64).collect();

    history.record_dispatch(&hashes);

    assert_eq!(history.len(), PREFIX_LIMIT);
}
