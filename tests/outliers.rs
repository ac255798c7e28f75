//! Tests of the ejection of backend servers that fail far more often than the others.

use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::outliers::judge::{Others, Verdict, judge};
use bergamotspan::gateway::outliers::record::{Ejection, OutcomeRecord, Standing};
use bergamotspan::gateway::outliers::trials::TrialResult;
use bergamotspan::name::Name;

const NOW_MS: u64 = 50_000;

fn instance(number: u32) -> Name {
    format!("front-{number}").into()
}

fn record_of(outcomes: &[(u32, SendOutcome)]) -> OutcomeRecord {
    let mut record = OutcomeRecord::default();
    for (number, outcome) in outcomes {
        record.record(&instance(*number), *outcome);
    }
    record
}

fn failing(instances: u32) -> OutcomeRecord {
    let failures: Vec<_> =
        (0..12).map(|number| (number % instances, SendOutcome::Failed)).collect();
    record_of(&failures)
}

fn sound(count: usize) -> OutcomeRecord {
    record_of(&vec![(0, SendOutcome::Answered); count])
}

fn others(records: &[OutcomeRecord]) -> Others {
    records.iter().fold(Others::default(), |mut sum, record| {
        sum.add(record);
        sum
    })
}

#[test]
fn a_server_that_fails_every_request_of_several_instances_is_ejected() {
    let others = others(&[sound(20), sound(20)]);
    assert_eq!(judge(&failing(3), others, true), Verdict::Eject);
}

#[test]
fn failures_of_one_instance_alone_may_be_those_of_its_path() {
    let others = others(&[sound(20), sound(20)]);
    let record = record_of(&[(1, SendOutcome::Failed); 6]);
    assert_eq!(judge(&record, others, true), Verdict::Keep);
    assert_eq!(judge(&record, others, false), Verdict::Eject);
}

#[test]
fn a_server_that_turns_requests_away_or_is_out_of_reach_is_not_judged() {
    for outcome in [SendOutcome::Refused, SendOutcome::Unreachable, SendOutcome::Abandoned] {
        let record = record_of(&[(0, outcome), (1, outcome), (2, outcome), (3, outcome)]);
        assert_eq!((record.count(), record.failures_in_a_row(false)), (0, 0));
    }
}

#[test]
fn a_service_that_fails_as_a_whole_keeps_its_servers() {
    let others = others(&[failing(3), failing(3)]);
    assert_eq!(judge(&failing(3), others, true), Verdict::Keep);
}

#[test]
fn no_more_than_half_of_a_service_is_ejected() {
    let mut ejected = failing(3);
    ejected.standing = Standing::Ejected(Ejection::new(NOW_MS));
    let of_three = others(&[ejected.clone(), sound(20)]);
    assert_eq!(judge(&failing(3), of_three, true), Verdict::Keep);
    let of_four = others(&[ejected, sound(20), sound(20)]);
    assert_eq!(judge(&failing(3), of_four, true), Verdict::Eject);
    assert_eq!(judge(&failing(3), Others::default(), true), Verdict::Keep);
}

#[test]
fn a_server_that_fails_most_requests_is_ejected_though_some_are_answered() {
    let outcomes: Vec<_> = (0..20)
        .map(|number| match number % 3 {
            0 => (number, SendOutcome::Answered),
            _ => (number, SendOutcome::Failed),
        })
        .collect();
    let others = others(&[sound(20), sound(20)]);
    assert_eq!(judge(&record_of(&outcomes), others, true), Verdict::Eject);
}

#[test]
fn trials_are_spaced_and_three_answered_ones_restore_trust() {
    let mut record = failing(3);
    record.standing = Standing::Ejected(Ejection::new(NOW_MS));
    assert!(!record.is_trial_due(NOW_MS + 999));
    assert!(record.is_trial_due(NOW_MS + 1_000));
    // What was sent before the ejection is no trial.
    assert_eq!(record.end_trial(NOW_MS + 1_000, NOW_MS - 1, false), TrialResult::Ejected);
    let mut now_ms = NOW_MS + 1_000;
    for expected in [TrialResult::Ejected, TrialResult::Ejected, TrialResult::Trusted] {
        assert!(record.is_trial_due(now_ms));
        record.begin_send(now_ms);
        assert!(!record.is_trial_due(now_ms + 999));
        assert_eq!(record.end_trial(now_ms, now_ms, false), expected);
        now_ms += 200;
    }
    assert_eq!((record.standing, record.count()), (Standing::Trusted, 0));
}

#[test]
fn a_server_whose_trials_fail_gets_fewer_of_them() {
    let mut record = failing(3);
    record.standing = Standing::Ejected(Ejection::new(NOW_MS));
    let mut now_ms = NOW_MS;
    let mut trials = 0;
    while now_ms < NOW_MS + 60_000 {
        now_ms += 10;
        if record.is_trial_due(now_ms) {
            record.begin_send(now_ms);
            record.end_trial(now_ms, now_ms, true);
            trials += 1;
        }
    }
    assert!((8..30).contains(&trials), "{trials}");
}
