//! A seed determines its schedule of faults.

use soak::schedule::{Fault, TimedFault, crowd_schedule, random_schedule, silence_schedule};

#[test]
fn a_seed_always_gives_the_same_faults_and_another_seed_gives_others() {
    assert_eq!(random_schedule(7, 5, 4, 20_000), random_schedule(7, 5, 4, 20_000));
    assert_ne!(random_schedule(7, 5, 4, 20_000), random_schedule(8, 5, 4, 20_000));
}

#[test]
fn crowds_of_a_seed_are_the_same_and_end_within_the_trial() {
    let crowds = crowd_schedule(7, 5, 20_000);
    assert_eq!(crowds, crowd_schedule(7, 5, 20_000));
    assert!(crowds.iter().all(|crowd| matches!(crowd.fault, Fault::Crowd(0..5))));
    assert!(crowds.iter().all(|crowd| crowd.at_ms + crowd.duration_ms <= 20_000));
}

#[test]
fn faults_overlap_and_all_end_within_the_trial() {
    let faults = random_schedule(3, 5, 4, 20_000);
    assert!(faults.windows(2).any(|pair| pair[1].at_ms < pair[0].at_ms + pair[0].duration_ms));
    assert!(faults.iter().all(|timed_fault| timed_fault.at_ms + timed_fault.duration_ms <= 20_000));
}

#[test]
fn backend_servers_of_streams_are_replaced_in_both_directions_while_other_faults_are_active() {
    let (mut both_directions, mut overlapping) = (0, 0);
    for seed in 101..=150 {
        let faults = random_schedule(seed, 5, 6, 20_000);
        let replaced =
            |number| faults.iter().filter(move |each| each.fault == Fault::Replace(number));
        // Those with even numbers answer with streams; the second replacement brings back the
        // first version.
        both_directions +=
            usize::from([0, 2, 4].into_iter().any(|number| replaced(number).count() > 1));
        let overlaps = |replacement: &TimedFault| {
            faults.iter().any(|other| {
                !matches!(other.fault, Fault::Replace(_))
                    && other.at_ms <= replacement.at_ms
                    && replacement.at_ms < other.at_ms + other.duration_ms
            })
        };
        overlapping += usize::from([0, 2, 4].into_iter().flat_map(replaced).any(overlaps));
    }
    assert!(both_directions >= 10, "{both_directions} of 50 seeds");
    assert!(overlapping >= 40, "{overlapping} of 50 seeds");
}

#[test]
fn silences_of_about_a_second_fall_beside_changes_of_the_document() {
    let faults = silence_schedule(1, 6, 20_000);
    assert_eq!(faults, silence_schedule(1, 6, 20_000));
    let silences = faults.iter().filter(|each| matches!(each.fault, Fault::EngineSilence(_)));
    assert!(silences.clone().all(|each| (800..=1_500).contains(&each.duration_ms)));
    let changes = faults.iter().filter(|each| each.fault == Fault::DocumentLimits);
    assert_eq!(silences.count() + changes.clone().count(), faults.len());
    assert!(changes.count() > 3);
}
