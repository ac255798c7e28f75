//! Tests of whole decision cores over random schedules, connected by a network without sockets.
//!
//! A schedule draws sends of fresh and of known keys through several instances at once, requests
//! without a key, joins and cancels; links that break, go silent one way and deliver late; pauses,
//! restarts in place with stale documents, one-member list changes that the instances read late,
//! and planned stops. Backend servers finish, fail, refuse connections, die and are lost.
//!
//! Checked: one final answer to each send, or none while it runs; no request and no key dispatched
//! twice, but after a take-back; never `not_run` for what is dispatched; no request that waits
//! beyond its deadline; nothing kept beyond its time.
//!
//! `CORE_SCHEDULES_FIRST` sets the first seed and `CORE_SCHEDULES_SEEDS` their number.

mod cores;

use std::thread;

use cores::World;
use cores::judge::Judge;

const INSTANCES: [usize; 3] = [3, 5, 7];
const FIRST_SEED_VARIABLE: &str = "CORE_SCHEDULES_FIRST";
const SEEDS_VARIABLE: &str = "CORE_SCHEDULES_SEEDS";
const SEED_COUNT: u64 = 60;
const THREAD_COUNT: u64 = 6;

fn run(seed: u64) -> Judge {
    let count = INSTANCES[(seed % 3) as usize];
    World::start(seed, count).run()
}

/// Runs every sixth seed and returns what broke, with the seed, and how many requests were done.
fn run_some(first: u64, end: u64) -> (Vec<(u64, Vec<String>)>, u64) {
    let mut broken = Vec::new();
    let mut done = 0;
    for seed in (first..end).step_by(THREAD_COUNT as usize) {
        let judge = run(seed);
        done += judge.done;
        if !judge.faults.is_empty() {
            broken.push((seed, judge.faults));
        }
    }
    (broken, done)
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn every_send_and_every_key_is_treated_right_on_random_schedules() {
    let first = number(FIRST_SEED_VARIABLE).unwrap_or(0);
    let count = number(SEEDS_VARIABLE).unwrap_or(SEED_COUNT);
    let end = first + count;
    let threads: Vec<_> = (first..first + THREAD_COUNT)
        .map(|first| thread::spawn(move || run_some(first, end)))
        .collect();

    let results: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();

    let done: u64 = results.iter().map(|(_, done)| done).sum();
    let broken: Vec<_> = results.into_iter().flat_map(|(broken, _)| broken).collect();
    for (seed, faults) in &broken {
        eprintln!("seed {seed}: {faults:#?}");
    }
    assert!(broken.is_empty(), "{} of {count} seeds break", broken.len());
    assert!(done > count, "{done} requests done in {count} schedules");
}
