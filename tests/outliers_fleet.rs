//! Tests of a simulated fleet before three plain servers, one of which fails each request at once:
//! how many requests it gets, and which.

mod gateway_support;
#[path = "gateway_support/placer.rs"]
mod placer;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use std::env;

use bergamotspan::gateway::admission::Admission;
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::dispatching::{SendEnd, StartedSend};
use bergamotspan::gateway::store_item::StoreItem;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{admit, backend, document, metadata, record};
use crate::placer::{PlaceSearch, Placer};
use crate::simulated_fleet::SimulatedFleet;

/// Length of a step of the fleet, in milliseconds.
const STEP_MS: u64 = 10;
/// Requests that arrive in a step; two of three may not be repeated.
const ARRIVALS_PER_STEP: u64 = 4;
/// Time between two proofs that the document is the newest, in milliseconds.
const PROOF_INTERVAL_MS: u64 = 1_000;
/// Most sends to a broken server in its first second.
const FIRST_SECOND_SENDS: usize = 20;
/// The server that fails.
const BROKEN: &str = "d-0";
/// Environment variable with the number of seeds.
const SEEDS: &str = "OUTLIERS_SEEDS";

struct Sent {
    sent_ms: u64,
    is_repeatable: bool,
}

struct ServedFleet {
    broken: Vec<&'static str>,
    /// Servers that turn each second request away.
    busy: Vec<&'static str>,
    fleet: SimulatedFleet,
    failed: usize,
    next_number: u64,
    placer: Placer,
    random: StdRng,
    running: Vec<(u64, usize, StartedSend)>,
    served: usize,
    to_broken: Vec<Sent>,
}

impl ServedFleet {
    fn start(instances: usize, seed: u64) -> Self {
        let mut fleet = SimulatedFleet::start(instances, 3, seed);
        let mut items = vec![StoreItem::Document(Ok(Box::new(document(1))))];
        items.extend(
            (0..3).map(|number| backend(&format!("d-{number}"), record("desk", number + 1))),
        );
        fleet.publish_to_all(1, &items);
        fleet.run(6_000);
        Self {
            broken: Vec::new(),
            busy: Vec::new(),
            fleet,
            failed: 0,
            next_number: 0,
            placer: Placer::default(),
            random: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            served: 0,
            to_broken: Vec::new(),
        }
    }

    fn step(&mut self) {
        let now_ms = self.fleet.now_ms;
        if now_ms.is_multiple_of(PROOF_INTERVAL_MS) {
            self.fleet.states.iter_mut().flatten().for_each(|state| state.record_proof(now_ms));
        }
        let live: Vec<_> = self.fleet.live().map(|(index, _)| index).collect();
        for _ in 0..ARRIVALS_PER_STEP {
            self.next_number += 1;
            let at = live[self.random.random_range(0..live.len())];
            let path = if self.next_number.is_multiple_of(3) { "/status/a" } else { "/booking/a" };
            let metadata = metadata(&format!("r-{}", self.next_number));
            if let Admission::Forward(plan) = admit(self.fleet.state(at), now_ms, path, &metadata) {
                let search = PlaceSearch::new(at, plan, Vec::new());
                self.placer.start(&mut self.fleet, self.next_number, search);
            }
        }
        self.fleet.step();
        self.placer.step(&mut self.fleet);
        self.take_results();
        self.answer();
    }

    fn take_results(&mut self) {
        let now_ms = self.fleet.now_ms;
        for result in std::mem::take(&mut self.placer.results) {
            let Ok(send) = result.found else { continue };
            let is_broken = self.broken.contains(&&*send.backend_server);
            if is_broken {
                let is_repeatable = result.search.plan.route.is_repeatable();
                self.to_broken.push(Sent { sent_ms: now_ms, is_repeatable });
            }
            let reply_ms = if is_broken { 1 } else { self.random.random_range(20..60) };
            self.running.push((now_ms + reply_ms, result.search.at, send));
        }
    }

    fn answer(&mut self) {
        let now_ms = self.fleet.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|(due, ..)| *due <= now_ms);
        self.running = later;
        for (_, instance, send) in due {
            let Some(state) = &mut self.fleet.states[instance] else { continue };
            let is_broken = self.broken.contains(&&*send.backend_server);
            let is_busy = self.busy.contains(&&*send.backend_server) && now_ms.is_multiple_of(20);
            let outcome = match (is_broken, is_busy) {
                (true, _) => SendOutcome::Failed,
                (false, true) => SendOutcome::Refused,
                (false, false) => SendOutcome::Answered,
            };
            state.end_send(now_ms, &send, &SendEnd::new(outcome));
            if is_broken {
                self.failed += 1
            } else {
                self.served += 1
            }
            self.fleet.send_outbox(instance);
        }
    }

    fn run(&mut self, duration_ms: u64) {
        (0..duration_ms / STEP_MS).for_each(|_| self.step());
    }

    fn sends_between(&self, from_ms: u64, until_ms: u64) -> usize {
        self.to_broken.iter().filter(|sent| (from_ms..until_ms).contains(&sent.sent_ms)).count()
    }

    fn kill_coordinators(&mut self) {
        let coordinators: Vec<_> = self
            .fleet
            .live()
            .filter(|(_, state)| state.fleet().is_coordinating())
            .map(|(index, _)| index)
            .collect();
        // The second one takes over with what the first has told.
        for at in coordinators.into_iter().take(1) {
            self.fleet.kill(at);
            self.placer.kill(at);
            self.running.retain(|(_, instance, _)| *instance != at);
        }
    }
}

fn seeds() -> u64 {
    env::var(SEEDS).ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(3)
}

#[test]
fn a_server_that_fails_at_once_gets_a_handful_of_requests_and_then_trials() {
    for (instances, seed) in
        [7, 71].into_iter().flat_map(|count| (0..seeds()).map(move |seed| (count, seed)))
    {
        let mut served = ServedFleet::start(instances, seed);
        served.run(2_000);
        let broken_ms = served.fleet.now_ms;
        served.broken.push(BROKEN);
        served.run(6_000);
        let first = served.sends_between(broken_ms, broken_ms + 1_000);
        assert!(
            first <= FIRST_SECOND_SENDS,
            "{instances}, seed {seed}: {first} in the first second"
        );
        for second in 1..6 {
            let from_ms = broken_ms + second * 1_000;
            let sends = served.sends_between(from_ms, from_ms + 1_000);
            assert!(sends <= 1, "{instances}, seed {seed}: {sends} in second {second}");
        }
        let mut trials = served.to_broken.iter().filter(|sent| sent.sent_ms >= broken_ms + 1_000);
        assert!(trials.all(|sent| sent.is_repeatable), "{instances}, seed {seed}");
    }
}

#[test]
fn a_server_that_recovers_is_trusted_again() {
    for seed in 0..seeds() {
        let mut served = ServedFleet::start(7, seed);
        served.broken.push(BROKEN);
        served.run(4_000);
        served.broken.clear();
        served.run(9_000);
        let mut ejected = served.fleet.live().flat_map(|(_, state)| state.backends().ejected());
        assert!(ejected.next().is_none(), "seed {seed}");
    }
}

#[test]
fn the_next_coordinator_knows_of_the_ejection() {
    for seed in 0..seeds() {
        let mut served = ServedFleet::start(7, seed);
        served.broken.push(BROKEN);
        served.run(3_000);
        let killed_ms = served.fleet.now_ms;
        served.kill_coordinators();
        served.run(4_000);
        let sends = served.sends_between(killed_ms, killed_ms + 4_000);
        // One trial a second, and one that each of the two coordinators may begin.
        assert!(sends <= 6, "seed {seed}: {sends}");
    }
}

#[test]
fn all_servers_of_a_service_that_fail_stay_in_use() {
    let mut served = ServedFleet::start(7, 0);
    served.broken.extend(["d-0", "d-1", "d-2"]);
    served.run(3_000);
    served.broken.clear();
    let before = served.served;
    served.run(2_000);
    // Two of three servers are at least left, and all requests fit there.
    assert!(served.served - before >= 700, "{}", served.served - before);
}

#[test]
fn a_server_that_fails_stays_ejected_while_the_others_turn_requests_away() {
    for seed in 0..seeds() {
        let mut served = ServedFleet::start(7, seed);
        served.busy.extend(["d-1", "d-2"]);
        served.run(2_000);
        let broken_ms = served.fleet.now_ms;
        served.broken.push(BROKEN);
        served.run(4_000);
        let first = served.sends_between(broken_ms, broken_ms + 1_000);
        assert!(first <= FIRST_SECOND_SENDS, "seed {seed}: {first} in the first second");
        let later = served.sends_between(broken_ms + 1_000, broken_ms + 4_000);
        assert!(later <= 3, "seed {seed}: {later} in three seconds");
    }
}
