//! Tests of the limit on requests that a backend server states.

use bergamotspan::gateway::rate_limit::{LimitStatement, RateLimit, StatedLimit};

const WHOLE: u64 = 1_000;

fn stated(now_ms: u64, millirequests_per_s: u64) -> LimitStatement {
    LimitStatement { millirequests_per_s: Some(millirequests_per_s), stated_ms: now_ms }
}

#[test]
fn a_server_without_a_limit_may_be_sent_anything() {
    let mut limit = RateLimit::default();
    limit.take(0, WHOLE);
    assert_eq!(limit.wait_ms(0, WHOLE), Some(0));
    assert_eq!(limit.wait_ms(0, 0), Some(0));
}

#[test]
fn a_limit_earns_requests_from_its_first_statement_on() {
    let mut limit = RateLimit::default();
    assert!(limit.merge(1_000, stated(1_000, 2_000)));
    assert_eq!(limit.wait_ms(1_000, WHOLE), Some(500));
    assert_eq!(limit.wait_ms(1_500, WHOLE), Some(0));
    limit.take(1_500, WHOLE);
    assert_eq!(limit.wait_ms(1_500, WHOLE), Some(500));
    assert_eq!(limit.wait_ms(1_500, WHOLE / 2), Some(1_000));
    assert_eq!(limit.wait_ms(9_000, 0), None);
}

#[test]
fn an_instance_that_gains_its_share_begins_with_nothing() {
    let mut limit = RateLimit::default();
    limit.merge(0, stated(0, 1_000));
    limit.change_share(60_000, 0, WHOLE);
    assert_eq!(limit.wait_ms(60_000, WHOLE), Some(1_000));
}

#[test]
fn a_late_answer_without_a_limit_does_not_end_it_and_a_later_one_does() {
    let mut limit = RateLimit::default();
    limit.merge(1_000, stated(1_000, 2_000));
    let begun_before =
        LimitStatement::of_answer(1_200, 900, StatedLimit::None).expect("a statement");
    assert!(!limit.merge(1_200, begun_before));
    assert_eq!(limit.millirequests_per_s(), Some(2_000));
    let begun_after =
        LimitStatement::of_answer(1_400, 1_100, StatedLimit::None).expect("a statement");
    assert!(limit.merge(1_400, begun_after));
    assert_eq!(limit.wait_ms(1_400, WHOLE), Some(0));
    assert!(LimitStatement::of_answer(1_500, 1_450, StatedLimit::Unreadable).is_none());
}

#[test]
fn of_two_statements_the_later_one_counts_whichever_arrives_first() {
    let (earlier, later) = (stated(1_000, 5_000), stated(2_000, 1_000));
    for statements in [[earlier, later], [later, earlier]] {
        let mut limit = RateLimit::default();
        for statement in statements {
            limit.merge(2_500, statement);
        }
        assert_eq!(limit.millirequests_per_s(), Some(1_000));
    }
}

#[test]
fn a_limit_of_nothing_lets_a_request_through_now_and_then() {
    let mut limit = RateLimit::default();
    limit.merge(0, stated(0, 0));
    assert_eq!(limit.wait_ms(0, WHOLE), Some(10_000));
}
