//! Tests of grants that counted as lost and whose requests are reported late.
//!
//! Such a request may still be running. If its report were ignored, the coordinator would grant its
//! engine more than the limit, and would not see a crash.

use bergamotspan::coordinator::SETTLE_MS;
use bergamotspan::lost_grants::{LOST_GRANTS_LIMIT, LostGrants};
use bergamotspan::running_requests::GrantedRequest;
use bergamotspan::scheduling::Progress;
use schedules::schedulers::{GrantRequestBuilder, Harness, InventoryBuilder};

/// Time after which any unreported grant counts as lost, in milliseconds.
const LOST_MS: u64 = 30_000;
const TIME_LEFT_MS: u64 = 100_000;

fn with_a_lost_grant() -> Harness {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 1_000));
    harness.advance(SETTLE_MS);
    let granted = harness.request_grant(grant_request(1)).granted();
    assert_eq!(granted.len(), 1);
    harness.advance(LOST_MS);
    harness.tick();
    assert_eq!(harness.engine("e1").running_requests, 0);
    harness
}

fn grant_request(sequence: u64) -> GrantRequestBuilder {
    GrantRequestBuilder::new(sequence).prompt_tokens(800).time_left_ms(TIME_LEFT_MS)
}

#[test]
fn a_crash_that_is_reported_late_takes_the_server_out_of_use() {
    let mut harness = with_a_lost_grant();

    harness.progress(1, Progress::Crashed);

    assert!(harness.request_grant(grant_request(2)).granted().is_empty());
}

#[test]
fn a_request_that_is_reported_late_counts_as_running() {
    let mut harness = with_a_lost_grant();

    harness.progress(1, Progress::FirstToken { elapsed_ms: LOST_MS });

    assert!(harness.request_grant(grant_request(2)).granted().is_empty());
    let finished = Progress::Finished { cached_tokens: 0, output_tokens: 1 };
    assert_eq!(harness.progress(1, finished).granted().len(), 1);
}

#[test]
fn a_request_past_its_deadline_counts_while_its_tokens_arrive() {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 1_000));
    harness.advance(SETTLE_MS);
    harness.request_grant(grant_request(1).time_left_ms(2_000));
    harness.progress(1, Progress::FirstToken { elapsed_ms: 100 });
    harness.advance(6_000);

    harness.progress(1, Progress::Tokens { between_tokens_ms: 20, output_tokens: 10 });
    harness.advance(3_000);
    harness.tick();

    assert_eq!(harness.engine("e1").running_requests, 1);
}

#[test]
fn holds_no_more_grants_than_its_limit() {
    let mut lost_grants = LostGrants::default();

    for sequence in 0..LOST_GRANTS_LIMIT as u64 + 10 {
        lost_grants.insert(running(sequence), 1_000 + sequence);
    }

    assert_eq!(lost_grants.len(), LOST_GRANTS_LIMIT);
    lost_grants.expire(u64::MAX);
    assert!(lost_grants.is_empty());
}

fn running(sequence: u64) -> GrantedRequest {
    GrantedRequest {
        backend_server: "e1".into(),
        grant_request: grant_request(sequence).build(),
        pending_grant_request: None,
        cost_tokens: 1,
        deadline_ms: 0,
        expires_ms: 0,
        granted_ms: 0,
        reported: false,
        prefill_backlog_tokens: 0,
        prefill_tokens: 0,
    }
}
