//! Tests what an instance knows of cold servers and what it may send to them.

mod gateway_support;

use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::backends::{Backends, EngineChoice};
use bergamotspan::gateway::engine_query::{EngineQuery, VersionNeed};
use bergamotspan::gateway::fleet::cold_servers::ColdNotice;
use bergamotspan::gateway::gateway_settings::Bounds;
use bergamotspan::gateway::rate_limit::LimitShares;
use bergamotspan::gateway::rate_limit::allowance::{Allowance, SharedRate};
use bergamotspan::gateway::rate_limit::cold::{ColdBounds, ColdLeft, ColdLimit, ColdNews};
use bergamotspan::gateway::routing_document::ColdSpec;
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::name::Name;

use crate::gateway_support::{START_MS, apply_store_changes, backend, document, record, state};

const BOUNDS: ColdBounds = ColdBounds { cold_ms: 3_000, millirequests_per_s: 12_000 };

fn name(text: &str) -> Name {
    text.into()
}

fn limit() -> ColdLimit {
    let mut limit = ColdLimit::default();
    limit.set_bounds(BOUNDS, 0);
    limit
}

fn news(sequence: u64, stated_ms: u64, until_ms: u64) -> ColdNews {
    ColdNews { is_from_record: false, sequence, stated_ms, until_ms }
}

fn cold_record(sequence: u64, left_ms: u64) -> BackendRecord {
    BackendRecord { cold_left: ColdLeft::Ms(left_ms), sequence, slots: 8, ..record("model", 1) }
}

fn backends() -> Backends {
    let mut backends = Backends::default();
    backends.set_cold_bounds(vec![(name("model"), BOUNDS)], 0);
    let shares = LimitShares { cold_permille: 1_000, stated_permille: 1_000 };
    backends.set_limit_shares(0, shares);
    backends
}

/// Sends all that is allowed until a time, from the queue of one instance.
fn sent_until(limit: &mut ColdLimit, from_ms: u64, to_ms: u64, permille: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for now_ms in from_ms..to_ms {
        while limit.wait_ms(now_ms, permille) == Some(0) && limit.is_cold(now_ms) {
            limit.take(now_ms, permille);
            sent.push(now_ms);
        }
    }
    sent
}

#[test]
fn a_cold_server_gets_its_rate_in_even_spacing_until_its_time_is_over() {
    let mut limit = limit();
    limit.merge(0, news(1, 0, 3_000));
    let sent = sent_until(&mut limit, 0, 5_000, 1_000);
    assert!((35..=36).contains(&sent.len()), "{}", sent.len());
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= 83), "{sent:?}");
    assert_eq!((limit.is_cold(3_000), limit.wait_ms(3_000, 0)), (false, Some(0)));
}

#[test]
fn after_a_quiet_time_a_large_share_sends_hardly_more_than_its_rate() {
    let mut limit = limit();
    limit.merge(0, news(1, 0, 60_000));
    let sent = sent_until(&mut limit, 10_000, 11_000, 1_000);
    assert!(sent.len() <= 14, "{}", sent.len());
}

#[test]
fn many_small_shares_do_not_send_together_after_a_quiet_time() {
    let rate = SharedRate { millirequests_per_s: 12_000, permille: 14 };
    let mut at_ms: Vec<u64> = (0..71_u64)
        .filter_map(|number| {
            let allowance = Allowance::begun(0, number * 1_000 / 71);
            let wait_ms = allowance.wait_ms(60_000, rate)?;
            Some(60_000 + wait_ms)
        })
        .collect();
    at_ms.sort_unstable();
    let most = at_ms
        .iter()
        .map(|begin| at_ms.iter().filter(|at| (*begin..begin + 1_000).contains(at)).count());
    assert!(most.max() <= Some(12), "{at_ms:?}");
}

#[test]
fn without_a_share_nothing_is_sent() {
    let mut limit = limit();
    limit.merge(0, news(1, 0, 3_000));
    assert_eq!(limit.wait_ms(2_000, 0), None);
}

#[test]
fn a_share_that_is_lost_and_won_again_earns_nothing_meanwhile() {
    let mut limit = limit();
    limit.merge(0, news(1, 0, 60_000));
    limit.change_share(20, 1_000);
    limit.change_share(5_000, 0);
    assert_eq!(limit.wait_ms(5_000, 1_000), Some(64));
}

#[test]
fn of_two_news_the_later_record_counts_and_then_the_later_statement() {
    let mut limit = limit();
    assert!(limit.merge(100, news(4, 100, 3_000)));
    assert!(!limit.merge(100, news(3, 200, 9_000)));
    assert!(!limit.merge(100, news(4, 90, 9_000)));
    assert!(limit.merge(100, news(4, 110, 2_000)));
    assert_eq!(limit.left_ms(100), Some(1_900));
    limit.merge_record(200, 5, ColdLeft::Ms(0));
    assert!(!limit.is_cold(200));
    limit.merge_record(300, 6, ColdLeft::Ms(700));
    assert_eq!(limit.left_ms(300), Some(700));
}

#[test]
fn a_server_of_a_service_without_a_bound_is_never_cold() {
    let mut limit = ColdLimit::default();
    limit.merge(0, news(1, 0, 3_000));
    limit.record_out_of_reach(0);
    assert_eq!((limit.is_cold(0), limit.wait_ms(0, 0)), (false, Some(0)));
}

#[test]
fn a_server_that_was_out_of_reach_is_cold_until_the_time_or_its_record_says_otherwise() {
    let mut limit = limit();
    limit.merge_record(0, 1, ColdLeft::Ms(0));
    limit.record_out_of_reach(1_000);
    assert!(limit.is_cold(60_000));
    limit.record_contact(60_000, 1);
    assert_eq!((limit.left_ms(60_000), limit.is_cold(63_000)), (Some(3_000), false));
    limit.record_out_of_reach(70_000);
    limit.merge_record(70_500, 2, ColdLeft::Ms(0));
    assert!(!limit.is_cold(70_500));
}

#[test]
fn a_record_that_is_read_again_does_not_prolong_the_cold_time() {
    let mut backends = backends();
    backends.upsert(0, &name("m-1"), cold_record(1, 3_000));
    backends.upsert(2_000, &name("m-1"), cold_record(1, 3_000));
    assert_eq!((backends.is_cold(2_999, "m-1"), backends.is_cold(3_000, "m-1")), (true, false));
    // It turns cold again without a start.
    backends.upsert(9_000, &name("m-1"), cold_record(2, 3_000));
    assert!(backends.is_cold(11_999, "m-1"));
}

#[test]
fn a_record_that_is_passed_on_says_what_is_left() {
    let mut backends = backends();
    backends.upsert(0, &name("m-1"), cold_record(1, 3_000));
    let mut items = backends.items();
    backends.update_cold_left(2_200, &mut items);
    assert_eq!(items, [backend("m-1", cold_record(1, 800))]);
}

#[test]
fn only_what_a_cold_server_bears_counts_as_free() {
    let mut backends = backends();
    backends.upsert(0, &name("m-1"), cold_record(1, 3_000));
    assert_eq!(backends.slots(0, "model"), (8, 0));
    assert_eq!(backends.slots(100, "model"), (8, 1));
    backends.set_slot_time(250.0);
    assert_eq!(backends.slots(100, "model"), (3, 1));
    // Warm, it has its slots and no more.
    assert_eq!(backends.slots(3_000, "model"), (8, 8));
}

#[test]
fn a_cold_engine_is_chosen_once_its_turn_has_come() {
    let mut backends = backends();
    backends.upsert(0, &name("m-1"), cold_record(1, 3_000));
    let query = EngineQuery {
        deadline_ms: 20_000,
        due_ms: 5_000,
        version_need: VersionNeed::Any,
        ..EngineQuery::default()
    };
    assert_eq!(backends.choose_engine(10, "model", &query), EngineChoice::AllBusy);
    let chosen = EngineChoice::Chosen(name("m-1"));
    assert_eq!(backends.choose_engine(90, "model", &query), chosen);
    backends.take_allowance(90, "m-1");
    assert_eq!(backends.choose_engine(100, "model", &query), EngineChoice::AllBusy);
}

#[test]
fn an_unreachable_server_counts_as_cold_when_it_is_reached_again() {
    let mut backends = backends();
    backends.upsert(0, &name("m-1"), cold_record(1, 0));
    let known = backends.get_mut("m-1").expect("known");
    known.record_end(100, SendOutcome::Unreachable);
    known.record_contact(900);
    assert_eq!((backends.is_cold(3_899, "m-1"), backends.is_cold(3_900, "m-1")), (true, false));
}

#[test]
fn an_untrue_cold_time_is_noted_once_and_takes_no_server_away() {
    let mut state = state();
    let mut cold = document(2);
    let spec = ColdSpec { cold_ms: 3_000, millirequests_per_s: 12_000 };
    cold.services[0].cold = Some(spec);
    apply_store_changes(&mut state, START_MS, vec![StoreItem::Document(Ok(Box::new(cold)))]);
    let untrue = |sequence| {
        let record = BackendRecord { cold_left: ColdLeft::Unreadable, ..cold_record(sequence, 0) };
        vec![backend("m-1", record)]
    };
    apply_store_changes(&mut state, START_MS, untrue(2));
    apply_store_changes(&mut state, START_MS, untrue(3));
    assert!(!state.backends().is_cold(START_MS, "m-1"));
    let unreadable = ColdNotice::Unreadable { backend_server: name("m-1") };
    assert_eq!(state.take_cold_notices(), [unreadable]);
    apply_store_changes(&mut state, START_MS, vec![backend("m-1", cold_record(4, 3_000))]);
    state.tick(START_MS);
    state.tick(START_MS + 3_000);
    let turned = |left_ms: Option<u64>| ColdNotice::Turned {
        backend_server: name("m-1"),
        is_from_record: true,
        left_ms,
        requests_per_s: left_ms.map(|_| 12.0),
    };
    assert_eq!(state.take_cold_notices(), [turned(Some(3_000)), turned(None)]);
}

#[test]
fn the_rate_of_a_cold_server_fits_a_narrow_bound() {
    let bounds = |cold_over, cold_slack| Bounds { cold_over, cold_slack, ..Bounds::default() };
    assert_eq!(bounds(1.5, 5.0).cold_millirequests_per_s(12_000), 12_000);
    assert_eq!(bounds(1.0, 0.0).cold_millirequests_per_s(12_000), 7_200);
    // A rate of nothing would stand for no limit.
    assert_eq!(bounds(-1.0, 0.0).cold_millirequests_per_s(12_000), 1);
}
