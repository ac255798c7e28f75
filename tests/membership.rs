//! Tests of the membership decision: which instances are live, and when an instance is eligible as
//! the home of keys.
//!
//! Two eligible homes of one key could both grant it, and it would run twice.

use bergamotspan::home_eligibility::{HomeEligibility, IneligibleReason};
use bergamotspan::inventory::{Instance, Inventory};
use bergamotspan::membership::Membership;
use bergamotspan::membership_builder::MembershipBuilder;
use bergamotspan::membership_event::{HeartbeatSummary, MembershipEffect, MembershipEvent};
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::peer_message::{Confirmation, Heartbeat, PeerMessage};
use bergamotspan::view::View;

const EPOCH_MS: u64 = 1_800_000_000_000;
const INCARNATION: u64 = 77;
const INTERVAL_MS: u64 = 100;
const LIFETIME_MS: u64 = 60_000;
const MARGIN_MS: u64 = 100;
const WINDOW_MS: u64 = 1_000;

/// Instance `a`, and the answers of its simulated peers.
struct Home {
    /// Peers that answer heartbeats, with their answers.
    answers: Vec<(Name, Confirmation)>,
    membership: Membership,
    now_ms: u64,
}

impl Home {
    fn start(list_version: u64, members: &[&str]) -> Self {
        let membership = MembershipBuilder::new(INCARNATION)
            .clock_margin_ms(MARGIN_MS)
            .confirmation_window_ms(WINDOW_MS)
            .heartbeat_interval_ms(INTERVAL_MS)
            .key_lifetime_ms(LIFETIME_MS)
            .build(at(0), view(list_version, members));
        Self { answers: Vec::new(), membership, now_ms: 0 }
    }

    fn answered_by(mut self, peers: &[&str], list_version: u64) -> Self {
        self.answer(peers, list_version);
        self
    }

    fn without_confirming(mut self) -> Self {
        for (_, answer) in &mut self.answers {
            answer.confirms = false;
        }
        self
    }

    fn answer(&mut self, peers: &[&str], list_version: u64) {
        let answer = Confirmation { confirms: true, list_version, ..Default::default() };
        self.answers = peers.iter().map(|peer| (name(peer), answer.clone())).collect();
    }

    /// Delivers a confirmation of list 1 that answers a heartbeat of this incarnation and time.
    fn confirm(&mut self, from: &str, heartbeat_incarnation: u64, heartbeat_sent_ms: u64) {
        let confirmation = Confirmation {
            confirms: true,
            heartbeat_incarnation,
            heartbeat_sent_ms,
            list_version: 1,
            ..Default::default()
        };
        self.decide(MembershipEvent::Confirmation { confirmation, from: name(from) });
    }

    fn decide(&mut self, event: MembershipEvent) -> Vec<MembershipEffect> {
        self.membership.decide(at(self.now_ms), event)
    }

    fn receive_heartbeat(&mut self, from: &str, heartbeat: Heartbeat) -> Vec<MembershipEffect> {
        self.decide(MembershipEvent::Heartbeat { from: name(from), heartbeat })
    }

    /// Advances the time while the peers answer each heartbeat at once.
    fn run_until(mut self, end_ms: u64) -> Self {
        while self.now_ms < end_ms {
            self.now_ms += INTERVAL_MS;
            self.tick();
            for (from, confirmation) in self.answers.clone() {
                let confirmation = Confirmation {
                    heartbeat_incarnation: INCARNATION,
                    heartbeat_sent_ms: self.now_ms,
                    ..confirmation
                };
                self.decide(MembershipEvent::Confirmation { confirmation, from });
            }
        }
        self
    }

    fn eligibility(&self) -> HomeEligibility {
        self.membership.eligibility(at(self.now_ms))
    }

    fn tick(&mut self) -> Vec<MembershipEffect> {
        self.decide(MembershipEvent::Tick { summary: HeartbeatSummary::default() })
    }
}

fn at(time_ms: u64) -> Now {
    Now { monotonic_ms: time_ms, wall_clock_ms: EPOCH_MS + time_ms }
}

fn heartbeat_of(incarnation: u64) -> Heartbeat {
    Heartbeat { incarnation, list_version: 1, ..Default::default() }
}

fn is_eligible(eligibility: HomeEligibility) -> bool {
    matches!(eligibility, HomeEligibility::Eligible { .. })
}

fn name(name: &str) -> Name {
    name.into()
}

fn ineligible(reason: IneligibleReason) -> HomeEligibility {
    HomeEligibility::Ineligible { reason }
}

fn view(list_version: u64, members: &[&str]) -> View {
    let instances = members.iter().map(|member| Instance {
        caller_address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "umea-a".into(),
        name: name(member),
        peer_address: "127.0.0.1:2".parse().unwrap(),
    });
    let instances = instances.collect();
    let inventory = Inventory { instances, instances_version: list_version, ..Default::default() };
    View::from_inventory(&inventory, name("a"))
}

#[test]
fn a_fresh_fleet_has_eligible_homes_after_three_windows_and_not_before() {
    let home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).without_confirming();
    let home = home.run_until(2 * WINDOW_MS - INTERVAL_MS).answered_by(&["b", "c"], 1);

    let settling = home.run_until(3 * WINDOW_MS - INTERVAL_MS);
    assert_eq!(settling.eligibility(), ineligible(IneligibleReason::Settling));
    let eligible = settling.run_until(3 * WINDOW_MS);

    assert_eq!(eligible.eligibility(), HomeEligibility::Eligible { since: at(3 * WINDOW_MS) });
}

#[test]
fn a_home_that_established_others_confirm_is_eligible_after_one_window() {
    let home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1);

    let home = home.run_until(WINDOW_MS + INTERVAL_MS);

    let since = at(WINDOW_MS + INTERVAL_MS);
    assert_eq!(home.eligibility(), HomeEligibility::Eligible { since });
}

#[test]
fn a_lone_instance_becomes_its_own_home() {
    let home = Home::start(1, &["a"]).run_until(3 * WINDOW_MS);

    assert!(is_eligible(home.eligibility()));
}

#[test]
fn a_home_is_ineligible_one_window_after_its_last_heartbeat_that_was_answered() {
    let mut home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).run_until(5_000);
    home.answers.clear();

    let home = home.run_until(5_000 + WINDOW_MS - INTERVAL_MS);
    assert!(is_eligible(home.eligibility()));
    let home = home.run_until(5_000 + WINDOW_MS);

    assert_eq!(
        home.eligibility(),
        ineligible(IneligibleReason::NoMajority { confirmed: 1, of: 3 })
    );
}

#[test]
fn a_late_confirmation_counts_from_the_time_its_heartbeat_was_sent() {
    let mut home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).run_until(5_000);
    home.answers.clear();
    let mut home = home.run_until(5_900);
    home.confirm("b", INCARNATION, 5_100);

    let home = home.run_until(6_000);
    assert!(is_eligible(home.eligibility()));
    let home = home.run_until(6_100);

    assert!(!is_eligible(home.eligibility()));
}

#[test]
fn an_interruption_restarts_the_window() {
    let mut home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).run_until(5_000);
    home.answers.clear();
    let mut home = home.run_until(7_000);
    home.answer(&["b"], 1);

    let home = home.run_until(9_000);

    assert_eq!(home.eligibility(), HomeEligibility::Eligible { since: at(8_100) });
}

#[test]
fn a_pause_resets_the_eligibility() {
    let mut home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).run_until(5_000);

    home.now_ms = 5_000 + WINDOW_MS + 1;
    assert_eq!(home.eligibility(), ineligible(IneligibleReason::Paused));
    let home = home.run_until(6_100);

    assert_eq!(home.eligibility(), ineligible(IneligibleReason::Settling));
}

#[test]
fn a_confirmation_of_another_incarnation_counts_for_nothing() {
    let mut home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).run_until(5_000);
    home.answers.clear();
    let mut home = home.run_until(7_000);

    home.confirm("b", INCARNATION + 1, 7_000);

    assert_eq!(
        home.eligibility(),
        ineligible(IneligibleReason::NoMajority { confirmed: 1, of: 3 })
    );
}

#[test]
fn a_started_instance_confirms_nobody_for_two_windows() {
    let confirms = |home: &mut Home| match home.receive_heartbeat("b", heartbeat_of(1)).pop() {
        Some(MembershipEffect::Send {
            message: PeerMessage::Confirmation(confirmation), ..
        }) => confirmation.confirms,
        other => panic!("{other:?}"),
    };
    let home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1);

    let mut home = home.run_until(2 * WINDOW_MS - INTERVAL_MS);
    assert!(!confirms(&mut home));
    let mut home = home.run_until(2 * WINDOW_MS);

    assert!(confirms(&mut home));
}

#[test]
fn a_started_instance_waits_for_more_than_half_of_the_others() {
    let members = ["a", "b", "c", "d", "e"];
    let home = Home::start(1, &members).answered_by(&["b", "c"], 1).run_until(9_000);
    assert!(!home.membership.is_established());

    let home = home.answered_by(&["b", "c", "d"], 1).run_until(9_100);

    assert!(home.membership.is_established());
}

#[test]
fn a_started_instance_waits_while_another_is_on_a_later_list() {
    let home = Home::start(1, &["a", "b", "c"]).answered_by(&["b"], 1).run_until(1_900);

    let home = home.answered_by(&["b", "c"], 2).run_until(9_000);

    assert!(!home.membership.is_established());
}

#[test]
fn a_started_instance_stops_waiting_after_a_key_lifetime() {
    let home = Home::start(1, &["a", "b", "c"]).answered_by(&["b"], 1);

    let home = home.run_until(LIFETIME_MS + MARGIN_MS + WINDOW_MS);

    assert!(is_eligible(home.eligibility()));
}

#[test]
fn a_started_instance_that_is_not_in_its_list_waits() {
    let mut home = Home::start(1, &["b", "c"]).run_until(9_000);

    home.decide(MembershipEvent::ListAdopted { view: view(2, &["a", "b", "c"]) });

    assert!(!home.membership.is_established());
}

#[test]
fn an_earlier_list_is_retired_by_more_than_half_of_its_members() {
    let members = ["a", "b", "c", "d", "e"];
    let mut home = Home::start(1, &members).answered_by(&["b", "c", "d", "e"], 1).run_until(5_000);
    home.decide(MembershipEvent::ListAdopted { view: view(2, &["a", "b", "c", "d", "f"]) });

    let home = home.answered_by(&["b"], 2).run_until(6_000);
    let reason = IneligibleReason::EarlierListInUse { version: 1 };
    assert_eq!(home.eligibility(), ineligible(reason));
    let home = home.answered_by(&["b", "c"], 2).run_until(6_100);

    assert_eq!(home.membership.retired_version(), 1);
    assert_eq!(home.eligibility(), ineligible(IneligibleReason::Settling));
}

#[test]
fn an_unknown_earlier_list_is_retired_after_a_key_lifetime() {
    let home = Home::start(4, &["a", "b", "c"]).answered_by(&["b", "c"], 4);

    let home = home.run_until(LIFETIME_MS);
    let reason = IneligibleReason::EarlierListInUse { version: 1 };
    assert_eq!(home.eligibility(), ineligible(reason));
    let home = home.run_until(LIFETIME_MS + MARGIN_MS + WINDOW_MS);

    assert_eq!(home.membership.retired_version(), 3);
    assert!(is_eligible(home.eligibility()));
}

#[test]
fn a_large_jump_of_the_version_is_retired_in_one_step_after_a_key_lifetime() {
    let version = u64::MAX - 1;
    let home = Home::start(version, &["a"]).run_until(LIFETIME_MS + MARGIN_MS);

    assert_eq!(home.membership.retired_version(), version - 1);
}

#[test]
fn an_instance_that_is_not_in_its_list_sees_the_others_live_but_not_itself() {
    let mut home = Home::start(1, &["b", "c"]);

    home.receive_heartbeat("b", heartbeat_of(1));

    assert_eq!(home.membership.live_members(), [name("b")]);
}

#[test]
fn a_peer_reports_that_a_list_is_retired() {
    let mut home = Home::start(4, &["a", "b", "c"]).answered_by(&["b", "c"], 4).run_until(2_000);

    home.receive_heartbeat(
        "b",
        Heartbeat { list_version: 4, retired_version: 3, ..heartbeat_of(1) },
    );

    assert!(is_eligible(home.run_until(3_000).eligibility()));
}

#[test]
fn a_home_whose_own_list_is_retired_is_ineligible() {
    let mut home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).run_until(5_000);

    home.receive_heartbeat(
        "b",
        Heartbeat { list_version: 2, retired_version: 1, ..heartbeat_of(1) },
    );

    assert_eq!(home.eligibility(), ineligible(IneligibleReason::ListRetired));
}

#[test]
fn an_older_list_is_ignored() {
    let mut home = Home::start(3, &["a", "b", "c"]);

    home.decide(MembershipEvent::ListAdopted { view: view(2, &["a", "b"]) });

    assert_eq!(home.membership.view().list_version(), 3);
}

#[test]
fn an_instance_that_left_the_list_is_no_home() {
    let mut home = Home::start(1, &["a", "b", "c"]).answered_by(&["b", "c"], 1).run_until(5_000);

    home.decide(MembershipEvent::ListAdopted { view: view(2, &["b", "c", "d"]) });

    assert_eq!(home.eligibility(), ineligible(IneligibleReason::NotMember));
}

#[test]
fn later_versions_at_a_peer_are_reported() {
    let mut home = Home::start(1, &["a", "b"]);

    let effects = home.receive_heartbeat(
        "b",
        Heartbeat { config_version: 9, list_version: 2, ..Heartbeat::default() },
    );

    assert!(effects.contains(&MembershipEffect::ConfigAhead { peer: name("b"), version: 9 }));
    assert!(effects.contains(&MembershipEffect::ListAhead { peer: name("b"), version: 2 }));
}

#[test]
fn a_peer_is_lost_after_three_silent_intervals() {
    let mut home = Home::start(1, &["a", "b"]);
    home.receive_heartbeat("b", heartbeat_of(1));
    assert_eq!(home.membership.live_members(), [name("a"), name("b")]);

    home.now_ms = 3 * INTERVAL_MS - 1;
    let early = home.tick();
    home.now_ms = 3 * INTERVAL_MS;
    let late = home.tick();

    let lost = MembershipEffect::PeerLost { peer: name("b") };
    assert!(!early.contains(&lost));
    assert!(late.contains(&lost));
    assert_eq!(home.membership.live_members(), [name("a")]);
}

#[test]
fn a_peer_is_lost_with_its_link() {
    let mut home = Home::start(1, &["a", "b"]);
    home.receive_heartbeat("b", heartbeat_of(1));

    let first = home.decide(MembershipEvent::LinkLost { peer: name("b") });
    let second = home.decide(MembershipEvent::LinkLost { peer: name("b") });

    assert_eq!(first, [MembershipEffect::PeerLost { peer: name("b") }]);
    assert_eq!(second, []);
}

#[test]
fn a_restarted_peer_is_lost_and_then_live() {
    let mut home = Home::start(1, &["a", "b"]);
    home.receive_heartbeat("b", heartbeat_of(1));

    let effects = home.receive_heartbeat("b", heartbeat_of(2));

    let lost = MembershipEffect::PeerLost { peer: name("b") };
    let live = MembershipEffect::PeerLive { incarnation: 2, peer: name("b") };
    assert_eq!(effects[..2], [lost, live]);
}

#[test]
fn a_peer_that_leaves_the_list_is_lost() {
    let mut home = Home::start(1, &["a", "b", "c"]);
    home.receive_heartbeat("c", heartbeat_of(1));

    let effects = home.decide(MembershipEvent::ListAdopted { view: view(2, &["a", "b"]) });

    assert_eq!(effects, [MembershipEffect::PeerLost { peer: name("c") }]);
}

#[test]
fn heartbeats_go_out_once_an_interval_to_members_old_and_new() {
    let mut home = Home::start(1, &["a", "b", "c"]);
    home.decide(MembershipEvent::ListAdopted { view: view(2, &["a", "b", "d"]) });
    let targets = |effects: Vec<MembershipEffect>| -> Vec<Name> {
        let sends = effects.into_iter().filter_map(|effect| match effect {
            MembershipEffect::Send { to, .. } => Some(to),
            _ => None,
        });
        sends.collect()
    };

    let first = targets(home.tick());
    home.now_ms = INTERVAL_MS - 1;
    let early = targets(home.tick());
    home.now_ms = INTERVAL_MS;
    let second = targets(home.tick());

    assert_eq!(first, [name("b"), name("c"), name("d")]);
    assert!(early.is_empty());
    assert_eq!(second.len(), 3);
}
