//! Tests of a simulated fleet before servers that state a limit on their requests: how many they get
//! from instances that know of it, and whether that is all they allow.

mod gateway_support;
#[path = "gateway_support/placer.rs"]
mod placer;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use std::collections::BTreeMap;
use std::env;

use bergamotspan::gateway::admission::Admission;
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::dispatching::{SendEnd, StartedSend};
use bergamotspan::gateway::rate_limit::StatedLimit;
use bergamotspan::gateway::store_item::StoreItem;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{admit, backend, document, draft, metadata, record};
use crate::placer::{PlaceSearch, Placer};
use crate::simulated_fleet::SimulatedFleet;

/// Window of the rule, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after the first statement from which the rule holds, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Time after which an instance that passed a statement on counts, in milliseconds.
const TOLD_MS: u64 = 500;
/// Length of a step of the fleet, in milliseconds.
const STEP_MS: u64 = 10;
/// Time between two proofs that the document is the newest, in milliseconds.
const PROOF_INTERVAL_MS: u64 = 1_000;
/// Time in which the requests that are served are counted, in milliseconds.
const COUNTED_MS: u64 = 8_000;
/// Environment variable with the number of seeds.
const SEEDS: &str = "SERVER_LIMITS_SEEDS";

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disturbance {
    KillCoordinators,
    Loss,
    None,
    Split,
}

/// A request that has arrived at a server.
#[derive(Clone, Debug)]
struct Arrived {
    arrived_ms: u64,
    instance: usize,
}

struct LimitedFleet {
    arrivals: BTreeMap<String, Vec<Arrived>>,
    fleet: SimulatedFleet,
    millirequests_per_s: u64,
    next_number: u64,
    placer: Placer,
    random: StdRng,
    refused: usize,
    running: Vec<(u64, u64, usize, StartedSend)>,
    /// When each instance first passed on a statement of each server.
    told_ms: BTreeMap<(usize, String), u64>,
}

impl LimitedFleet {
    fn start(instances: usize, servers: u16, service: &str, limit: u64, seed: u64) -> Self {
        let mut fleet = SimulatedFleet::start(instances, 3, seed);
        let mut items = vec![StoreItem::Document(Ok(Box::new(document(1))))];
        for number in 0..servers {
            items.push(backend(&format!("m-{number:04}"), record(service, number + 1)));
        }
        fleet.publish_to_all(1, &items);
        fleet.run(6_000);
        Self {
            arrivals: BTreeMap::new(),
            fleet,
            millirequests_per_s: limit,
            next_number: 0,
            placer: Placer::default(),
            random: StdRng::seed_from_u64(seed),
            refused: 0,
            running: Vec::new(),
            told_ms: BTreeMap::new(),
        }
    }

    fn step(&mut self, path: &str) {
        let now_ms = self.fleet.now_ms;
        if now_ms.is_multiple_of(PROOF_INTERVAL_MS) {
            self.fleet.states.iter_mut().flatten().for_each(|state| state.record_proof(now_ms));
        }
        let running = self.fleet.live().map(|(index, _)| index).collect::<Vec<_>>();
        let at = running[self.random.random_range(0..running.len())];
        self.next_number += 1;
        let id = format!("r-{}", self.next_number);
        let metadata = if path == "/draft/a" { draft(&id, 100, 20) } else { metadata(&id) };
        if let Admission::Forward(plan) = admit(self.fleet.state(at), now_ms, path, &metadata) {
            let search = PlaceSearch::new(at, plan, Vec::new());
            self.placer.start(&mut self.fleet, self.next_number, search);
        }
        self.fleet.step();
        self.placer.step(&mut self.fleet);
        self.take_results();
        self.answer();
    }

    fn take_results(&mut self) {
        let now_ms = self.fleet.now_ms;
        for result in std::mem::take(&mut self.placer.results) {
            let Ok(send) = result.found else {
                self.refused += 1;
                continue;
            };
            let instance = result.search.at;
            let server = send.backend_server.to_string();
            let arrived = Arrived { arrived_ms: now_ms, instance };
            self.arrivals.entry(server).or_default().push(arrived);
            let answered_ms = now_ms + self.random.random_range(30..300);
            self.running.push((answered_ms, now_ms, instance, send));
        }
    }

    fn answer(&mut self) {
        let now_ms = self.fleet.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(due, ..)| *due <= now_ms);
        self.running = later;
        let stated = StatedLimit::MillirequestsPerS(self.millirequests_per_s);
        for (_, sent_ms, instance, send) in due {
            let Some(state) = &mut self.fleet.states[instance] else { continue };
            if state.record_stated_limit(now_ms, sent_ms, &send.backend_server, stated) {
                state.tick(now_ms);
            }
            state.end_send(now_ms, &send, &SendEnd::new(SendOutcome::Answered));
            let server = send.backend_server.to_string();
            self.told_ms.entry((instance, server)).or_insert(now_ms);
            self.fleet.send_outbox(instance);
        }
    }

    fn run(&mut self, duration_ms: u64, path: &str) {
        for _ in 0..duration_ms / STEP_MS {
            self.step(path);
        }
    }

    fn kill(&mut self, at: usize) {
        self.fleet.kill(at);
        self.placer.kill(at);
        self.running.retain(|(_, _, instance, _)| *instance != at);
        self.told_ms.retain(|(instance, _), _| *instance != at);
    }

    fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::KillCoordinators => {
                let live = self.fleet.live();
                let coordinators = live.filter(|(_, state)| state.fleet().is_coordinating());
                let coordinators: Vec<_> = coordinators.map(|(index, _)| index).collect();
                coordinators.into_iter().for_each(|at| self.kill(at));
            }
            Disturbance::Loss => self.fleet.loss = 0.1,
            Disturbance::None => {}
            Disturbance::Split => {
                let count = self.fleet.states.len();
                self.fleet.sides = (0..count).map(|at| u8::from(at % 5 == 0)).collect();
            }
        }
    }

    /// Returns the most requests that a server got in a window from instances that had told of its limit.
    fn most_in_window(&self) -> usize {
        let mut most = 0;
        for (server, arrivals) in &self.arrivals {
            let told = self.told_ms.iter().filter(|((_, told), _)| told == server);
            let Some(first_ms) = told.map(|(_, told_ms)| *told_ms).min() else { continue };
            let counted: Vec<u64> = arrivals
                .iter()
                .filter(|arrival| {
                    let told = self.told_ms.get(&(arrival.instance, server.clone()));
                    told.is_some_and(|told_ms| arrival.arrived_ms >= told_ms + TOLD_MS)
                        && arrival.arrived_ms >= first_ms + STABLE_WINDOW_MS
                })
                .map(|arrival| arrival.arrived_ms)
                .collect();
            for (index, begin_ms) in counted.iter().enumerate() {
                let end = counted.partition_point(|at_ms| *at_ms < begin_ms + WINDOW_MS);
                most = most.max(end - index);
            }
        }
        most
    }

    /// Returns the fewest requests that a server got in the last time of this length.
    fn fewest_in_last(&self, duration_ms: u64) -> usize {
        let since_ms = self.fleet.now_ms - duration_ms;
        let of_server = |arrivals: &Vec<Arrived>| {
            arrivals.iter().filter(|arrival| arrival.arrived_ms >= since_ms).count()
        };
        self.arrivals.values().map(of_server).min().unwrap_or_default()
    }
}

fn permitted(millirequests_per_s: u64) -> usize {
    (1.5 * 4.0 * millirequests_per_s as f64 / 1_000.0 + 5.0) as usize
}

fn seeds() -> u64 {
    env::var(SEEDS).ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2)
}

fn check(instances: usize, servers: u16, model: bool, disturbance: Disturbance) {
    let (service, path) = if model { ("model", "/draft/a") } else { ("desk", "/booking/a") };
    for seed in 0..seeds() {
        for limit in [500, 2_200, 6_000] {
            let mut limited = LimitedFleet::start(instances, servers, service, limit, seed);
            limited.run(5_000, path);
            limited.disturb(disturbance);
            limited.run(9_000, path);
            let (most, fewest) = (limited.most_in_window(), limited.fewest_in_last(COUNTED_MS));
            println!(
                "{instances} instances, {service}, {disturbance:?}, seed {seed}, {limit}: {most} in a window, \
                 {fewest} at least, {} refused",
                limited.refused
            );
            assert!(most <= permitted(limit), "seed {seed}, {limit}: {most}");
            assert!(fewest > 0, "seed {seed}, {limit}: nothing served");
            if disturbance == Disturbance::None && limit < 6_000 {
                // One request may fall outside of the time.
                let owed = (0.8 * limit as f64 * COUNTED_MS as f64 / 1e6) as usize;
                assert!(fewest + 1 >= owed, "seed {seed}, {limit}: {fewest}");
            }
        }
    }
}

#[test]
fn a_fleet_keeps_the_limits_of_its_engines() {
    check(7, 5, true, Disturbance::None);
    check(40, 20, true, Disturbance::None);
}

#[test]
fn a_fleet_keeps_the_limits_of_plain_servers() {
    check(7, 3, false, Disturbance::None);
    check(150, 3, false, Disturbance::None);
}

#[test]
fn a_fleet_keeps_limits_while_its_coordinators_are_killed() {
    check(7, 3, false, Disturbance::KillCoordinators);
    check(40, 5, true, Disturbance::KillCoordinators);
}

#[test]
fn a_fleet_keeps_limits_while_datagrams_are_lost() {
    check(7, 3, false, Disturbance::Loss);
    check(40, 5, true, Disturbance::Loss);
}

#[test]
fn a_fleet_keeps_limits_while_some_instances_are_cut_off_from_the_others() {
    check(7, 3, false, Disturbance::Split);
    check(40, 5, true, Disturbance::Split);
}
