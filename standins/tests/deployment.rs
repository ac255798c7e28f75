//! Tests the deployments of the experiment tool, their capacity and bursts.

use std::time::Duration;

use standins::experiment::{Deployment, TimeModel};
use standins::load::{LoadPlan, Mix, RequestClass};

const SERVICE: &str = "plan";

fn fixed_length_class(prompt_tokens: u64, output_tokens: u64) -> RequestClass {
    RequestClass {
        output_tokens_max: output_tokens,
        output_tokens_min: output_tokens,
        prompt_tokens_max: prompt_tokens,
        prompt_tokens_min: prompt_tokens,
        service: SERVICE.to_owned(),
        ..RequestClass::default()
    }
}

#[test]
fn capacity_follows_the_time_model() {
    let model = TimeModel {
        batch_tokens: 256,
        cache_blocks: 128,
        decode_us_per_token: 1_000,
        max_running: 10,
        prefill_us_per_token: 100,
        step_base_us: 20_000,
    };
    // 1000 prompt tokens at 0.1 ms and 100 answer tokens at 1 + 20 / 10 ms.
    let mix = Mix { classes: vec![fixed_length_class(1_000, 100)] };

    let capacity_per_s = model.capacity_per_s(&mix, SERVICE, &[1.0, 3.0]);

    assert!((capacity_per_s - 10.0).abs() < 1e-9, "{capacity_per_s}");
}

#[test]
fn both_deployments_have_three_tiers_and_hundredfold_lengths() {
    for name in ["norrland", "sierra-norte"] {
        let deployment: Deployment = name.parse().expect("a deployment");
        let classes = deployment.mix().classes;
        let mut tiers: Vec<&str> = classes.iter().map(|class| class.tier.as_str()).collect();
        tiers.sort_unstable();
        tiers.dedup();
        assert_eq!(tiers.len(), 3);
        let model = || classes.iter().filter(|class| !class.plain);
        let longest = model().map(|class| class.prompt_tokens_max).max().unwrap_or_default();
        let shortest = model().map(|class| class.prompt_tokens_min).min().unwrap_or_default();
        assert!(longest >= 100 * shortest);
        assert!(deployment.capacity_per_s() > 1.0);
    }
    assert!("elsewhere".parse::<Deployment>().is_err());
}

#[test]
fn a_burst_adds_arrivals_in_its_time_only() {
    let mix = Mix { classes: vec![fixed_length_class(10, 10)] };
    let (from, duration) = (Duration::from_secs(2), Duration::from_secs(1));
    let base = LoadPlan::poisson(mix, 20.0, Duration::from_secs(5), 1);

    let burst = base.clone().burst(50.0, from, duration, 1);

    let during = |plan: &LoadPlan| {
        let times = plan.arrivals.iter().map(|arrival| arrival.at);
        times.filter(|at| (from..from + duration).contains(at)).count()
    };
    let added = burst.arrivals.len() - base.arrivals.len();
    assert!(added > 20);
    assert_eq!(during(&burst) - during(&base), added);
}
