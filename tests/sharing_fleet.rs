//! A simulated fleet in which one customer sends many times its usual, while instances fail.

mod gateway_support;

#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

#[path = "gateway_support/placer.rs"]
mod placer;

use std::collections::BTreeMap;

use bergamotspan::gateway::admission::{Admission, Arrival};
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::dispatching::{SendEnd, StartedSend};
use bergamotspan::gateway::fleet::coordinators::Decider;
use bergamotspan::gateway::request_metadata::RequestMetadata;
use bergamotspan::gateway::routing_document::{Customer, Route, RouteKind, RoutingDocument};
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::name::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{HOST, backend, customer, document, metadata, prompt, record, route};
use crate::placer::{PlaceSearch, Placer};
use crate::simulated_fleet::SimulatedFleet;

const INSTANCES: usize = 8;
const ENGINES: usize = 4;
const SLOTS: usize = 10;
const CUSTOMERS: usize = 8;
/// Time for which a request holds its slot, in milliseconds.
const SLOT_MS: u64 = 400;
/// Arrivals of a customer in a second; all together three quarters of the room.
const USUAL_PER_S: f64 = 9.4;
/// Times its usual that the first customer sends.
const TIMES_USUAL: f64 = 6.0;
/// Refused requests of a customer within its share, of all of its requests.
const MAX_REFUSED: f64 = 0.01;
const SEEDS: std::ops::Range<u64> = 0..4;

/// Arrived and refused requests of a customer.
#[derive(Clone, Debug, Default)]
struct Count {
    arrived: usize,
    refused: usize,
}

struct Play {
    fleet: SimulatedFleet,
    counts: Vec<Count>,
    ends: BTreeMap<(u64, u64), (usize, u64, StartedSend)>,
    customers: BTreeMap<u64, usize>,
    lives: Vec<u64>,
    next_number: u64,
    placer: Placer,
    random: StdRng,
}

fn listing() -> Vec<StoreItem> {
    let key = |index| Name::from(format!("key-{index}"));
    let customers = (0..CUSTOMERS).map(|index| Customer {
        keys: vec![key(index)],
        name: format!("c-{index}").into(),
        ..customer(0)
    });
    let draft = Route { goal_ms: 800, ..route("draft", RouteKind::Stream, "model") };
    let published =
        RoutingDocument { customers: customers.collect(), routes: vec![draft], ..document(1) };
    let engines = (0..ENGINES).map(|engine| {
        let mut server = record("model", engine as u16 + 1);
        server.slots = SLOTS;
        backend(&format!("m-{engine}"), server)
    });
    std::iter::once(StoreItem::Document(Ok(Box::new(published)))).chain(engines).collect()
}

impl Play {
    fn start(seed: u64) -> Self {
        let mut play = Self {
            fleet: SimulatedFleet::start(INSTANCES, 3, seed),
            counts: vec![Count::default(); CUSTOMERS],
            ends: BTreeMap::new(),
            customers: BTreeMap::new(),
            lives: vec![0; INSTANCES],
            next_number: 0,
            placer: Placer::default(),
            random: StdRng::seed_from_u64(seed),
        };
        play.fleet.publish_to_all(1, &listing());
        play.run(2_000, false);
        play
    }

    fn run(&mut self, duration_ms: u64, has_arrivals: bool) {
        let end_ms = self.fleet.now_ms + duration_ms;
        while self.fleet.now_ms < end_ms {
            self.fleet.step();
            self.placer.step(&mut self.fleet);
            self.end_sends();
            let now_ms = self.fleet.now_ms;
            self.fleet.states.iter_mut().flatten().for_each(|state| state.record_proof(now_ms));
            if has_arrivals {
                for customer in 0..CUSTOMERS {
                    let times = if customer == 0 { TIMES_USUAL } else { 1.0 };
                    if self.random.random_bool(USUAL_PER_S * times / 100.0) {
                        self.arrive(customer);
                    }
                }
            }
            self.take_places();
        }
    }

    fn arrive(&mut self, customer: usize) {
        let now_ms = self.fleet.now_ms;
        let at = self.random.random_range(0..INSTANCES);
        let Some(state) = &mut self.fleet.states[at] else { return };
        if !state.is_ready(now_ms) {
            return;
        }
        self.next_number += 1;
        let number = self.next_number;
        let mut shape = prompt(600, 60);
        shape.parts[0].id = number;
        let metadata = RequestMetadata {
            key: Some(format!("key-{customer}").into()),
            prompt: Some(shape),
            ..metadata(&format!("r-{number}"))
        };
        let arrival = Arrival {
            arrived_ms: now_ms,
            metadata: &metadata,
            fingerprint: number,
            host: HOST,
            path: "/draft/a",
        };
        let Admission::Forward(plan) = state.admit(now_ms, &arrival, 0) else {
            panic!("not admitted")
        };
        self.counts[customer].arrived += 1;
        self.customers.insert(number, customer);
        self.placer.start(&mut self.fleet, number, PlaceSearch::new(at, plan, Vec::new()));
    }

    fn take_places(&mut self) {
        while let Some(result) = self.placer.results.pop() {
            let customer = self.customers.remove(&result.number).expect("an arrival");
            let Ok(send) = result.found else {
                self.counts[customer].refused += 1;
                continue;
            };
            let at = result.search.at;
            let now_ms = self.fleet.now_ms;
            let state = self.fleet.states[at].as_mut().expect("its instance runs");
            state.record_first_event(now_ms, &send, 25);
            self.fleet.send_outbox(at);
            let end = (at, self.lives[at], send);
            self.ends.insert((now_ms + SLOT_MS, result.number), end);
        }
    }

    fn end_sends(&mut self) {
        while let Some(entry) = self.ends.first_entry()
            && entry.key().0 <= self.fleet.now_ms
        {
            let (at, life, send) = entry.remove();
            if self.lives[at] != life {
                continue;
            }
            let mut end = SendEnd::new(SendOutcome::Answered);
            end.prompt_was_read = true;
            end.place.slot_ms = Some(SLOT_MS);
            let now_ms = self.fleet.now_ms;
            if let Some(state) = &mut self.fleet.states[at] {
                state.end_send(now_ms, &send, &end);
            }
            self.fleet.send_outbox(at);
        }
    }

    fn kill(&mut self, at: usize) {
        self.fleet.kill(at);
        self.placer.kill(at);
        self.lives[at] += 1;
    }

    fn restart(&mut self, at: usize) {
        self.fleet.start_instance(at);
        self.fleet.publish(at, 1, listing());
    }

    fn coordinator(&self) -> usize {
        let now_ms = self.fleet.now_ms;
        let live = self.fleet.states.iter().enumerate();
        let own = live.filter_map(|(index, state)| Some((index, state.as_ref()?)));
        own.into_iter()
            .find(|(_, state)| state.fleet().decider(now_ms) == Decider::Own)
            .map(|(index, _)| index)
            .expect("a coordinator")
    }

    /// Returns the shares of refused requests of the first customer and of all others, and starts
    /// to count anew.
    fn take_shares(&mut self, title: &str) -> (f64, f64) {
        let counts = std::mem::replace(&mut self.counts, vec![Count::default(); CUSTOMERS]);
        let share = |counts: &[Count]| {
            let sum = |of: fn(&Count) -> usize| counts.iter().map(of).sum::<usize>() as f64;
            sum(|count| count.refused) / sum(|count| count.arrived).max(1.0)
        };
        let (first, others) = (share(&counts[..1]), share(&counts[1..]));
        println!("{title}: refused of the first customer {first:.3}, of the others {others:.3}");
        (first, others)
    }
}

#[test]
fn requests_of_one_customer_at_all_instances_cost_the_others_nothing() {
    for seed in SEEDS {
        let mut play = Play::start(seed);
        // Until the first places end, their time is not known.
        play.run(1_000, true);
        play.take_shares(&format!("seed {seed}, first second"));
        play.run(6_000, true);
        let (first, others) = play.take_shares(&format!("seed {seed}"));
        assert!(others < MAX_REFUSED, "seed {seed}: {others}");
        // It still gets what the others leave.
        assert!(first < 0.75, "seed {seed}: {first}");
    }
}

#[test]
fn a_coordinator_killed_amid_a_burst_leaves_no_customer_ahead() {
    for seed in SEEDS {
        let mut play = Play::start(seed);
        play.run(3_000, true);
        play.kill(play.coordinator());
        // The next one learns what runs.
        play.run(3_000, true);
        play.take_shares(&format!("seed {seed}, change"));
        play.run(4_000, true);
        let (_, others) = play.take_shares(&format!("seed {seed}, after"));
        assert!(others < MAX_REFUSED, "seed {seed}: {others}");
    }
}

#[test]
fn shares_hold_again_once_a_cut_ends_and_after_a_restart_of_all() {
    for seed in SEEDS {
        let mut play = Play::start(seed);
        play.run(2_000, true);
        (0..INSTANCES / 2).for_each(|at| play.fleet.sides[at] = 1);
        play.run(4_000, true);
        play.take_shares(&format!("seed {seed}, cut"));
        play.fleet.sides.fill(0);
        play.run(3_000, true);
        play.take_shares(&format!("seed {seed}, heals"));
        play.run(3_000, true);
        let (_, others) = play.take_shares(&format!("seed {seed}, healed"));
        assert!(others < MAX_REFUSED, "seed {seed}: {others}");
        (0..INSTANCES).for_each(|at| play.kill(at));
        (0..INSTANCES).for_each(|at| play.restart(at));
        play.run(3_000, true);
        play.take_shares(&format!("seed {seed}, restart"));
        play.run(3_000, true);
        let (_, others) = play.take_shares(&format!("seed {seed}, restarted"));
        assert!(others < MAX_REFUSED, "seed {seed}: {others}");
    }
}

#[test]
fn instances_of_a_build_that_tells_no_customers_share_by_instance() {
    for seed in SEEDS {
        let mut play = Play::start(seed);
        let coordinator = play.coordinator();
        let old = (0..INSTANCES).filter(|at| *at != coordinator && at % 2 == 0);
        old.for_each(|at| play.fleet.is_earlier[at] = true);
        play.run(6_000, true);
        let (first, others) = play.take_shares(&format!("seed {seed}"));
        // Mixed requests of such an instance wait together; none is worse off than all together.
        assert!(others <= first, "seed {seed}: {others} {first}");
    }
}
