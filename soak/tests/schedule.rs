//! A seed determines its schedule of faults.

use soak::schedule::random_schedule;

#[test]
fn a_seed_always_gives_the_same_faults_and_another_seed_gives_others() {
    assert_eq!(random_schedule(7, 5, 4, 20_000), random_schedule(7, 5, 4, 20_000));
    assert_ne!(random_schedule(7, 5, 4, 20_000), random_schedule(8, 5, 4, 20_000));
}

#[test]
fn faults_overlap_and_all_end_within_the_trial() {
    let faults = random_schedule(3, 5, 4, 20_000);
    assert!(faults.windows(2).any(|pair| pair[1].at_ms < pair[0].at_ms + pair[0].duration_ms));
    assert!(faults.iter().all(|timed_fault| timed_fault.at_ms + timed_fault.duration_ms <= 20_000));
}
