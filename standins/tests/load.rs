//! Tests the load driver.

mod support;

use std::time::Duration;

use standins::load::{LoadPlan, Mix, RequestClass, Target, drive};

use support::start;

fn mix() -> Mix {
    let low =
        RequestClass { prompt_tokens_max: 64, output_tokens_max: 8, ..RequestClass::default() };
    let high = RequestClass { tier: "high".to_owned(), ..low.clone() };
    Mix { classes: vec![high, low] }
}

#[test]
fn a_seed_determines_the_plan() {
    let plan = |seed| LoadPlan::poisson(mix(), 100.0, Duration::from_secs(1), seed).arrivals;
    assert_eq!(plan(1), plan(1));
    assert_ne!(plan(1), plan(2));
    assert!(plan(1).iter().all(|arrival| (2..=8).contains(&arrival.output_tokens)));
}

#[test]
fn drives_engines_directly() {
    let engine = start("engine", &[]);
    let plan = LoadPlan::poisson(mix(), 50.0, Duration::from_millis(500), 3);
    let report = drive(&plan, &Target::Direct(vec![engine.address]));
    let offered: u64 = report.tiers.iter().map(|tier| tier.offered).sum();
    let done: u64 = report.tiers.iter().map(|tier| tier.done_in_time).sum();
    assert_eq!(offered, plan.arrivals.len() as u64);
    assert_eq!(done, offered, "{report}");
    assert!(report.tier("high").is_some() && report.tier("low").is_some());
}

#[test]
fn an_unreachable_address_breaks_each_request() {
    let mut engine = start("engine", &[]);
    engine.process.kill();
    let plan = LoadPlan::poisson(mix(), 50.0, Duration::from_millis(100), 3);
    let report = drive(&plan, &Target::Instances(vec![engine.address]));
    assert!(report.tiers.iter().all(|tier| tier.broken == tier.offered));
}

#[test]
fn long_times_to_the_first_token_are_not_capped() {
    let engine = start("engine", &["--step-base-us", "2500000"]);
    let class =
        RequestClass { output_tokens_max: 1, output_tokens_min: 1, ..RequestClass::default() };
    let plan = LoadPlan::poisson(Mix { classes: vec![class] }, 20.0, Duration::from_millis(100), 1);
    let report = drive(&plan, &Target::Direct(vec![engine.address]));
    assert!(report.tiers[0].ttft_ms.p50 >= 2_400, "{report}");
}
