//! Tests of which requests a coordinator refuses, and in which order. It refuses no request for load
//! while one of a lower tier waits, and none on an estimate before enough answers were measured.

use bergamotspan::coordinator::SETTLE_MS;
use bergamotspan::scheduling::{Progress, RefusalReason};
use bergamotspan::shedding::QUEUE_LIMIT_REQUESTS;
use schedules::schedulers::{Effects, GrantRequestBuilder, Harness, InventoryBuilder};

const BETWEEN_TOKENS_MS: u64 = 20;
const OUTPUT_TOKENS: u32 = 100;

fn with_busy_engine() -> Harness {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 1_000));
    harness.advance(SETTLE_MS);
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(2_000));
    harness
}

/// Returns a coordinator that measured answers of 100 tokens at 20 ms each: it expects a request to
/// take at least 2 s, less the margin.
fn with_measured_estimates() -> Harness {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 1_000));
    harness.advance(SETTLE_MS);
    for sequence in 1_000..1_040 {
        harness.request_grant(GrantRequestBuilder::new(sequence).max_output_tokens(OUTPUT_TOKENS));
        let between_tokens_ms = BETWEEN_TOKENS_MS;
        harness.progress(sequence, Progress::Tokens { between_tokens_ms, output_tokens: 1 });
        let finished = Progress::Finished { cached_tokens: 0, output_tokens: OUTPUT_TOKENS };
        harness.progress(sequence, finished);
    }
    harness
}

fn long_request(sequence: u64) -> GrantRequestBuilder {
    GrantRequestBuilder::new(sequence).max_output_tokens(OUTPUT_TOKENS)
}

fn fill_queue(harness: &mut Harness, rank: u8) -> Effects {
    for sequence in 0..QUEUE_LIMIT_REQUESTS as u64 {
        let grant_request = GrantRequestBuilder::new(10_000 + sequence)
            .tier_rank(rank)
            .time_left_ms(50_000 + sequence);
        assert!(harness.request_grant(grant_request).is_empty());
    }
    harness.tick()
}

#[test]
fn refuses_the_lowest_tier_for_want_of_room() {
    let mut harness = with_busy_engine();
    fill_queue(&mut harness, 2);

    let effects = harness.request_grant(GrantRequestBuilder::new(2).tier_rank(0));

    assert_eq!(effects.refused(), vec![(10_000, RefusalReason::NoRoom)]);
}

#[test]
fn refuses_a_new_request_of_the_lowest_tier_for_want_of_room() {
    let mut harness = with_busy_engine();
    fill_queue(&mut harness, 1);

    let effects = harness.request_grant(GrantRequestBuilder::new(2).tier_rank(2));

    assert_eq!(effects.refused(), vec![(2, RefusalReason::NoRoom)]);
}

#[test]
fn refuses_the_request_with_least_slack_within_a_tier() {
    let mut harness = with_busy_engine();
    fill_queue(&mut harness, 1);

    let late = harness.request_grant(GrantRequestBuilder::new(2).time_left_ms(90_000));
    let soon = harness.request_grant(GrantRequestBuilder::new(3).time_left_ms(40_000));

    assert_eq!(late.refused(), vec![(10_000, RefusalReason::NoRoom)]);
    assert_eq!(soon.refused(), vec![(3, RefusalReason::NoRoom)]);
}

#[test]
fn refuses_at_once_when_the_deadline_has_passed() {
    let mut harness = with_busy_engine();
    harness.request_grant(
        GrantRequestBuilder::new(2).tier_rank(0).time_left_ms(100).prompt_tokens(900),
    );
    harness.request_grant(GrantRequestBuilder::new(3).tier_rank(2).prompt_tokens(900));

    harness.advance(100);
    let effects = harness.tick();

    assert_eq!(effects.refused(), vec![(2, RefusalReason::CannotFinishInTime)]);
}

#[test]
fn refuses_nothing_on_an_estimate_before_enough_answers() {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 1_000));
    harness.advance(SETTLE_MS);

    let effects = harness.request_grant(long_request(1).prompt_tokens(500_000).time_left_ms(1));

    assert_eq!(effects.granted().len(), 1);
}

#[test]
fn refuses_a_request_of_the_lowest_tier_that_cannot_finish_in_time() {
    let mut harness = with_measured_estimates();

    let infeasible = harness.request_grant(long_request(1).time_left_ms(1_000));
    let feasible = harness.request_grant(long_request(2).time_left_ms(3_000));

    assert_eq!(infeasible.refused(), vec![(1, RefusalReason::CannotFinishInTime)]);
    assert_eq!(feasible.granted().len(), 1);
}

#[test]
fn refuses_no_higher_tier_on_an_estimate_while_a_lower_one_waits() {
    let mut harness = with_measured_estimates();
    harness.request_grant(long_request(1).prompt_tokens(2_000));
    harness.request_grant(long_request(2).tier_rank(2).prompt_tokens(900).time_left_ms(20_000));

    let waits =
        harness.request_grant(long_request(3).tier_rank(0).prompt_tokens(900).time_left_ms(1_000));
    let alone = harness.withdraw(2);

    assert!(waits.is_empty());
    assert_eq!(alone.refused(), vec![(3, RefusalReason::CannotFinishInTime)]);
}

#[test]
fn names_a_time_to_retry_after() {
    let mut harness = with_measured_estimates();

    let effects = harness.request_grant(long_request(1).time_left_ms(1_000));

    let retry_after_ms = effects.0.iter().map(|effect| match effect {
        bergamotspan::scheduler::SchedulerEffect::Refuse(refusal) => refusal.retry_after_ms,
        bergamotspan::scheduler::SchedulerEffect::Grant(_) => 0,
    });
    assert!(retry_after_ms.min() > Some(0));
}
