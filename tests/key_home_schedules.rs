//! Tests that no key is granted to two requests, over random schedules of faults.
//!
//! A schedule combines link cuts (both ways and one way), delays, reordering, pauses, restarts in
//! place with stale lists, one-member list changes, losses of a majority of a list, planned stops,
//! slow reads and fetches of lists, and keys that are sent again through several instances.
//!
//! Each rule is switched off in turn. Without one of these, a schedule below grants a key twice:
//! `future`, `majority`, `minted_after`, `recovery`, `retirement`, `retirement_window`,
//! `send_time`, `unbroken_window`; and of the rules on handed over keys `attested`, `own_floor`,
//! `sealed`, `whole`.
//!
//! For these, 4,000 seeds each gave no such schedule, so they are not shown to be necessary:
//! - `abstention`: `recovery` counts only what was received after one window, and a home settles
//!   for another, so the confirmations of an earlier incarnation have expired by then;
//! - `equal_list`: a home checks in its own list whether it is the home; the rule refuses earlier;
//! - `pause`: after a pause longer than the window every confirmation has expired.
//!
//! The limit on a grant's age at the receiver is not shown to be necessary either, by as many
//! seeds: a later home does not grant a key that was minted before it became eligible.

use bergamotspan::home_rules::HomeRules;
use schedules::key_homes::script::Script;
use schedules::key_homes::{Outcome, Plan};
use schedules::run_seeds::run_seeds;

const FIRST_SEED: u64 = 0;
const SEED_COUNT: u64 = 400;

fn grants_twice(seed: u64, rules: HomeRules) -> bool {
    !Plan::new(seed).rules(rules).run().double_grants.is_empty()
}

/// Checks that a schedule grants no key twice with all rules, and does without one of them.
fn check_seed(seed: u64, without: HomeRules) {
    assert!(!grants_twice(seed, HomeRules::ALL), "seed {seed} grants a key twice with all rules");
    assert!(
        grants_twice(seed, without),
        "seed {seed} no longer grants a key twice without the rule"
    );
}

fn check_script<S>(script: S, without: HomeRules)
where
    S: Fn(HomeRules) -> Outcome,
{
    let safe = script(HomeRules::ALL);
    assert!(
        safe.double_grants.is_empty(),
        "grants a key twice with all rules: {:?}",
        safe.double_grants
    );
    assert!(safe.granted > 0);
    assert!(
        !script(without).double_grants.is_empty(),
        "no longer grants a key twice without the rule"
    );
}

/// Instances 1 to 3 are on list 2; instance 1 restarts on list 1 and reaches only instance 0, an
/// outdated home.
fn restart_with_a_stale_list(rules: HomeRules) -> Outcome {
    Script::start(rules)
        .run_for(5_000)
        .publish(&[1, 2, 3])
        .cut_off(&[0])
        .read(&[1, 2])
        .run_for(5_000)
        .kill(1)
        .run_for(200)
        .cut_off(&[0, 1])
        .restart(1, 1)
        .run_for(8_000)
        .outcome()
}

/// Instance 1 confirms list 2 and restarts on list 1; instance 2 reads list 2 only after that.
fn restart_before_the_list_is_left(rules: HomeRules) -> Outcome {
    Script::start(rules)
        .run_for(5_000)
        .publish(&[1, 2, 3])
        .read(&[1])
        .run_for(4_000)
        .restart(1, 1)
        .run_for(4_000)
        .cut_off(&[0, 1])
        .read(&[2])
        .run_for(8_000)
        .outcome()
}

/// Messages of the others reach instance 0 five seconds late, and it stays on list 1.
fn late_confirmations(rules: HomeRules) -> Outcome {
    Script::start(rules)
        .run_for(5_000)
        .slow_down(0, &[1, 2], 5_000)
        .run_for(8_000)
        .publish(&[1, 2, 3])
        .read(&[1, 2])
        .run_for(8_000)
        .outcome()
}

/// Instance 1 leaves list 1, restarts on it and is its home again before the others leave it.
fn restart_after_the_list_was_left(rules: HomeRules) -> Outcome {
    Script::start(rules)
        .run_for(5_000)
        .publish(&[1, 2, 3])
        .read(&[1])
        .run_for(600)
        .restart(1, 1)
        .run_for(4_000)
        .read(&[1, 2])
        .run_for(5_000)
        .outcome()
}

/// Instance 1 stops and hands its keys over, then restarts on the same list.
fn restart_after_a_stop(rules: HomeRules) -> Outcome {
    Script::start(rules)
        .run_for(5_000)
        .stop(1)
        .run_for(600)
        .restart(1, 1)
        .run_for(4_000)
        .publish(&[0, 2, 3])
        .read(&[0, 2])
        .run_for(5_000)
        .outcome()
}

#[test]
fn no_key_is_granted_to_two_requests() {
    let results = run_seeds(FIRST_SEED..FIRST_SEED + SEED_COUNT, |seed| Plan::new(seed).run());

    for (seed, outcome) in &results {
        assert!(outcome.double_grants.is_empty(), "seed {seed}: {:?}", outcome.double_grants);
    }
    assert!(results.iter().any(|(_, outcome)| outcome.granted > 0));
}

#[test]
fn a_calm_fleet_grants_fresh_keys() {
    let calm: Vec<Outcome> = (0..4).map(|seed| Plan::new(seed).calm().run()).collect();

    for outcome in calm {
        assert!(outcome.double_grants.is_empty());
        assert!(outcome.granted * 10 > outcome.keys * 7, "{outcome:?}");
    }
}

#[test]
fn future_keys_need_a_limit() {
    check_seed(9, HomeRules { future: false, ..HomeRules::ALL });
}

#[test]
fn a_home_needs_a_majority() {
    check_seed(24, HomeRules { majority: false, ..HomeRules::ALL });
}

#[test]
fn a_key_has_to_be_minted_after_its_home_became_eligible() {
    check_seed(5, HomeRules { minted_after: false, ..HomeRules::ALL });
}

#[test]
fn a_restarted_instance_has_to_recover() {
    check_script(restart_with_a_stale_list, HomeRules { recovery: false, ..HomeRules::ALL });
}

#[test]
fn earlier_lists_have_to_be_retired() {
    check_seed(50, HomeRules { retirement: false, ..HomeRules::ALL });
}

#[test]
fn retirement_has_to_be_seen_within_one_window() {
    let without = HomeRules { retirement_window: false, ..HomeRules::ALL };
    check_script(restart_before_the_list_is_left, without);
}

#[test]
fn a_confirmation_has_to_count_from_its_heartbeat() {
    check_script(late_confirmations, HomeRules { send_time: false, ..HomeRules::ALL });
}

#[test]
fn a_home_has_to_settle_for_an_unbroken_window() {
    check_seed(1122, HomeRules { unbroken_window: false, ..HomeRules::ALL });
}

#[test]
fn a_list_has_to_be_retired_before_its_keys_are_handed_over() {
    let without = HomeRules { sealed: false, ..HomeRules::ALL };
    check_script(restart_after_the_list_was_left, without);
}

#[test]
fn keys_of_a_stopped_home_need_to_be_attested() {
    check_script(restart_after_a_stop, HomeRules { attested: false, ..HomeRules::ALL });
}

#[test]
fn a_home_must_not_grant_what_its_earlier_incarnation_may_have_granted() {
    check_seed(5, HomeRules { own_floor: false, ..HomeRules::ALL });
}

#[test]
fn a_handover_has_to_arrive_whole() {
    check_seed(167, HomeRules { whole: false, ..HomeRules::ALL });
}
