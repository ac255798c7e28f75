//! Tests of whole decision cores over random schedules, on a simulated network.
//!
//! A schedule consists of random sends of new and known keys through several instances at once,
//! requests without a key, joins and cancels; links that break, lose messages in one direction and
//! deliver late; pauses, restarts in place with stale documents, one-member list changes that the
//! instances read late, and planned stops. Backend servers finish, fail, refuse connections, crash
//! and become unreachable.
//!
//! Checked: one final answer to each send, or none while it runs; no request or key dispatched
//! twice, unless the first dispatch sent nothing; never `not_run` for a dispatched request; no
//! request that waits beyond its deadline; no state kept beyond its lifetime.
//!
//! `cargo run --release -p schedules -- cores` runs any number of seeds.

use schedules::cores::run_cores;
use schedules::run_seeds::run_seeds;

const SEED_COUNT: u64 = 60;

#[test]
fn every_send_and_every_key_keeps_the_invariants_on_random_schedules() {
    let results = run_seeds(0..SEED_COUNT, run_cores);

    for (seed, checker) in &results {
        assert!(checker.findings.is_empty(), "seed {seed}: {:#?}", checker.findings);
    }
    let done: u64 = results.iter().map(|(_, checker)| checker.done).sum();
    assert!(done > SEED_COUNT, "{done} requests done in {SEED_COUNT} schedules");
}
