//! Tests of the quarantine of requests that crash backend servers.
//!
//! Several instances report one crash, and each of their heartbeats repeats it. If each report
//! counted, one crash would quarantine every request that ran at the server.

use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::peer_message::Suspect;
use bergamotspan::quarantine::{QUARANTINE_MS, Quarantine, REPORTED_SUSPECT_LIMIT, SAME_CRASH_MS};
use proptest::prelude::*;

const HARMLESS: u64 = 1;
const POISON: u64 = 9;

fn at(monotonic_ms: u64) -> Now {
    Now { monotonic_ms, wall_clock_ms: 0 }
}

fn name(text: &str) -> Name {
    text.into()
}

fn suspect(fingerprint: u64, backend_servers: &[&str]) -> Suspect {
    let backend_servers = backend_servers.iter().map(|text| name(text)).collect();
    Suspect { backend_servers, fingerprint }
}

/// Builds a quarantine from crashes, finished requests and heartbeats.
#[derive(Default)]
struct Given(Quarantine);

impl Given {
    fn crash(mut self, at_ms: u64, backend_server: &str, fingerprints: &[u64]) -> Self {
        self.0.record_crashes(at(at_ms), &name(backend_server), fingerprints);
        self
    }

    fn finished(mut self, fingerprint: u64) -> Self {
        self.0.record_finish(fingerprint);
        self
    }

    fn heartbeat(mut self, at_ms: u64, from: &str, suspects: &[Suspect]) -> Self {
        self.0.merge(at(at_ms), &name(from), suspects);
        self
    }

    fn quarantined(&mut self, at_ms: u64) -> Vec<u64> {
        self.0.quarantined(at(at_ms))
    }
}

#[test]
fn one_crash_makes_suspects_only() {
    let mut given = Given::default().crash(0, "engine-1", &[POISON, HARMLESS]);

    assert!(given.quarantined(1).is_empty());
    assert_eq!(given.0.suspected(at(1)), [HARMLESS, POISON]);
    assert_eq!(
        given.0.suspects(),
        [suspect(HARMLESS, &["engine-1"]), suspect(POISON, &["engine-1"])]
    );
}

#[test]
fn two_servers_quarantine_only_what_ran_at_both() {
    let mut given = Given::default().crash(0, "engine-1", &[POISON, HARMLESS]).crash(
        10,
        "engine-2",
        &[POISON, 5],
    );

    assert_eq!(given.quarantined(11), [POISON]);
    assert_eq!(given.0.suspected(at(11)), [HARMLESS, 5]);
}

#[test]
fn one_crash_reported_twice_counts_once() {
    let mut given = Given::default()
        .crash(0, "engine-1", &[POISON])
        .crash(SAME_CRASH_MS - 1, "engine-1", &[POISON])
        .heartbeat(SAME_CRASH_MS - 1, "entry-2", &[suspect(POISON, &["engine-1"])]);

    assert!(given.quarantined(SAME_CRASH_MS).is_empty());
}

#[test]
fn a_later_crash_of_the_same_server_counts() {
    let mut given = Given::default().crash(0, "engine-1", &[POISON]).crash(
        SAME_CRASH_MS,
        "engine-1",
        &[POISON],
    );

    assert_eq!(given.quarantined(SAME_CRASH_MS), [POISON]);
    assert_eq!(given.0.suspects(), [suspect(POISON, &["engine-1", "engine-1"])]);
}

#[test]
fn crashes_seen_by_different_instances_add_up() {
    let mut given = Given::default().crash(0, "engine-1", &[POISON]).heartbeat(
        10,
        "entry-2",
        &[suspect(POISON, &["engine-2"])],
    );

    assert_eq!(given.quarantined(11), [POISON]);
    assert_eq!(given.0.suspects(), [suspect(POISON, &["engine-1"])]);
}

#[test]
fn crashes_seen_only_by_peers_add_up() {
    let mut given = Given::default()
        .heartbeat(0, "entry-2", &[suspect(POISON, &["engine-2"])])
        .heartbeat(1, "entry-3", &[suspect(POISON, &["engine-3"])]);

    assert_eq!(given.quarantined(2), [POISON]);
    assert!(given.0.suspects().is_empty());
}

#[test]
fn repeated_heartbeats_change_nothing() {
    let mut given = Given::default();
    for at_ms in (0..4 * SAME_CRASH_MS).step_by(100) {
        given = given.heartbeat(at_ms, "entry-2", &[suspect(POISON, &["engine-1"])]);
    }

    assert!(given.quarantined(4 * SAME_CRASH_MS).is_empty());
}

#[test]
fn a_peer_reports_two_crashes_of_one_server() {
    let mut given = Given::default()
        .heartbeat(0, "entry-2", &[suspect(POISON, &["engine-1"])])
        .heartbeat(SAME_CRASH_MS, "entry-2", &[suspect(POISON, &["engine-1", "engine-1"])]);

    assert_eq!(given.quarantined(SAME_CRASH_MS), [POISON]);
}

#[test]
fn a_request_that_finished_is_no_longer_suspect() {
    let mut given = Given::default()
        .crash(0, "engine-1", &[HARMLESS])
        .heartbeat(1, "entry-2", &[suspect(HARMLESS, &["engine-1"])])
        .finished(HARMLESS)
        .heartbeat(2, "entry-2", &[suspect(HARMLESS, &["engine-1"])])
        .crash(10, "engine-2", &[HARMLESS]);

    assert!(given.quarantined(11).is_empty());
    assert_eq!(given.0.suspected(at(11)), [HARMLESS]);
    assert_eq!(given.0.suspects(), [suspect(HARMLESS, &["engine-2"])]);
}

#[test]
fn a_request_that_finished_leaves_quarantine() {
    let mut given = Given::default()
        .crash(0, "engine-1", &[HARMLESS])
        .crash(1, "engine-2", &[HARMLESS])
        .finished(HARMLESS);

    assert!(given.quarantined(2).is_empty());
    assert!(given.0.suspected(at(2)).is_empty());
}

#[test]
fn quarantine_ends_a_fixed_time_after_the_last_crash() {
    let mut given =
        Given::default().crash(0, "engine-1", &[POISON]).crash(100, "engine-2", &[POISON]);

    assert_eq!(given.quarantined(QUARANTINE_MS + 99), [POISON]);
    assert!(given.quarantined(QUARANTINE_MS + 100).is_empty());
    assert!(given.0.suspects().is_empty());
}

#[test]
fn a_suspect_expires_after_a_fixed_time() {
    let mut given = Given::default().crash(0, "engine-1", &[POISON]).crash(
        QUARANTINE_MS,
        "engine-2",
        &[POISON],
    );

    assert!(given.quarantined(QUARANTINE_MS).is_empty());
}

#[test]
fn a_full_quarantine_evicts_the_oldest_suspect_before_any_quarantined_request() {
    let mut given = Given(Quarantine::new(2))
        .crash(0, "engine-1", &[POISON])
        .crash(1, "engine-2", &[POISON])
        .crash(2, "engine-3", &[3])
        .crash(3, "engine-3", &[4]);

    assert_eq!(given.quarantined(4), [POISON]);
    assert_eq!(given.0.suspected(at(4)), [4]);
}

#[test]
fn the_suspects_of_a_heartbeat_are_bounded_and_the_latest() {
    let many = REPORTED_SUSPECT_LIMIT as u64 + 10;
    let mut given = Given::default();
    for fingerprint in 0..many {
        given = given.crash(fingerprint, "engine-1", &[fingerprint]);
    }

    let fingerprints: Vec<_> =
        given.0.suspects().iter().map(|suspect| suspect.fingerprint).collect();
    assert_eq!(fingerprints, (10..many).collect::<Vec<_>>());
}

proptest! {
    #[test]
    fn quarantine_needs_two_crashes_and_memory_stays_bounded(
        steps in prop::collection::vec((0..4u8, 0..8u64, 0..3u8, 0..2_000u64), 0..200),
    ) {
        let mut quarantine = Quarantine::new(4);
        let mut now_ms = 0;
        let mut reports = [0_u32; 8];
        for (kind, fingerprint, server, wait_ms) in steps {
            now_ms += wait_ms;
            let server = name(&format!("engine-{server}"));
            match kind {
                0 => quarantine.record_finish(fingerprint),
                1 => {
                    let suspects = [Suspect { backend_servers: vec![server], fingerprint }];
                    quarantine.merge(at(now_ms), &name("entry-2"), &suspects);
                }
                _ => quarantine.record_crashes(at(now_ms), &server, &[fingerprint]),
            }
            reports[fingerprint as usize] = match kind {
                0 => 0,
                _ => reports[fingerprint as usize] + 1,
            };
            let quarantined = quarantine.quarantined(at(now_ms));
            let suspected = quarantine.suspected(at(now_ms));
            prop_assert!(quarantined.is_sorted());
            prop_assert!(quarantined.len() + suspected.len() <= 4);
            for fingerprint in quarantined {
                prop_assert!(reports[fingerprint as usize] >= 2);
            }
        }
    }
}

#[test]
fn a_crash_is_a_second_one_if_the_request_was_sent_after_the_first_was_recorded() {
    let server = Name::from("engine-1");
    let mut first = Quarantine::default();
    let mut second = Quarantine::default();
    let mut third = Quarantine::default();

    first.record_crash(at(1_000), &server, 7, 500);
    second.merge(at(1_001), &"entry-1".into(), &first.suspects());
    third.merge(at(1_001), &"entry-1".into(), &first.suspects());
    let before = second.quarantined(at(1_002));
    second.record_crash(at(1_500), &server, 7, 1_002);
    third.merge(at(1_501), &"entry-2".into(), &second.suspects());

    assert!(before.is_empty());
    assert_eq!(second.quarantined(at(1_502)), [7]);
    assert_eq!(third.quarantined(at(1_502)), [7]);
}

#[test]
fn two_concurrent_sends_see_one_crash() {
    let server = Name::from("engine-1");
    let mut quarantine = Quarantine::default();

    quarantine.record_crash(at(1_000), &server, 7, 500);
    quarantine.record_crash(at(1_001), &server, 7, 600);

    assert!(quarantine.quarantined(at(1_002)).is_empty());
}
