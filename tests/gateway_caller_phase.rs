//! Timeouts of callers' connections under documents that change.

use bergamotspan::gateway::caller_phase::{CallerPhase, Overdue};
use bergamotspan::gateway::routing_document::CallerLimits;

fn limits(header_timeout_ms: u64, idle_timeout_ms: u64) -> CallerLimits {
    CallerLimits { header_timeout_ms, idle_timeout_ms, ..CallerLimits::default() }
}

#[test]
fn an_idle_connection_is_overdue_after_the_timeout_and_a_second() {
    let idle = CallerPhase::idle(100, &limits(3_000, 2_000));
    assert_eq!(idle.overdue(3_100), Overdue::No);
    assert_eq!(idle.overdue(3_101), Overdue::Idle);
}

#[test]
fn a_shorter_timeout_holds_only_for_what_begins_later() {
    let (long, short) = (limits(3_000, 2_000), limits(30, 20));
    let idle = CallerPhase::idle(0, &long).under(&short);
    assert_eq!(idle.overdue(3_000), Overdue::No);
    assert_eq!(idle.overdue(3_001), Overdue::Idle);
    let head = CallerPhase::idle(0, &long).after_bytes(10, &long).under(&short);
    assert_eq!(head.overdue(3_010), Overdue::No);
    assert_eq!(head.overdue(3_011), Overdue::Head);
    let later = idle.after_bytes(100, &short);
    assert_eq!(later.overdue(131), Overdue::Head);
}

#[test]
fn a_longer_timeout_holds_at_once_and_is_kept() {
    let (long, short) = (limits(3_000, 2_000), limits(30, 20));
    let idle = CallerPhase::idle(0, &short).under(&long).under(&short);
    assert_eq!(idle.overdue(3_000), Overdue::No);
    let head = CallerPhase::idle(0, &short).after_bytes(0, &short).under(&long).under(&short);
    assert_eq!(head.overdue(3_000), Overdue::No);
    assert_eq!(head.overdue(3_001), Overdue::Head);
}

#[test]
fn a_connection_whose_request_is_answered_is_never_overdue() {
    let answering = CallerPhase::Answering.under(&limits(0, 0)).after_bytes(1, &limits(0, 0));
    assert_eq!(answering, CallerPhase::Answering);
    assert_eq!(answering.overdue(u64::MAX), Overdue::No);
}
