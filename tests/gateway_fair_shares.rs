//! Tests of the parts that share the room: turns by cost, places ahead, and the rate at which places
//! come free.

use bergamotspan::gateway::admission::Rank;
use bergamotspan::gateway::sharing::drain_rate::DrainRate;
use bergamotspan::gateway::sharing::fair_shares::FairShares;
use bergamotspan::gateway::sharing::level_counts::LevelCounts;
use bergamotspan::gateway::sharing::rank_lane::RankLane;
use bergamotspan::gateway::sharing::sharer::Sharer;
use proptest::prelude::*;

fn sharer(number: usize) -> Sharer {
    Sharer::Customer(format!("c-{number}").into())
}

/// Serves waiting requests of unlike cost in turn and returns what each sharer got.
fn serve(costs_us: &[u64], places: usize) -> Vec<u64> {
    let mut shares = FairShares::default();
    let mut got_us = vec![0; costs_us.len()];
    for _ in 0..places {
        let next = (0..costs_us.len()).min_by_key(|index| shares.begin_us(&sharer(*index)));
        let next = next.expect("a sharer");
        shares.charge(&sharer(next), costs_us[next]);
        got_us[next] += costs_us[next];
    }
    got_us
}

proptest! {
    #[test]
    fn sharers_that_all_want_more_get_the_same_but_for_one_request(
        costs_us in prop::collection::vec(1_000_u64..3_000_000, 2..20),
        places in 200_usize..600,
    ) {
        let got_us = serve(&costs_us, places);
        let most = costs_us.iter().max().expect("a cost");
        let (least_us, most_us) = (got_us.iter().min(), got_us.iter().max());
        prop_assert!(most_us.expect("one") - least_us.expect("one") <= 2 * most, "{got_us:?}");
    }

    #[test]
    fn the_first_ones_of_each_queue_are_counted_as_by_looking_at_all(
        lengths in prop::collection::vec(0_usize..40, 0..30),
        level in 0_usize..50,
    ) {
        let mut counts = LevelCounts::default();
        for length in &lengths {
            (1..=*length).for_each(|length| counts.grow(length));
        }
        let expected: usize = lengths.iter().map(|length| level.min(*length)).sum();
        prop_assert_eq!(counts.first_ones(level), expected);
        for length in &lengths {
            (1..=*length).rev().for_each(|length| counts.shrink(length));
        }
        prop_assert_eq!(counts.first_ones(level), 0);
    }
}

#[test]
fn one_that_wanted_nothing_has_neither_credit_nor_debt() {
    let mut shares = FairShares::default();
    (0..1_000).for_each(|_| shares.charge(&sharer(0), 10_000));
    // The newcomer gets the next place, and then they take turns.
    assert!(shares.begin_us(&sharer(1)) <= shares.begin_us(&sharer(0)));
    shares.charge(&sharer(1), 10_000);
    shares.charge(&sharer(1), 10_000);
    assert!(shares.begin_us(&sharer(0)) < shares.begin_us(&sharer(1)));
}

#[test]
fn accounts_of_those_that_want_no_more_are_forgotten() {
    let mut shares = FairShares::default();
    (0..6_300).for_each(|number| shares.charge(&sharer(number), 1_000));
    (0..8).for_each(|_| shares.charge(&sharer(0), 1_000));
    assert!(shares.len() <= 1, "{}", shares.len());
}

#[test]
fn a_newcomer_is_ahead_of_all_but_the_first_of_a_long_queue() {
    let mut lane = RankLane::default();
    (0..100).for_each(|number| lane.insert(0, &sharer(0), (number, number), false));
    assert!(lane.ahead_of(&sharer(1), 0) <= 1);
    assert_eq!(lane.ahead_of(&sharer(0), 100), 100);
    lane.insert(0, &sharer(1), (500, 500), false);
    lane.charge(0, &sharer(0), 1_000);
    let first = lane.in_turn().next().map(|(sharer, _)| sharer.clone());
    assert_eq!(first, Some(sharer(1)));
}

#[test]
fn a_service_of_few_places_that_are_held_for_long_still_has_a_rate() {
    let mut drain = DrainRate::default();
    drain.set_contended(0, true);
    drain.record_grant(0, Rank::default());
    // One place in two seconds; none ended in the last one.
    let per_ms = drain.per_ms(1_000, Rank::default(), 0.0005);
    assert!(per_ms > 0.0001 && per_ms <= 0.0005, "{per_ms}");
}

#[test]
fn what_higher_ranks_take_is_not_left_for_a_lower_one() {
    let rank = |route| Rank { customer: 0, route };
    let mut drain = DrainRate::default();
    drain.set_contended(0, true);
    for now_ms in 0..1_000 {
        drain.record_end(now_ms);
        drain.record_grant(now_ms, rank(if now_ms % 4 == 0 { 1 } else { 0 }));
    }
    let left = |route| drain.per_ms(1_000, rank(route), 1.0);
    assert!((0.9..=1.1).contains(&left(0)), "{}", left(0));
    assert!((0.15..=0.35).contains(&left(1)), "{}", left(1));
    assert!(left(2) > 0.0 && left(2) < 0.1, "{}", left(2));
}
