//! Tests of a simulated fleet whose engines crash under prompt parts: how many sends it takes until
//! the quarantine holds, and whether sound requests go on.

mod gateway_support;
#[path = "gateway_support/placer.rs"]
mod placer;
#[path = "gateway_support/served_fleet.rs"]
mod served_fleet;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use std::env;

use bergamotspan::gateway::part_quarantine::HOLD_MS;

use crate::served_fleet::{HeldPart, SOUND_PARTS, ServedFleet, Traffic};

/// Time in which a fleet finds itself, in milliseconds.
const SETTLE_MS: u64 = 4_000;
/// Time with sound requests alone, in milliseconds.
const SOUND_MS: u64 = 2_000;
/// Largest permitted datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Largest permitted number of sends with a bad part after the window.
const MAX_LATE_SENDS: usize = 3;
/// Crash after which the window begins.
const COUNTED_CRASH: usize = 5;
/// Largest permitted number of requests in progress: those of two seconds.
const MAX_REQUESTS: usize = 220;
/// Environment variable with the number of further seeds.
const MORE_SEEDS: &str = "CRASHING_PARTS_SEEDS";

const ONE_PART: Traffic = Traffic { bad_parts: 1, bad_per_s: 10.0 };

/// A disturbance beside the bad part.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    KillCoordinators,
    KillEngines,
    Loss,
    None,
    RestartAll,
    Split,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    instances: usize,
    engines: usize,
    traffic: Traffic,
    disturbance: Disturbance,
    /// Time after which sends with the bad part count, in milliseconds.
    window_ms: u64,
    /// Time from the first bad request to the end, in milliseconds.
    duration_ms: u64,
}

const SMALL: Case = Case {
    instances: 7,
    engines: 9,
    traffic: ONE_PART,
    disturbance: Disturbance::None,
    window_ms: 3_000,
    duration_ms: 14_000,
};

const MEDIUM: Case = Case { instances: 40, engines: 40, duration_ms: 11_000, ..SMALL };
const LARGE: Case =
    Case { instances: 150, engines: 100, window_ms: 5_000, duration_ms: 18_000, ..SMALL };

fn disturb(served: &mut ServedFleet, case: &Case) {
    match case.disturbance {
        Disturbance::KillCoordinators => {
            served.run_until_crashes(1, case.duration_ms);
            served.coordinators().into_iter().for_each(|at| served.kill(at));
        }
        Disturbance::KillEngines => {
            (0..case.engines).filter(|engine| engine % 4 == 0).for_each(|engine| {
                served.crash_engine(engine);
            });
        }
        Disturbance::Loss => served.fleet.loss = 0.1,
        Disturbance::None => {}
        Disturbance::RestartAll => {
            served.run_until_crashes(2, case.duration_ms);
            (0..case.instances).for_each(|at| served.kill(at));
            served.run(500);
            (0..case.instances).for_each(|at| served.restart(at));
        }
        Disturbance::Split => {
            served.run_until_crashes(1, case.duration_ms);
            served.fleet.sides = (0..case.instances).map(|at| (at % 2) as u8).collect();
            served.run(2_000);
            served.fleet.sides = vec![0; case.instances];
        }
    }
}

fn check(case: Case, seed: u64) {
    let mut served = ServedFleet::start(case.instances, case.engines, seed);
    served.fleet.run(SETTLE_MS);
    served.run(SOUND_MS);
    let bad_ms = served.now_ms();
    served.fleet.count_bytes();
    served.traffic = case.traffic;
    disturb(&mut served, &case);
    let end_ms = bad_ms + case.duration_ms;
    served.run(end_ms - served.now_ms());

    // A request that arrived last may still wait for its first event.
    let sound_end_ms = end_ms - 1_000;
    let before = served.begun_share(bad_ms - SOUND_MS, bad_ms);
    let counted_ms = served.crashes_ms.iter().take(COUNTED_CRASH).next_back().copied();
    let counted_ms = counted_ms.unwrap_or(bad_ms);
    let from_ms = counted_ms + 2 * case.window_ms;
    let after = served.begun_share(from_ms, sound_end_ms);
    let late = served.bad_sends_after(counted_ms + case.window_ms);
    let last_ms = served.crashes_ms.last().copied().unwrap_or(bad_ms) - bad_ms;
    let sound_parts = 1..=SOUND_PARTS;
    let held = served.held_parts.iter().filter(|held| sound_parts.contains(&held.part));
    let longest_held_ms =
        held.map(|held| held.until_ms.unwrap_or(end_ms) - held.since_ms).max().unwrap_or_default();
    println!(
        "{}/{} {:?} seed {seed}: {} crashes, the last after {last_ms} ms; {} of {} bad \
         ones sent, {late} late; begun {before:.3}, {after:.3}; {} sound refused as quarantined, \
         held {longest_held_ms} ms; \
         {} bytes, {} leases, {} requests",
        case.instances,
        case.engines,
        case.disturbance,
        served.crashes_ms.len(),
        served.bad_sends_ms.len(),
        served.bad_arrivals,
        served.sound_held.len(),
        served.fleet.largest_bytes,
        served.most_leases,
        served.most_requests,
    );
    let is_open = |held: &&HeldPart| sound_parts.contains(&held.part) && held.until_ms.is_none();
    let open = served.held_parts.iter().filter(is_open).count();
    assert!(case.traffic.bad_parts == 0 || served.crashes_ms.len() > 1, "seed {seed}");
    assert!(case.traffic.bad_parts > 0 || open == 0, "seed {seed}: {open} parts in use are held");
    assert!(before > 0.9, "seed {seed}: {before}");
    assert!(late <= MAX_LATE_SENDS, "seed {seed}: {late} sends after the window");
    assert!(from_ms + 1_000 < sound_end_ms, "seed {seed}: the run is too short");
    assert!(after >= before / 2.0, "seed {seed}: {after} of {before} begin");
    assert!(longest_held_ms <= HOLD_MS, "seed {seed}: held for {longest_held_ms} ms");
    assert!(served.fleet.largest_bytes < MAX_DATAGRAM_BYTES, "seed {seed}");
    if case.traffic.bad_parts == 1 && matches!(case.disturbance, Disturbance::None) {
        let first_trial_ms = served.crashes_ms[0] + HOLD_MS;
        let mut pairs = served.crashes_ms.windows(2).filter(|pair| pair[1] >= first_trial_ms);
        let is_alone = pairs.all(|pair| pair[1] >= pair[0] + HOLD_MS);
        assert!(is_alone, "seed {seed}: a trial was followed, {:?}", served.crashes_ms);
    }
    // Both coordinators of a cell count a place, and one that ended for a moment longer.
    assert!(served.most_leases <= 3 * served.most_requests, "seed {seed}");
    assert!(served.most_requests <= MAX_REQUESTS, "seed {seed}: {}", served.most_requests);
}

fn check_seeds(case: Case, seeds: u64) {
    let more = env::var(MORE_SEEDS).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    (0..seeds.max(more)).for_each(|seed| check(case, seed));
}

#[test]
fn a_bad_part_in_a_small_fleet_crashes_few_engines() {
    check_seeds(SMALL, 2);
}

#[test]
fn a_bad_part_in_a_fleet_of_one_large_cell_crashes_few_engines() {
    check_seeds(MEDIUM, 1);
}

#[test]
fn a_bad_part_in_several_cells_crashes_few_engines() {
    check_seeds(LARGE, 1);
}

#[test]
fn a_trial_after_the_quarantine_crashes_one_engine() {
    check_seeds(Case { duration_ms: 50_000, ..SMALL }, 4);
}

#[test]
fn two_bad_parts_at_once_are_both_quarantined() {
    let traffic = Traffic { bad_parts: 2, ..ONE_PART };
    check_seeds(Case { traffic, duration_ms: 30_000, ..SMALL }, 2);
}

#[test]
fn a_coordinator_that_dies_after_the_first_crash_takes_no_evidence_with_it() {
    check_seeds(Case { disturbance: Disturbance::KillCoordinators, ..SMALL }, 2);
}

#[test]
fn a_restart_of_all_instances_amid_the_crashes_starts_few_anew() {
    let disturbance = Disturbance::RestartAll;
    // Long enough that the fifth crash may be that of the first trial after a quarantine.
    check_seeds(Case { disturbance, duration_ms: 40_000, ..SMALL }, 3);
}

#[test]
fn evidence_gets_through_where_a_tenth_of_the_datagrams_is_lost() {
    check_seeds(Case { disturbance: Disturbance::Loss, ..SMALL }, 2);
}

#[test]
fn a_short_split_amid_the_crashes_ends_with_one_verdict() {
    check_seeds(Case { disturbance: Disturbance::Split, ..SMALL }, 2);
}

#[test]
fn engines_killed_for_another_reason_leave_sound_parts_free() {
    let traffic = Traffic { bad_parts: 0, bad_per_s: 0.0 };
    let disturbance = Disturbance::KillEngines;
    check_seeds(Case { traffic, disturbance, ..SMALL }, 2);
    check_seeds(Case { traffic, disturbance, duration_ms: 10_000, ..MEDIUM }, 1);
}

#[test]
fn a_bad_part_that_comes_rarely_is_recognized() {
    let traffic = Traffic { bad_per_s: 1.0, ..ONE_PART };
    check_seeds(Case { traffic, duration_ms: 34_000, ..SMALL }, 2);
}
