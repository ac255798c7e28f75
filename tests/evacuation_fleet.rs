//! Tests of a simulated fleet whose data centres are evacuated: when nothing reaches them any more, and
//! where the load goes.

#[path = "gateway_support/evacuating_fleet.rs"]
mod evacuating_fleet;
mod gateway_support;
#[path = "gateway_support/placer.rs"]
mod placer;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use std::env;

use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::store_item::StoreItem;

use crate::evacuating_fleet::{DATA_CENTRES, EvacuatingFleet};
use crate::gateway_support::{backend, document, name, record};
use crate::simulated_fleet::SimulatedFleet;

/// Bound of an evacuation, in milliseconds.
const EVACUATION_MS: u64 = 5_000;
/// Time for which an instance must have run undisturbed so that the bound holds for it, in
/// milliseconds.
const STABLE_MS: u64 = 4_000;
/// Engines of the fleet.
const ENGINES: usize = 36;
/// Most requests of an engine in a second, as a multiple of the mean of the engines in use.
const MOST_OF_MEAN: f64 = 3.0;
/// Instances of a large fleet, and the time in which its bytes are counted, in milliseconds.
const INSTANCES: usize = 300;
const COUNTED_MS: u64 = 3_600;
/// Environment variable with the number of seeds.
const SEEDS: &str = "EVACUATION_SEEDS";

/// Returns the number of seeds; large fleets take long.
fn seeds(instances: usize) -> u64 {
    let default = if instances > 7 { 1 } else { 2 };
    env::var(SEEDS).ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(default)
}

/// Evacuates a data centre of a fleet to which `disturb` does something right after, and checks that
/// it is empty in time, gets nothing until it is taken back, and then gets its part.
fn check<F>(instances: usize, earlier: &[usize], disturb: F)
where
    F: Fn(&mut EvacuatingFleet),
{
    let [first, second, _] = DATA_CENTRES;
    for seed in 0..seeds(instances) {
        let mut fleet = EvacuatingFleet::start(instances, ENGINES, seed, earlier);
        assert!(!fleet.sent_to(first, 0, 0).is_empty(), "seed {seed}: no load");
        let begun_ms = fleet.now_ms();
        fleet.evacuate(first);
        disturb(&mut fleet);
        fleet.run(6_000);
        let last = fleet.sent_to(first, begun_ms, STABLE_MS).last().map(|sent| sent.at_ms);
        println!(
            "{instances} instances, seed {seed}: empty after {} ms, busiest second {:?}",
            last.unwrap_or(begun_ms) - begun_ms,
            fleet.busiest_second(begun_ms + 500),
        );
        // Another one overlaps with it.
        let second_ms = fleet.now_ms();
        fleet.evacuate(second);
        fleet.run(6_000);
        assert_eq!(
            fleet.sent_to(first, begun_ms + EVACUATION_MS, STABLE_MS).len(),
            0,
            "seed {seed}"
        );
        assert_eq!(
            fleet.sent_to(second, second_ms + EVACUATION_MS, STABLE_MS).len(),
            0,
            "seed {seed}"
        );
        fleet.fleet.sides.fill(0);
        fleet.is_cut.fill(false);
        fleet.fleet.loss = 0.0;
        let back_ms = fleet.now_ms();
        fleet.take_back(first);
        fleet.run(7_000);
        assert!(!fleet.sent_to(first, back_ms, 0).is_empty(), "seed {seed}: not taken back");
        assert_eq!(
            fleet.sent_to(second, second_ms + EVACUATION_MS, STABLE_MS).len(),
            0,
            "seed {seed}"
        );
    }
}

#[test]
fn nothing_reaches_an_evacuated_data_centre_until_it_is_taken_back() {
    check(7, &[], |_| {});
    check(71, &[], |_| {});
}

#[test]
fn lost_datagrams_do_not_keep_a_data_centre_from_emptying() {
    check(7, &[], |fleet| fleet.fleet.loss = 0.1);
    check(71, &[], |fleet| fleet.fleet.loss = 0.1);
}

#[test]
fn cut_instances_empty_it_by_the_store_or_by_each_other() {
    let split = |fleet: &mut EvacuatingFleet| {
        fleet.fleet.sides.iter_mut().enumerate().for_each(|(at, side)| *side = (at % 2) as u8);
    };
    check(7, &[], split);
    check(71, &[], split);
    let cut = |fleet: &mut EvacuatingFleet| {
        fleet.is_cut.iter_mut().enumerate().for_each(|(at, is_cut)| *is_cut = at % 3 == 0);
    };
    check(7, &[], cut);
    check(71, &[], cut);
}

#[test]
fn a_restart_of_all_instances_keeps_an_evacuation() {
    let restart = |fleet: &mut EvacuatingFleet| {
        fleet.run(500);
        fleet.restart_all();
    };
    check(7, &[], restart);
    check(71, &[], restart);
}

#[test]
fn instances_among_some_of_an_earlier_build_empty_it_as_well() {
    check(7, &[0, 2, 4], |_| {});
    check(7, &[0, 1, 2, 3, 4, 5], |_| {});
    check(7, &[0, 2, 4], |fleet| {
        fleet.run(500);
        fleet.restart_all();
    });
    let earlier: Vec<usize> = (0..71).step_by(2).collect();
    check(71, &earlier, |_| {});
}

#[test]
fn a_fleet_that_does_not_follow_evacuations_does_not_empty_it() {
    let mut fleet = EvacuatingFleet::start(7, ENGINES, 0, &[0, 1, 2, 3, 4, 5, 6]);
    let begun_ms = fleet.now_ms();
    fleet.evacuate(DATA_CENTRES[0]);
    fleet.run(6_000);
    let late = |sent: &&evacuating_fleet::Sent| sent.at_ms > begun_ms + EVACUATION_MS;
    let late = fleet.sent.iter().filter(late).filter(|sent| sent.data_centre == DATA_CENTRES[0]);
    assert!(late.count() > 0);
}

#[test]
fn a_silent_store_ends_no_evacuation() {
    for seed in 0..seeds(7) {
        let mut fleet = EvacuatingFleet::start(7, ENGINES, seed, &[]);
        let begun_ms = fleet.now_ms();
        fleet.evacuate(DATA_CENTRES[0]);
        fleet.run(2_000);
        fleet.is_cut.fill(true);
        fleet.take_back(DATA_CENTRES[0]);
        fleet.run(12_000);
        let sent = fleet.sent_to(DATA_CENTRES[0], begun_ms + EVACUATION_MS, 0);
        assert_eq!(sent.len(), 0, "seed {seed}");
    }
}

#[test]
fn the_load_that_moves_is_spread_over_the_engines_that_are_left() {
    for instances in [7, 71] {
        for seed in 0..seeds(instances) {
            let mut fleet = EvacuatingFleet::start(instances, ENGINES, seed, &[]);
            let begun_ms = fleet.now_ms();
            fleet.evacuate(DATA_CENTRES[0]);
            fleet.run(5_000);
            for second in 0..4 {
                let (most, mean) = fleet.busiest_second(begun_ms + second * 1_000);
                println!(
                    "{instances} instances, seed {seed}, second {second}: {most} of {mean:.1}"
                );
                assert!(most as f64 <= MOST_OF_MEAN * mean, "{most} of {mean}");
            }
        }
    }
}

#[test]
fn two_evacuations_add_less_than_a_twentieth_to_what_300_instances_send() {
    let mut fleet = SimulatedFleet::start(INSTANCES, 3, 1);
    let mut items = vec![StoreItem::Document(Ok(Box::new(document(1))))];
    items.extend((0..ENGINES as u16).map(|number| {
        let id = format!("m-{number:04}");
        // Those of evacuated data centres are not reported.
        let data_centre = name(DATA_CENTRES[2]);
        backend(&id, BackendRecord { data_centre, ..record("model", number + 1) })
    }));
    fleet.publish_to_all(1, &items);
    fleet.run(4_000);
    fleet.count_bytes();
    fleet.run(COUNTED_MS);
    let before = fleet.sent_bytes;
    let evacuated = |text: &str| StoreItem::Evacuated { data_centre: name(text) };
    fleet.publish_to_all(
        2,
        &DATA_CENTRES[..2].iter().map(|text| evacuated(text)).collect::<Vec<_>>(),
    );
    fleet.run(2_000);
    fleet.count_bytes();
    fleet.run(COUNTED_MS);
    println!("{before} bytes before, {} after, in {COUNTED_MS} ms", fleet.sent_bytes);
    assert!((fleet.sent_bytes as f64) < 1.05 * before as f64);
}
