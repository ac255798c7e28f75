//! Properties of the coordinator over random schedules of events.

use bergamotspan::inventory::Inventory;
use bergamotspan::load_report::{CacheEvent, LoadReport};
use bergamotspan::scheduling::Progress;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use schedules::receiver_model::{GrantRequestShape, ReceiverModel};
use schedules::schedulers::InventoryBuilder;

/// Number of schedules per property, unless `PROPTEST_CASES` is set.
const SCHEDULES: u32 = 400;
/// Seed of the schedules, unless `PROPTEST_RNG_SEED` is set.
const SEED: u64 = 1;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    GrantRequest(GrantRequestShape),
    CacheEvents(u8, Vec<(u64, u64, bool)>),
    Excluded(usize),
    InstanceLost(bool),
    Leaving(u8),
    Load(u8, u64, u64),
    Progress(usize, Progress),
    Quarantine(Vec<u64>, Vec<u64>),
    Resend(usize),
    Takeover,
    Withdraw(usize),
}

fn shape() -> impl Strategy<Value = GrantRequestShape> {
    let tokens = prop_oneof![4 => 1u32..400, 1 => 400u32..4_000];
    let fields = (0u8..4, 0u64..12, 1u32..300, tokens, 0u8..3, 0u64..12_000, any::<bool>());
    fields.prop_map(|fields| {
        let (customer, fingerprint, max_output_tokens, prompt_tokens, ..) = fields;
        let (.., tier_rank, time_left_ms, other_instance) = fields;
        GrantRequestShape {
            customer,
            fingerprint,
            max_output_tokens,
            other_instance,
            prompt_tokens,
            tier_rank,
            time_left_ms,
        }
    })
}

fn progress() -> impl Strategy<Value = Progress> {
    let tokens = (1u64..400, 1u32..300).prop_map(|(between_tokens_ms, output_tokens)| {
        Progress::Tokens { between_tokens_ms, output_tokens }
    });
    let finished = (1u32..300)
        .prop_map(|output_tokens| Progress::Finished { cached_tokens: 0, output_tokens });
    prop_oneof![
        1 => Just(Progress::Abandoned),
        1 => Just(Progress::Cancelled),
        1 => Just(Progress::ConnectFailed),
        1 => Just(Progress::Crashed),
        4 => (1u64..3_000).prop_map(|elapsed_ms| Progress::FirstToken { elapsed_ms }),
        6 => tokens,
        8 => finished,
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let fingerprints = || prop::collection::btree_set(0u64..12, 0..4);
    let quarantine = (fingerprints(), fingerprints()).prop_map(|(quarantined, suspects)| {
        Step::Quarantine(quarantined.into_iter().collect(), suspects.into_iter().collect())
    });
    let cache_event = (0u64..50, 0u64..200, any::<bool>());
    let cache_events = (0u8..4, prop::collection::vec(cache_event, 0..5));
    prop_oneof![
        12 => (1u64..600).prop_map(Step::Advance),
        30 => shape().prop_map(Step::GrantRequest),
        1 => cache_events.prop_map(|(engine, events)| Step::CacheEvents(engine, events)),
        3 => any::<usize>().prop_map(Step::Excluded),
        1 => any::<bool>().prop_map(Step::InstanceLost),
        1 => (0u8..16).prop_map(Step::Leaving),
        2 => (0u8..4, 0u64..5_000, 0u64..5_000).prop_map(|(e, age, load)| Step::Load(e, age, load)),
        24 => (any::<usize>(), progress()).prop_map(|(pick, progress)| Step::Progress(pick, progress)),
        1 => quarantine,
        2 => any::<usize>().prop_map(Step::Resend),
        1 => Just(Step::Takeover),
        2 => any::<usize>().prop_map(Step::Withdraw),
    ]
}

fn extreme_ms() -> impl Strategy<Value = u64> {
    prop_oneof![0u64..3, 1_000u64..10_000, u64::MAX - 3..=u64::MAX]
}

fn extreme_tokens() -> impl Strategy<Value = u32> {
    prop_oneof![0u32..3, 100u32..1_000, u32::MAX - 3..=u32::MAX]
}

fn extreme_step() -> impl Strategy<Value = Step> {
    let grant_request = (shape(), extreme_tokens(), extreme_tokens(), extreme_ms());
    let grant_request =
        grant_request.prop_map(|(shape, prompt_tokens, max_output_tokens, time_left_ms)| {
            Step::GrantRequest(GrantRequestShape {
                max_output_tokens,
                prompt_tokens,
                time_left_ms,
                ..shape
            })
        });
    let progress = (any::<usize>(), extreme_ms(), extreme_tokens(), 0u8..3);
    let progress = progress.prop_map(|(pick, time_ms, output_tokens, kind)| {
        let progress = match kind {
            0 => Progress::FirstToken { elapsed_ms: time_ms },
            1 => Progress::Tokens { between_tokens_ms: time_ms, output_tokens },
            _ => Progress::Finished { cached_tokens: u32::MAX, output_tokens },
        };
        Step::Progress(pick, progress)
    });
    let load = (0u8..4, extreme_ms(), extreme_ms());
    let event = (extreme_ms(), extreme_ms(), any::<bool>());
    prop_oneof![
        3 => (1u64..600).prop_map(Step::Advance),
        6 => grant_request,
        1 => prop::collection::vec(event, 0..5).prop_map(|events| Step::CacheEvents(1, events)),
        1 => load.prop_map(|(engine, age_ms, tokens)| Step::Load(engine, age_ms, tokens)),
        6 => progress,
        1 => any::<usize>().prop_map(Step::Resend),
        1 => Just(Step::Takeover),
    ]
}

fn inventory() -> Inventory {
    let builder = InventoryBuilder::new()
        .engine("e0", 600)
        .engine("e1", 1_000)
        .engine("e2", 2_000)
        .engine("e3", 400);
    builder.customer("customer-0", 4).customer("customer-1", 1).build()
}

fn run(model: &mut ReceiverModel, step: Step) {
    match step {
        Step::Advance(elapsed_ms) => model.advance(elapsed_ms),
        Step::GrantRequest(shape) => model.request_grant(shape),
        Step::CacheEvents(engine, events) => {
            let event =
                |(prefix_hash, sequence, stored)| CacheEvent { prefix_hash, sequence, stored };
            model.cache_events(engine, events.into_iter().map(event).collect());
        }
        Step::Excluded(pick) => model.connect_failed_and_request_again(pick),
        Step::InstanceLost(other) => model.instance_lost(other),
        Step::Leaving(mask) => model.leaving(mask),
        Step::Load(engine, age_ms, queued_tokens) => {
            model.load(engine, LoadReport { age_ms, queued_tokens, ..LoadReport::default() });
        }
        Step::Progress(pick, progress) => model.progress(pick, progress),
        Step::Quarantine(quarantined, suspects) => model.quarantine(quarantined, suspects),
        Step::Resend(pick) => model.resend(pick),
        Step::Takeover => model.takeover(),
        Step::Withdraw(pick) => model.withdraw(pick),
    }
}

/// Fixes the seed, so that each run has the same result; `PROPTEST_CASES` and `PROPTEST_RNG_SEED`
/// run more and other schedules.
fn config() -> ProptestConfig {
    let set = |variable| std::env::var_os(variable).is_some();
    let mut config = ProptestConfig::default();
    if !set("PROPTEST_CASES") {
        config.cases = SCHEDULES;
    }
    if !set("PROPTEST_RNG_SEED") {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    config
}

proptest! {
    #![proptest_config(config())]

    /// Checks after each step the invariants of [`ReceiverModel`]: limits, tier order, no lost and
    /// no double grant, leaving and down servers, suspects and quarantine.
    #[test]
    fn holds_over_random_schedules(steps in prop::collection::vec(step(), 1..300)) {
        let mut model = ReceiverModel::new(inventory());

        for step in steps {
            run(&mut model, step);
        }

        model.finish();
    }

    /// Peers may send any values; none may make the coordinator panic.
    #[test]
    fn survives_extreme_values(steps in prop::collection::vec(extreme_step(), 1..200)) {
        let mut model = ReceiverModel::new(inventory());

        for step in steps {
            run(&mut model, step);
        }
    }
}
