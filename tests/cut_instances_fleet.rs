//! Tests of a simulated fleet in which some instances reach no engine: the others are served as
//! before, nothing sound is held back or quarantined, and the cut ones return once they can.

mod gateway_support;
#[path = "gateway_support/placer.rs"]
mod placer;
#[path = "gateway_support/served_fleet.rs"]
mod served_fleet;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use std::env;
use std::ops::Range;

use crate::served_fleet::{Cut, SOUND_PARTS, ServedFleet};

/// Time in which a fleet finds itself, in milliseconds.
const SETTLE_MS: u64 = 4_000;
/// Time with sound requests alone, in milliseconds.
const SOUND_MS: u64 = 3_000;
/// Time from the beginning of a cut until an engine ends, in milliseconds.
const CRASH_AFTER_MS: u64 = 2_000;
/// Time after its end from which an engine should receive nothing, in milliseconds.
const GONE_MS: u64 = 1_000;
/// Time from the end of an engine until its record is removed, in milliseconds.
const RECORD_MS: u64 = 4_000;
/// Duration of a cut, in milliseconds.
const CUT_MS: u64 = 7_000;
/// Time after a cut in which its instances have to be served again, in milliseconds.
const RETURN_MS: u64 = 2_000;
/// Time after the return for which the instances are watched, in milliseconds.
const WATCHED_MS: u64 = 3_000;
/// Time at the end in which requests may still wait for their first events, in milliseconds.
const LAST_MS: u64 = 1_000;
/// Largest permitted share of the requests that go to an engine from then on.
const LATE_SHARE: f64 = 0.01;
/// Least share of what is served without a cut that has to be served beside and after it.
const LEAST_SHARE: f64 = 0.9;
/// Environment variable with the number of further seeds.
const MORE_SEEDS: &str = "CUT_INSTANCES_SEEDS";

/// Which instances are cut off.
#[derive(Clone, Copy, Debug)]
enum Whom {
    All(usize),
    Coordinators,
    Most(usize),
    One,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    instances: usize,
    engines: usize,
    cut: Cut,
    whom: Whom,
}

const SMALL: Case = Case { instances: 7, engines: 9, cut: Cut::Refused, whom: Whom::One };
const LARGE: Case = Case { instances: 150, engines: 100, ..SMALL };
/// Number of instances in a data centre of the small and of the large fleet.
const SMALL_GROUP: usize = 3;
const LARGE_GROUP: usize = 50;

fn cut_instances(served: &ServedFleet, whom: Whom) -> Vec<usize> {
    match whom {
        Whom::All(group) => (0..group).collect(),
        Whom::Coordinators => served.coordinators(),
        Whom::Most(group) => (0..group - group.div_ceil(5)).collect(),
        Whom::One => vec![1],
    }
}

fn share(served: &ServedFleet, period: Range<u64>, cut: &[usize], is_cut: bool) -> f64 {
    served.begun_share_at(period.start, period.end, |at| cut.contains(&at) == is_cut)
}

fn check(case: Case, seed: u64) {
    let mut served = ServedFleet::start(case.instances, case.engines, seed);
    served.fleet.run(SETTLE_MS);
    served.run(SOUND_MS);
    let cut_ms = served.now_ms();
    let cut = cut_instances(&served, case.whom);
    cut.iter().for_each(|at| served.cut(*at, case.cut));
    served.run(CRASH_AFTER_MS);
    let crash_ms = served.now_ms();
    served.crash_engine(0);
    served.run(CUT_MS - CRASH_AFTER_MS);
    let heal_ms = served.now_ms();
    served.heal();
    served.run(RETURN_MS + WATCHED_MS + LAST_MS);

    let before = served.begun_share(cut_ms - SOUND_MS, cut_ms);
    let beside = share(&served, cut_ms..heal_ms, &cut, false);
    let meanwhile = share(&served, cut_ms..heal_ms, &cut, true);
    let watched = heal_ms + RETURN_MS..heal_ms + RETURN_MS + WATCHED_MS;
    let after = share(&served, watched, &cut, true);
    let is_sound = |part: u64| (1..=SOUND_PARTS).contains(&part);
    let quarantined = served.held_parts.iter().filter(|held| is_sound(held.part)).count();
    let held_back = served.held_back_ms.iter().filter(|at_ms| **at_ms >= cut_ms).count();
    let to_gone = served.sends_to_gone.len();
    let late = crash_ms + GONE_MS..crash_ms + RECORD_MS;
    let arrived = served.sound.iter().filter(|sound| late.contains(&sound.arrived_ms)).count();
    let late = served.sends_to_gone.iter().filter(|(at_ms, _)| late.contains(at_ms)).count();
    println!(
        "{}/{} {:?} {:?} seed {seed}: {} cut; begun {before:.3}, beside the cut {beside:.3}, at cut \
         ones {meanwhile:.3}, after it {after:.3}; {quarantined} parts quarantined, {held_back} \
         steps with an engine held back; {to_gone} sends to the engine that ended, {late} late",
        case.instances,
        case.engines,
        case.whom,
        case.cut,
        cut.len(),
    );
    assert!(before > 0.9, "seed {seed}: {before}");
    assert!(beside >= before * LEAST_SHARE, "seed {seed}: {beside} of {before} beside the cut");
    assert!(after >= before * LEAST_SHARE, "seed {seed}: {after} of {before} after the cut");
    assert!(late as f64 <= arrived as f64 * LATE_SHARE, "seed {seed}: {late} of {arrived}");
    assert_eq!(quarantined, 0, "seed {seed}");
    assert_eq!(held_back, 0, "seed {seed}");
}

fn check_seeds(case: Case, seeds: u64) {
    let more = env::var(MORE_SEEDS).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    (0..seeds.max(more)).for_each(|seed| check(case, seed));
}

fn check_both_cuts(case: Case, seeds: u64) {
    [Cut::Refused, Cut::TimedOut]
        .iter()
        .for_each(|cut| check_seeds(Case { cut: *cut, ..case }, seeds));
}

#[test]
fn one_cut_instance_takes_nothing_from_the_others() {
    check_both_cuts(SMALL, 2);
}

#[test]
fn most_of_a_data_centre_takes_nothing_from_the_others() {
    check_both_cuts(Case { whom: Whom::Most(SMALL_GROUP), ..SMALL }, 2);
}

#[test]
fn all_of_a_data_centre_takes_nothing_from_the_others() {
    check_both_cuts(Case { whom: Whom::All(SMALL_GROUP), ..SMALL }, 2);
}

#[test]
fn cut_coordinators_take_nothing_from_the_others() {
    check_both_cuts(Case { whom: Whom::Coordinators, ..SMALL }, 2);
}

#[test]
fn a_third_of_a_large_fleet_takes_nothing_from_the_others() {
    check_both_cuts(Case { whom: Whom::All(LARGE_GROUP), ..LARGE }, 1);
}

#[test]
fn most_of_a_third_of_a_large_fleet_takes_nothing_from_the_others() {
    check_seeds(Case { whom: Whom::Most(LARGE_GROUP), ..LARGE }, 1);
}
