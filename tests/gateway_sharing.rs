//! Plays of arrivals at a service with too little room: who gets it, who is refused, and how soon.

mod gateway_support;

#[path = "gateway_support/contended_service.rs"]
mod contended_service;

use crate::contended_service::{ContendedService, Flow, FlowResult, PlayedRoute, SLOTS};

const ENGINES: usize = 10;
const CUSTOMERS: usize = 8;
const SEEDS: std::ops::Range<u64> = 0..5;
/// Length of a play, in milliseconds.
const PLAY_MS: u64 = 12_000;
/// Time from which one customer sends more than its usual, in milliseconds.
const BURST_FROM_MS: u64 = 3_000;
/// Time until which it does, in milliseconds.
const BURST_UNTIL_MS: u64 = 9_000;

fn flow(customer: usize, route: usize, per_s: f64) -> Flow {
    Flow {
        customer,
        route,
        per_s,
        from_ms: 0,
        until_ms: PLAY_MS,
        prompt_tokens: 1_000,
        output_tokens: 80,
        spread: 1.0,
    }
}

/// One customer sends six times its usual for a while; the usual of all is four fifths of the room.
fn hot_customer(seed: u64) -> ContendedService {
    let routes = vec![PlayedRoute { goal_ms: 800, priority: 1 }];
    let mut flows: Vec<Flow> = (0..CUSTOMERS).map(|customer| flow(customer, 0, 11.7)).collect();
    let (from_ms, until_ms) = (BURST_FROM_MS, BURST_UNTIL_MS);
    flows.push(Flow { per_s: 58.0, from_ms, until_ms, ..flow(0, 0, 0.0) });
    let mut play = ContendedService::new(ENGINES, routes, flows, seed);
    play.run(PLAY_MS);
    play
}

fn print(title: &str, seed: u64, sum: &FlowResult) {
    let refused = sum.refused_at_once + sum.refused_later;
    println!(
        "{title}, seed {seed}: sent {}, in time {:.3}, late {}, refused {refused}, later {}, held \
         {} ms each, waited {} ms each",
        sum.sent,
        sum.in_time_share(),
        sum.late,
        sum.refused_later,
        sum.held_ms / refused.max(1) as u64,
        sum.waited_ms / (sum.in_time + sum.late).max(1) as u64,
    );
}

#[test]
fn a_customer_that_sends_six_times_its_usual_costs_nobody_else() {
    for seed in SEEDS {
        let play = hot_customer(seed);
        let hot = play.sum(|flow| flow.customer == 0);
        let others = play.sum(|flow| flow.customer != 0);
        print("hot", seed, &hot);
        print("others", seed, &others);
        println!(
            "used {:.3}",
            play.used_slot_ms as f64 / (SLOTS * ENGINES) as f64 / PLAY_MS as f64
        );
        assert!(others.in_time_share() >= 0.99, "seed {seed}: {others:?}");
        // It still gets what the others leave.
        assert!(hot.in_time_share() > 0.25, "seed {seed}: {hot:?}");
    }
}

/// Long, middle and short requests of three ranks; all together want more than there is.
fn three_ranks(seed: u64) -> ContendedService {
    let routes = vec![
        PlayedRoute { goal_ms: 1_000, priority: 0 },
        PlayedRoute { goal_ms: 800, priority: 1 },
        PlayedRoute { goal_ms: 1_500, priority: 2 },
    ];
    let mut flows = Vec::new();
    for customer in 0..CUSTOMERS {
        let long = Flow { prompt_tokens: 6_600, output_tokens: 250, ..flow(customer, 0, 2.4) };
        let middle = Flow { prompt_tokens: 600, output_tokens: 200, ..flow(customer, 1, 3.4) };
        let short = Flow { prompt_tokens: 1_800, output_tokens: 20, ..flow(customer, 2, 8.0) };
        flows.extend([long, middle, short]);
    }
    let mut play = ContendedService::new(ENGINES, routes, flows, seed);
    play.run(PLAY_MS);
    play
}

#[test]
fn the_last_rank_gets_what_the_others_leave_and_is_told_at_once_what_it_does_not_get() {
    for seed in SEEDS {
        let play = three_ranks(seed);
        let ranks: Vec<FlowResult> =
            (0..3).map(|route| play.sum(|flow| flow.route == route)).collect();
        for (rank, sum) in ranks.iter().enumerate() {
            print(&format!("rank {rank}"), seed, sum);
        }
        println!(
            "used {:.3}",
            play.used_slot_ms as f64 / (SLOTS * ENGINES) as f64 / PLAY_MS as f64
        );
    }
}

#[test]
fn large_requests_of_a_customer_are_not_starved_by_its_small_ones() {
    for seed in SEEDS {
        let routes = vec![PlayedRoute { goal_ms: 800, priority: 1 }];
        let flow =
            |customer| Flow { spread: 10.0, prompt_tokens: 2_000, ..flow(customer, 0, 11.0) };
        let flows = (0..CUSTOMERS).map(flow).collect();
        let mut play = ContendedService::new(ENGINES, routes, flows, seed);
        play.run(PLAY_MS);
        let sum = play.sum(|_| true);
        print("mixed sizes", seed, &sum);
        let (largest, by_size) = sum.sized_shares();
        println!("largest tenth {largest:.3}, by size {by_size:.3}");
        // Half as often as all is the least that a size may be served.
        assert!(largest > sum.in_time_share() / 2.0, "seed {seed}: {largest}");
    }
}
