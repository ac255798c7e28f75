//! Tests that the checker reports each broken rule of streams, and counts those taken up.

use soak::checker::{Checker, ReportedOutcome, Run, Sent};
use soak::engine::{event, split_events};
use soak::streams::{ReceivedEvent, Try};

const STREAM: &str = "r-1";

/// Returns a try with events of these numbers and versions.
fn attempt(id: &str, events: &[(u64, &str)], outcome: ReportedOutcome) -> Try {
    let events = events.iter();
    let events = events
        .map(|(number, version)| ReceivedEvent { number: *number, version: (*version).into() });
    Try { after: 0, events: events.collect(), id: id.to_owned(), outcome, refusal: None }
}

fn refused(id: &str, reason: &str) -> Try {
    Try { refusal: Some(reason.into()), ..attempt(id, &[], ReportedOutcome::NotRun) }
}

fn checker(tries: Vec<Try>) -> Checker {
    let mut checker = Checker::default();
    checker.streams.insert(STREAM.to_owned(), tries);
    checker
}

/// Returns a checker of a stream that broke off after two events of v1 and went on with these.
fn resumed(events: &[(u64, &str)]) -> Checker {
    checker(vec![
        attempt(STREAM, &[(1, "v1"), (2, "v1")], ReportedOutcome::Open),
        attempt("r-1.2", events, ReportedOutcome::Open),
    ])
}

fn only_finding(checker: &Checker) -> String {
    let findings = checker.findings();
    assert_eq!(findings.len(), 1, "{findings:?}");
    findings[0].clone()
}

#[test]
fn a_stream_that_goes_on_at_its_version_has_no_findings() {
    assert!(resumed(&[(3, "v1"), (4, "v1")]).findings().is_empty());
    assert!(resumed(&[]).findings().is_empty());
}

#[test]
fn events_of_two_versions_are_found_over_all_tries_and_in_one_answer() {
    assert!(only_finding(&resumed(&[(3, "v2")])).starts_with("r-1 holds events of v1 and v2"));
    let events = [(1, "v2"), (2, "v1")];
    let checker = checker(vec![attempt(STREAM, &events, ReportedOutcome::Served)]);
    assert!(only_finding(&checker).starts_with("r-1 holds events of v2 and v1"));
}

#[test]
fn a_gap_and_a_repeat_are_found() {
    assert!(only_finding(&resumed(&[(4, "v1")])).contains("event 4 in place of 3"));
    assert!(only_finding(&resumed(&[(2, "v1")])).contains("event 2 in place of 3"));
}

#[test]
fn a_run_from_an_event_on_at_another_version_is_found_though_it_sent_nothing() {
    let mut checker = resumed(&[]);
    let sent = Sent {
        at_ms: 0,
        ended_ms: 0,
        instance: (0, 1),
        key: "key".to_owned(),
        repeatable: true,
        told: ReportedOutcome::Open,
    };
    checker.sent.insert("r-1.2".to_owned(), sent);
    let run = |after, version: &str| Run {
        data_centre: "zone-0".into(),
        after,
        at_ms: 10,
        breaks_off: true,
        customer: "clinic".to_owned(),
        version: version.into(),
    };
    checker.runs.insert("r-1.2".to_owned(), vec![run(2, "v1"), run(0, "v2")]);
    assert!(checker.findings().is_empty());
    checker.runs.insert("r-1.2".to_owned(), vec![run(2, "v2")]);
    assert!(only_finding(&checker).contains("of v1 was run from event 2 on at v2"));
}

#[test]
fn streams_that_are_taken_up_are_counted_by_their_end() {
    let broken = || attempt(STREAM, &[(1, "v1")], ReportedOutcome::Open);
    let whole = || attempt("r-1.3", &[(2, "v1")], ReportedOutcome::Served);
    let mut checker = checker(vec![broken()]);
    let ends = [
        vec![refused("r-1.2", "overloaded"), whole()],
        vec![attempt("r-1.2", &[(2, "v1")], ReportedOutcome::Open), refused("r-1.3", "full")],
        vec![refused("r-1.2", "full"), refused("r-1.3", "unknown_stream")],
        vec![attempt("r-1.2", &[], ReportedOutcome::Open)],
    ];
    for (number, end) in ends.into_iter().enumerate() {
        let tries = [broken()].into_iter().chain(end).collect();
        checker.streams.insert(format!("r-{}", number + 2), tries);
    }
    let counts = checker.stream_counts();
    assert_eq!(
        counts.to_string(),
        "4 streams taken up: 2 went on (1 to the end), 1 refused (unknown_stream 1), 1 broken again"
    );
    let mut sum = counts.clone();
    sum.add(&counts);
    assert_eq!(sum.taken_up, 8);
    assert_eq!(sum.refused.values().sum::<usize>(), 2);
}

#[test]
fn events_are_split_off_up_to_the_first_that_is_not_whole_or_of_another_request() {
    let whole = event(STREAM, 1, "v1") + &event(STREAM, 2, "v2");
    let (events, rest) = split_events(STREAM, &whole);
    assert_eq!(events, attempt(STREAM, &[(1, "v1"), (2, "v2")], ReportedOutcome::Open).events);
    assert_eq!(rest, "");
    let cut = &whole[..whole.len() - 1];
    let (events, rest) = split_events(STREAM, cut);
    assert_eq!((events.len(), rest), (1, "id: 2\ndata: r-1 2 v2\n"));
    let foreign = event("r-2", 1, "v1");
    assert_eq!(split_events(STREAM, &foreign), (Vec::new(), &*foreign));
}
