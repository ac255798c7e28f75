//! Tests that the checker reports each kind of violation, and nothing for a history without one.

use soak::checker::{
    COLD_OVER, COLD_PER_S, COLD_SLACK, Checker, EVACUATE_MS, FAULT_MARGIN_MS, FaultPeriod,
    LIMIT_WINDOW_MS, LOSS_TIME_MS, Limit, REVOKE_MS, ReportedOutcome, Run, Sent, UNDISTURBED_MS,
};

const AT_MS: u64 = 20_000;

fn sent(told: ReportedOutcome) -> Sent {
    Sent {
        at_ms: AT_MS,
        ended_ms: AT_MS + 100,
        instance: (1, 1),
        key: "key".to_owned(),
        repeatable: false,
        told,
    }
}

fn run(breaks_off: bool, at_ms: u64) -> Run {
    Run {
        after: 0,
        at_ms,
        data_centre: "zone-0".into(),
        breaks_off,
        customer: "clinic".to_owned(),
        version: "v1".into(),
    }
}

fn checker(sent: Sent, runs: usize) -> Checker {
    let mut checker = Checker::default();
    checker.sent.insert("r-1".to_owned(), sent);
    let once = run(false, AT_MS);
    if runs > 0 {
        checker.runs.insert("r-1".to_owned(), vec![once; runs]);
    }
    checker
}

fn only_finding(checker: &Checker) -> String {
    let findings = checker.findings();
    assert_eq!(findings.len(), 1, "{findings:?}");
    findings[0].clone()
}

#[test]
fn a_clean_history_has_no_findings() {
    assert!(checker(sent(ReportedOutcome::Served), 1).findings().is_empty());
    assert!(checker(sent(ReportedOutcome::NotRun), 0).findings().is_empty());
    assert!(checker(sent(ReportedOutcome::Open), 1).findings().is_empty());
    let repeatable = Sent { repeatable: true, ..sent(ReportedOutcome::Served) };
    assert!(checker(repeatable, 2).findings().is_empty());
}

#[test]
fn too_many_requests_in_a_second_at_a_cold_server_are_found() {
    let mut checker = checker(sent(ReportedOutcome::Served), 1);
    let allowed = (COLD_PER_S * COLD_OVER + COLD_SLACK) as u64;
    let times: Vec<u64> = (0..allowed).map(|number| AT_MS + number).collect();
    let later = (0..allowed).map(|number| AT_MS + 1_200 + number);
    let within = times.iter().copied().chain(later).collect();
    checker.cold_arrivals.insert("e-1-7".to_owned(), within);
    assert!(checker.findings().is_empty());
    let above = times.into_iter().chain([AT_MS + 999]).collect();
    checker.cold_arrivals.insert("e-1-8".to_owned(), above);
    assert!(only_finding(&checker).starts_with("e-1-8 got 24 requests"));
}

#[test]
fn a_second_run_of_a_request_that_may_run_once_is_found() {
    assert!(
        only_finding(&checker(sent(ReportedOutcome::Served), 2)).starts_with("r-1 ran 2 times")
    );
}

#[test]
fn a_run_of_a_request_reported_as_not_run_is_found() {
    assert!(
        only_finding(&checker(sent(ReportedOutcome::NotRun), 1))
            .contains("reported as not run, but ran")
    );
}

#[test]
fn a_wrong_answer_and_an_answer_without_a_run_are_found() {
    assert!(
        only_finding(&checker(sent(ReportedOutcome::Mixed), 1))
            .contains("wrong or incomplete answer")
    );
    assert!(only_finding(&checker(sent(ReportedOutcome::Served), 0)).contains("did not run"));
}

#[test]
fn a_run_without_a_request_is_found() {
    let mut checker = checker(sent(ReportedOutcome::Served), 1);
    checker.sent.clear();
    assert_eq!(only_finding(&checker), "r-1 ran and nobody sent it");
}

#[test]
fn a_run_with_a_revoked_key_is_found() {
    let mut checker = checker(sent(ReportedOutcome::Served), 1);
    let early_ms = AT_MS - REVOKE_MS - 1;
    checker.revocations.insert("key".to_owned(), vec![(early_ms, None)]);
    assert!(only_finding(&checker).contains("revoked key"));
    checker.revocations.insert("key".to_owned(), vec![(early_ms, Some(AT_MS))]);
    assert!(checker.findings().is_empty());
    checker.revocations.insert("key".to_owned(), vec![(early_ms + 1, None)]);
    assert!(checker.findings().is_empty());
}

#[test]
fn a_request_lost_at_a_planned_stop_is_found_unless_another_fault_was_active() {
    let mut checker = checker(sent(ReportedOutcome::Open), 1);
    let stop =
        FaultPeriod { from_ms: AT_MS, until_ms: AT_MS + 5_000, stopped_instance: Some((1, 1)) };
    checker.fault_periods.push(stop);
    assert!(only_finding(&checker).contains("planned stop"));
    let earlier_ms = AT_MS - FAULT_MARGIN_MS;
    checker.fault_periods.push(FaultPeriod {
        from_ms: 0,
        until_ms: earlier_ms,
        stopped_instance: None,
    });
    assert!(checker.findings().is_empty());
    checker.fault_periods[1].until_ms = earlier_ms - 1;
    assert_eq!(checker.findings().len(), 1);
    checker.fault_periods[0].stopped_instance = Some((1, 2));
    assert!(checker.findings().is_empty());
}

#[test]
fn a_broken_off_run_excuses_its_own_request_alone() {
    let mut checker = checker(sent(ReportedOutcome::Open), 1);
    let stop =
        FaultPeriod { from_ms: AT_MS, until_ms: AT_MS + 5_000, stopped_instance: Some((1, 1)) };
    checker.fault_periods.push(stop);
    let broken = run(true, AT_MS);
    checker.sent.insert("r-2".to_owned(), sent(ReportedOutcome::Open));
    checker.runs.insert("r-2".to_owned(), vec![broken]);
    assert!(only_finding(&checker).starts_with("r-1 was lost at a planned stop"));
}

#[test]
fn a_customer_that_runs_more_than_its_limit_is_found() {
    let mut checker = Checker::default();
    checker.limits.insert("clinic".to_owned(), Limit { burst: 10.0, per_s: 10.0 });
    // (10 * 8 + 10) * 1.25 + 20
    let allowed = 132;
    for number in 0..=allowed {
        let (id, at_ms) = (format!("r-{number}"), AT_MS + number * LIMIT_WINDOW_MS / (allowed + 1));
        checker.sent.insert(id.clone(), sent(ReportedOutcome::Served));
        checker.runs.insert(id, vec![run(false, at_ms)]);
    }
    assert!(only_finding(&checker).starts_with("clinic ran 133 requests"));
    checker.runs.remove("r-0");
    checker.sent.remove("r-0");
    assert!(checker.findings().is_empty());
}

#[test]
fn an_answer_that_was_lost_before_its_time_was_nearly_over_is_a_loss() {
    assert_eq!(checker(sent(ReportedOutcome::Open), 1).losses().len(), 1);
    assert!(checker(sent(ReportedOutcome::Open), 0).losses().is_empty());
    assert!(checker(sent(ReportedOutcome::Served), 1).losses().is_empty());
    let late = Sent { ended_ms: AT_MS + LOSS_TIME_MS, ..sent(ReportedOutcome::Open) };
    assert!(checker(late, 1).losses().is_empty());
}

#[test]
fn a_run_in_an_evacuated_data_centre_from_an_undisturbed_instance_is_found() {
    let evacuated = |data_centre: &str, from_ms: u64, until_ms: Option<u64>| {
        let evacuations = vec![(data_centre.into(), from_ms, until_ms)];
        Checker { evacuations, ..checker(sent(ReportedOutcome::Served), 1) }
    };
    let begun_ms = AT_MS - EVACUATE_MS - 1;
    let late = evacuated("zone-0", begun_ms, None);
    assert!(only_finding(&late).contains("in an evacuated data centre"));
    let disturbed = |instance| {
        let disturbances = vec![(instance, begun_ms, AT_MS - UNDISTURBED_MS)];
        Checker { disturbances, ..late.clone() }
    };
    assert!(disturbed(Some(1)).findings().is_empty());
    assert!(disturbed(None).findings().is_empty());
    assert_eq!(disturbed(Some(2)).findings().len(), 1, "another instance was disturbed");
    assert!(evacuated("zone-1", begun_ms, None).findings().is_empty());
    assert!(evacuated("zone-0", begun_ms + 1, None).findings().is_empty());
    assert!(evacuated("zone-0", 0, Some(AT_MS)).findings().is_empty());
}
