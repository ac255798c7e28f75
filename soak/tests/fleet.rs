//! Trials with random faults against a small fleet of real instances.
//!
//! Only rules that hold however slow the machine is are checked here; the program also checks
//! recovery in time.

use std::path::PathBuf;

use soak::trial::{Setup, run_trial};

/// Duration of the faults in each trial, in milliseconds.
const LENGTH_MS: u64 = 6_000;
/// Seeds 2 and 8 break off streams while engines of two versions serve.
const SEEDS: [u64; 3] = [1, 2, 8];
const SILENCE_SEEDS: [u64; 2] = [1, 2];

/// Returns the executable of an instance, which is built with the workspace.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test is known");
    let directory = test.parent().and_then(|deps| deps.parent()).expect("a target directory");
    directory.join("bergamotspan-gateway")
}

fn setup(seed: u64) -> Setup {
    Setup {
        callers: 8,
        engines: 4,
        instances: 3,
        keep: None,
        length_ms: LENGTH_MS,
        program: program(),
        seed,
        settings: Vec::new(),
        silences: false,
    }
}

#[test]
fn silent_backend_servers_lose_no_answer_beside_changes_of_the_document() {
    for seed in SILENCE_SEEDS {
        let silences = Setup { silences: true, callers: 24, ..setup(seed) };
        let outcome = run_trial(&silences).expect("the fleet starts");
        assert!(outcome.findings.is_empty(), "seed {seed}: {outcome}");
        assert!(outcome.sent > 0 && outcome.faults > 0);
    }
}

#[test]
fn no_seed_breaks_a_rule() {
    let mut taken_up = 0;
    for seed in SEEDS {
        let outcome = run_trial(&setup(seed)).expect("the fleet starts");
        assert!(outcome.findings.is_empty(), "seed {seed}: {outcome}");
        assert!(outcome.sent > 0 && outcome.faults > 0);
        taken_up += outcome.streams.taken_up;
    }
    assert!(taken_up > 0, "no stream was taken up");
}
