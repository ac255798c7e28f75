//! Tests of the coordinator of one service: which requests it grants, at which engine, and which it
//! refuses or keeps waiting.

use bergamotspan::coordinator::SETTLE_MS;
use bergamotspan::scheduling::{Progress, RefusalReason, RunningRequest};
use schedules::schedulers::{GrantRequestBuilder, Harness, InventoryBuilder, request};

const LATER_MS: u64 = 60_000;

fn settled(inventory: InventoryBuilder) -> Harness {
    let mut harness = Harness::coordinator(inventory);
    harness.advance(SETTLE_MS);
    harness
}

#[test]
fn grants_nothing_before_it_has_settled() {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 10_000));

    let early = harness.request_grant(GrantRequestBuilder::new(1));
    harness.advance(SETTLE_MS - 1);
    let still_early = harness.tick();
    harness.advance(1);
    let settled = harness.tick();

    assert!(early.is_empty() && still_early.is_empty());
    assert_eq!(settled.granted(), vec![(1, "e1".to_owned())]);
}

#[test]
fn counts_requests_that_ran_before_a_takeover() {
    let mut harness = Harness::coordinator(InventoryBuilder::new().engine("e1", 1_000));
    let grant_request =
        GrantRequestBuilder::new(1).prompt_tokens(900).max_output_tokens(50).build();
    let running = RunningRequest { backend_server: "e1".into(), grant_request, output_tokens: 5 };

    harness.running(running);
    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(200));
    harness.advance(SETTLE_MS);
    let blocked = harness.tick();
    let freed = harness.progress(1, Progress::Finished { cached_tokens: 0, output_tokens: 50 });

    assert!(blocked.is_empty());
    assert_eq!(freed.granted(), vec![(2, "e1".to_owned())]);
}

#[test]
fn grants_the_higher_tier_first() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(900));

    harness.request_grant(GrantRequestBuilder::new(2).tier_rank(2).prompt_tokens(900));
    harness.request_grant(GrantRequestBuilder::new(3).tier_rank(0).prompt_tokens(900));
    let freed = harness.progress(1, Progress::Cancelled);

    assert_eq!(freed.granted(), vec![(3, "e1".to_owned())]);
}

#[test]
fn grants_the_earliest_deadline_first_within_a_customer() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(900));

    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(900).time_left_ms(9_000));
    harness.request_grant(GrantRequestBuilder::new(3).prompt_tokens(900).time_left_ms(4_000));
    let freed = harness.progress(1, Progress::Cancelled);

    assert_eq!(freed.granted(), vec![(3, "e1".to_owned())]);
}

#[test]
fn grants_a_request_larger_than_the_limit_to_an_idle_engine() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));

    let effects = harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(5_000));

    assert_eq!(effects.granted(), vec![(1, "e1".to_owned())]);
}

#[test]
fn keeps_an_engine_free_for_a_large_request() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000).engine("e2", 1_000));
    for sequence in 1..=4 {
        harness.request_grant(
            GrantRequestBuilder::new(sequence).prompt_tokens(400).max_output_tokens(1),
        );
    }

    harness.request_grant(
        GrantRequestBuilder::new(5).tier_rank(0).prompt_tokens(900).max_output_tokens(1),
    );
    for sequence in 6..=9 {
        harness.request_grant(
            GrantRequestBuilder::new(sequence).tier_rank(2).prompt_tokens(100).max_output_tokens(1),
        );
    }
    let mut granted = Vec::new();
    for sequence in 1..=4 {
        granted.extend(harness.progress(sequence, Progress::Cancelled).granted());
    }

    assert!(granted.iter().any(|(sequence, _)| *sequence == 5), "granted {granted:?}");
}

#[test]
fn grants_a_request_once_while_its_grant_stands() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 10_000));
    let first = harness.request_grant(GrantRequestBuilder::new(1));

    let again = harness.request_grant(GrantRequestBuilder::new(1));
    harness.progress(1, Progress::FirstToken { elapsed_ms: 10 });
    let once_more = harness.request_grant(GrantRequestBuilder::new(1));

    assert_eq!(first.granted().len(), 1);
    assert!(again.is_empty() && once_more.is_empty());
}

#[test]
fn grants_again_after_a_grant_was_lost() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 10_000));
    harness.request_grant(GrantRequestBuilder::new(1).time_left_ms(LATER_MS));
    harness.request_grant(GrantRequestBuilder::new(1).time_left_ms(LATER_MS));

    harness.advance(20_000);
    let effects = harness.tick();

    assert_eq!(effects.granted(), vec![(1, "e1".to_owned())]);
}

#[test]
fn does_not_grant_again_a_request_that_is_reported_late() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));
    let large =
        |sequence| GrantRequestBuilder::new(sequence).prompt_tokens(900).time_left_ms(LATER_MS);
    harness.request_grant(large(1));
    harness.request_grant(large(1));
    harness.request_grant(large(2).tier_rank(0));
    harness.advance(20_000);
    let freed = harness.tick();
    let waiting = harness.scheduler.lowest_waiting_rank();

    harness.progress(1, Progress::FirstToken { elapsed_ms: 19_000 });
    let effects = harness.progress(2, Progress::Cancelled);

    assert_eq!(freed.granted(), vec![(2, "e1".to_owned())]);
    assert_eq!(waiting, Some(1));
    assert!(effects.is_empty());
}

#[test]
fn limits_a_plain_service_by_the_size_of_its_bodies() {
    let mut harness = settled(InventoryBuilder::new().plain().engine("p1", 1_000));

    let first = harness
        .request_grant(GrantRequestBuilder::new(1).prompt_tokens(900).max_output_tokens(5_000));
    let blocked = harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(200));
    harness.advance(20_000);
    let still_blocked = harness.tick();
    let freed = harness.progress(1, Progress::Finished { cached_tokens: 0, output_tokens: 0 });

    assert_eq!(first.granted().len(), 1);
    assert!(blocked.is_empty() && still_blocked.is_empty());
    assert_eq!(freed.granted(), vec![(2, "p1".to_owned())]);
}

#[test]
fn refuses_retries_beyond_their_budget_unless_a_lower_tier_waits() {
    let inventory = InventoryBuilder::new().engine("e1", 1_000).engine("e2", 1_000);
    let mut harness = settled(inventory);
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(2_000).time_left_ms(LATER_MS));
    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(2_000).time_left_ms(LATER_MS));
    let retry = |sequence| GrantRequestBuilder::new(sequence).excluded("e1").time_left_ms(LATER_MS);

    let within: Vec<_> =
        (100..120).map(|sequence| harness.request_grant(retry(sequence))).collect();
    let beyond = harness.request_grant(retry(200));
    harness.request_grant(GrantRequestBuilder::new(3).tier_rank(2).time_left_ms(LATER_MS));
    harness.request_grant(retry(201));
    let with_lower = harness.request_grant(retry(202));

    assert!(within.iter().all(|effects| effects.refused().is_empty()));
    assert_eq!(beyond.refused(), vec![(200, RefusalReason::NoBackendServer)]);
    assert!(with_lower.is_empty());
}

#[test]
fn frees_the_tokens_of_a_grant_that_is_never_reported() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(900).time_left_ms(LATER_MS));

    harness.advance(20_000);
    harness.tick();

    assert_eq!(harness.engine("e1").running_tokens, 0);
}

#[test]
fn refuses_quarantined_requests_waiting_and_new() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(900));
    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(900).fingerprint(7));

    let waiting = harness.quarantine(vec![7], vec![]);
    let new = harness.request_grant(GrantRequestBuilder::new(3).fingerprint(7));

    assert_eq!(waiting.refused(), vec![(2, RefusalReason::Quarantined)]);
    assert_eq!(new.refused(), vec![(3, RefusalReason::Quarantined)]);
}

#[test]
fn runs_a_suspect_on_one_engine_at_a_time() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 10_000).engine("e2", 10_000));
    harness.quarantine(vec![], vec![7]);

    let first = harness.request_grant(GrantRequestBuilder::new(1).fingerprint(7));
    let duplicate = harness.request_grant(GrantRequestBuilder::new(2).fingerprint(7));
    let other = harness.request_grant(GrantRequestBuilder::new(3).tier_rank(2));
    let after = harness.progress(1, Progress::Finished { cached_tokens: 0, output_tokens: 1 });

    assert_eq!(first.granted().len(), 1);
    assert!(duplicate.is_empty());
    assert_eq!(other.granted().len(), 1);
    assert_eq!(after.granted().first().map(|(sequence, _)| *sequence), Some(2));
}

#[test]
fn gives_a_server_that_failed_one_probe_after_its_back_off() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 10_000));
    harness.request_grant(GrantRequestBuilder::new(1).time_left_ms(LATER_MS));
    harness.progress(1, Progress::Crashed);

    let down = harness.request_grant(GrantRequestBuilder::new(2).time_left_ms(LATER_MS));
    harness.request_grant(GrantRequestBuilder::new(3).time_left_ms(LATER_MS));
    harness.advance(1_000);
    let probe = harness.tick();
    let recovered = harness.progress(2, Progress::FirstToken { elapsed_ms: 10 });

    assert!(down.is_empty());
    assert_eq!(probe.granted(), vec![(2, "e1".to_owned())]);
    assert_eq!(recovered.granted(), vec![(3, "e1".to_owned())]);
}

#[test]
fn excludes_servers_that_refused_a_connection() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 10_000).engine("e2", 10_000));

    let other = harness.request_grant(GrantRequestBuilder::new(1).excluded("e1"));
    let none = harness.request_grant(GrantRequestBuilder::new(2).excluded("e1").excluded("e2"));

    assert_eq!(other.granted(), vec![(1, "e2".to_owned())]);
    assert_eq!(none.refused(), vec![(2, RefusalReason::NoBackendServer)]);
}

#[test]
fn gives_a_leaving_server_nothing_new_and_keeps_its_running_requests() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 10_000).engine("e2", 1_000));
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(2_000));
    let before = harness.engine("e1").running_tokens;

    harness.leaving(&["e1"]);
    let effects = harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(10));
    let after = harness.engine("e1").running_tokens;

    assert_eq!(before, 2_010);
    assert_eq!(after, before);
    assert_eq!(effects.granted(), vec![(2, "e2".to_owned())]);
}

#[test]
fn refuses_waiting_requests_when_the_last_server_leaves() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(900));
    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(900));

    let effects = harness.leaving(&["e1"]);

    assert_eq!(effects.refused(), vec![(2, RefusalReason::NoBackendServer)]);
}

#[test]
fn drops_the_requests_of_a_lost_instance() {
    let mut harness = settled(InventoryBuilder::new().engine("e1", 1_000));
    harness.request_grant(GrantRequestBuilder::new(1).prompt_tokens(900));
    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(900));

    harness.instance_lost(&request(1).instance);

    assert_eq!(harness.engine("e1").running_tokens, 0);
    assert_eq!(harness.scheduler.lowest_waiting_rank(), None);
}

#[test]
fn prefers_the_engine_that_has_the_prefix() {
    let inventory = InventoryBuilder::new().engine("e1", 10_000).engine("e2", 10_000);
    let mut harness = settled(inventory);
    let prefixes = vec![11, 12, 13];
    harness.request_grant(
        GrantRequestBuilder::new(1).prompt_tokens(800).prefix_hashes(prefixes.clone()),
    );
    harness.progress(1, Progress::Finished { cached_tokens: 0, output_tokens: 1 });
    harness.request_grant(GrantRequestBuilder::new(2).prompt_tokens(100));

    let effects = harness
        .request_grant(GrantRequestBuilder::new(3).prompt_tokens(800).prefix_hashes(prefixes));

    assert_eq!(effects.granted(), vec![(3, "e1".to_owned())]);
}

#[test]
fn gives_a_straggler_less_until_it_recovers() {
    let inventory = InventoryBuilder::new().engine("e1", 10_000).engine("e2", 10_000);
    let mut harness = settled(inventory);
    harness.request_grant(GrantRequestBuilder::new(1).excluded("e2").time_left_ms(LATER_MS));
    harness.request_grant(GrantRequestBuilder::new(2).excluded("e1").time_left_ms(LATER_MS));
    let tokens = |between_tokens_ms| Progress::Tokens { between_tokens_ms, output_tokens: 1 };
    for _ in 0..20 {
        harness.progress(1, tokens(10));
        harness.progress(2, tokens(10));
    }

    for _ in 0..20 {
        harness.progress(1, tokens(100));
    }
    let slowed = harness.engine("e1").state;
    let avoided = harness.request_grant(GrantRequestBuilder::new(3).prompt_tokens(400));
    let blocked = harness.request_grant(GrantRequestBuilder::new(4).excluded("e2"));
    for _ in 0..20 {
        harness.progress(1, tokens(10));
    }
    let recovered = harness.engine("e1").state;

    assert_eq!(slowed, "straggler");
    assert_eq!(avoided.granted(), vec![(3, "e2".to_owned())]);
    assert!(blocked.is_empty());
    assert_eq!(recovered, "in_use");
}
