//! Compares the goodput by tier of the coordinator with that of the baselines, on fake engines of
//! different speeds.

use bergamotspan::coordinator::Coordinator;
use bergamotspan::least_outstanding::LeastOutstanding;
use bergamotspan::round_robin::RoundRobin;
use bergamotspan::scheduler::Scheduler;
use schedules::fake_fleet::{FakeFleet, Load, Speed, Stall, TierResult};
use schedules::schedulers::{Harness, InventoryBuilder, SERVICE};

const INSTANCES: usize = 7;
const SEEDS: [u64; 3] = [1, 2, 3];
const SPEEDS: [Speed; 4] = [
    Speed { between_tokens_us: 10_000, prefill_tokens_per_s: 8_000 },
    Speed { between_tokens_us: 15_000, prefill_tokens_per_s: 5_000 },
    Speed { between_tokens_us: 25_000, prefill_tokens_per_s: 3_000 },
    Speed { between_tokens_us: 40_000, prefill_tokens_per_s: 1_500 },
];

const LIGHT: LoadShape = LoadShape { requests_per_s: 2, stall: None };
const OVERLOAD: LoadShape = LoadShape { requests_per_s: 12, stall: None };
/// The fastest engine stalls for 30 s.
const STALLED: LoadShape = LoadShape {
    requests_per_s: 4,
    stall: Some(Stall { engine_index: 0, from_ms: 40_000, to_ms: 70_000 }),
};

#[derive(Clone, Copy, Debug)]
struct LoadShape {
    requests_per_s: u64,
    stall: Option<Stall>,
}

fn inventory() -> InventoryBuilder {
    (0..SPEEDS.len())
        .fold(InventoryBuilder::new(), |builder, index| builder.engine(&format!("e{index}"), 8_000))
}

fn run<F>(name: &str, instances: usize, shape: LoadShape, make: F) -> [TierResult; 3]
where
    F: Fn() -> Box<dyn Scheduler>,
{
    let mut sums = [TierResult::default(); 3];
    let mut wasted_tokens = 0;
    for seed in SEEDS {
        let schedulers = (0..instances).map(|_| Harness::new(make(), inventory())).collect();
        let mut fleet = FakeFleet::new(schedulers, &SPEEDS);
        let LoadShape { requests_per_s, stall } = shape;
        fleet.run(Load { duration_ms: 120_000, requests_per_s, seed, stall });
        wasted_tokens += fleet.wasted_prefill_tokens;
        for (sum, result) in sums.iter_mut().zip(fleet.results) {
            sum.in_time += result.in_time;
            sum.late += result.late;
            sum.refused += result.refused;
            sum.sent += result.sent;
        }
    }
    println!("{name} at {shape:?}, seeds {SEEDS:?}: {wasted_tokens} prefill tokens wasted");
    for (rank, sum) in sums.iter().enumerate() {
        println!("  tier {rank}: {sum:?}");
    }
    sums
}

fn coordinator(shape: LoadShape) -> [TierResult; 3] {
    run("coordinator", 1, shape, || Box::new(Coordinator::new(SERVICE.into())))
}

fn round_robin(shape: LoadShape) -> [TierResult; 3] {
    run("round robin", INSTANCES, shape, || Box::new(RoundRobin::new(SERVICE.into())))
}

fn least_outstanding(shape: LoadShape) -> [TierResult; 3] {
    let make = || -> Box<dyn Scheduler> { Box::new(LeastOutstanding::new(SERVICE.into())) };
    run("least outstanding", INSTANCES, shape, make)
}

fn in_time(results: &[TierResult; 3]) -> u64 {
    results.iter().map(|result| result.in_time).sum()
}

#[test]
fn serves_the_highest_tier_in_time_under_overload() {
    let coordinator = coordinator(OVERLOAD);
    let baselines = [round_robin(OVERLOAD), least_outstanding(OVERLOAD)];

    assert!(coordinator[0].in_time * 100 >= coordinator[0].sent * 98, "{coordinator:?}");
    for baseline in baselines {
        assert!(coordinator[0].in_time >= baseline[0].in_time);
        assert!(in_time(&coordinator) >= in_time(&baseline));
    }
}

#[test]
fn serves_all_tiers_at_a_light_load() {
    let coordinator = coordinator(LIGHT);
    round_robin(LIGHT);
    least_outstanding(LIGHT);

    for result in coordinator {
        assert!(result.in_time * 100 >= result.sent * 98, "{result:?}");
    }
}

#[test]
fn works_around_an_engine_that_stalls() {
    let coordinator = coordinator(STALLED);
    let baselines = [round_robin(STALLED), least_outstanding(STALLED)];

    for baseline in baselines {
        assert!(coordinator[0].in_time >= baseline[0].in_time);
        assert!(in_time(&coordinator) >= in_time(&baseline));
    }
}
