//! Tests of what a failure to connect says: of the instance that failed, or of the backend server.

mod gateway_support;
#[path = "gateway_support/placer.rs"]
mod placer;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use bergamotspan::gateway::admission::RefusalReason;
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::dispatching::{SendEnd, StartedSend};
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::name::Name;

use crate::gateway_support::{admitted, backend, document, draft, record, record_broken_send};
use crate::placer::{PlaceSearch, Placer};
use crate::simulated_fleet::SimulatedFleet;

/// Number of instances.
const INSTANCES: usize = 4;
/// Time in which a fleet finds itself, in milliseconds.
const SETTLE_MS: u64 = 4_000;
/// Longest time for which a search for a place may last, in milliseconds.
const SEARCH_MS: u64 = 2_000;
/// Time in which reports reach their receivers, in milliseconds.
const REPORT_MS: u64 = 50;

/// A fleet whose instances send one request after the other.
struct SmallFleet {
    fleet: SimulatedFleet,
    placer: Placer,
    requests: u64,
}

impl SmallFleet {
    fn start(engines: u16) -> Self {
        let mut fleet = SimulatedFleet::start(INSTANCES, 1, 1);
        let records = (1..=engines).map(|number| {
            let record = BackendRecord { slots: 50, ..record("model", number) };
            backend(&format!("m-{number}"), record)
        });
        let document = StoreItem::Document(Ok(Box::new(document(1))));
        let items: Vec<_> = std::iter::once(document).chain(records).collect();
        fleet.publish_to_all(1, &items);
        let mut small = Self { fleet, placer: Placer::default(), requests: 0 };
        small.run(SETTLE_MS);
        small
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.fleet.now_ms + duration_ms;
        while self.fleet.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.fleet.step();
        let now_ms = self.fleet.now_ms;
        self.fleet.states.iter_mut().flatten().for_each(|state| state.record_proof(now_ms));
        self.placer.step(&mut self.fleet);
    }

    /// Returns a place for a request of an instance.
    fn place(&mut self, at: usize) -> Result<StartedSend, RefusalReason> {
        self.place_except(at, Vec::new())
    }

    /// Returns a place at a backend server that a request did not try.
    fn place_except(&mut self, at: usize, tried: Vec<Name>) -> Result<StartedSend, RefusalReason> {
        self.requests += 1;
        let now_ms = self.fleet.now_ms;
        let metadata = draft(&format!("r-{}", self.requests), 100, 10);
        let plan = admitted(self.fleet.state(at), now_ms, "/draft/a", &metadata);
        let search = PlaceSearch::new(at, plan, tried);
        self.placer.start(&mut self.fleet, self.requests, search);
        while self.placer.results.is_empty() && self.fleet.now_ms < now_ms + SEARCH_MS {
            self.step();
        }
        self.placer.results.pop().expect("a search ends").found
    }

    fn end(&mut self, at: usize, started_send: &StartedSend, end: &SendEnd) {
        let now_ms = self.fleet.now_ms;
        self.fleet.state(at).end_send(now_ms, started_send, end);
        self.fleet.send_outbox(at);
        self.run(REPORT_MS);
    }
}

#[test]
fn a_server_that_one_instance_cannot_reach_is_granted_to_the_others() {
    for cut in 0..INSTANCES {
        let mut small = SmallFleet::start(1);
        let failed = small.place(cut).expect("a place");
        small.end(cut, &failed, &SendEnd::new(SendOutcome::Unreachable));
        let now_ms = small.fleet.now_ms;
        for at in (0..INSTANCES).filter(|at| *at != cut) {
            let found = small.place(at);
            assert!(found.is_ok(), "{found:?} at {at}, cut {cut}");
        }
        assert!(small.fleet.now_ms < now_ms + 200, "they waited, cut {cut}");
    }
}

#[test]
fn a_refused_connection_at_one_of_several_instances_is_no_crash() {
    for cut in 0..INSTANCES {
        let mut small = SmallFleet::start(2);
        let now_ms = small.fleet.now_ms;
        let failed = small.place(cut).expect("a place");
        let state = small.fleet.state(cut);
        record_broken_send(state, now_ms, &failed.backend_server, now_ms - 10);
        small.end(cut, &failed, &SendEnd::refused_connection());
        assert_eq!(small.fleet.state(cut).take_crash_notices(), [], "cut {cut}");
    }
}

/// Has instances reach a server.
fn reach(small: &mut SmallFleet, instances: &[usize], reached: &str) {
    for at in instances {
        let place = small.place_except(*at, vec![other_than(reached)]).expect("a place");
        small.end(*at, &place, &SendEnd::new(SendOutcome::Answered));
    }
}

/// Has instances fail at the first server of two and then reach the other one.
fn fail_and_reach_another(small: &mut SmallFleet, instances: &[usize]) {
    for at in instances {
        let failed = small.place_except(*at, vec!["m-2".into()]).expect("a place");
        small.end(*at, &failed, &SendEnd::new(SendOutcome::Unreachable));
        reach(small, &[*at], "m-2");
    }
}

fn is_held_back(small: &SmallFleet, backend_server: &str) -> bool {
    let now_ms = small.fleet.now_ms;
    let known = small.fleet.live().filter_map(|(_, state)| state.backends().get(backend_server));
    known.into_iter().any(|known| !known.may_serve(now_ms))
}

/// Returns the server of a fleet of two that is not this one.
fn other_than(backend_server: &str) -> Name {
    if backend_server == "m-1" { "m-2".into() } else { "m-1".into() }
}

#[test]
fn an_instance_leaves_out_a_server_that_it_could_not_reach_lately() {
    for at in 0..INSTANCES {
        let mut small = SmallFleet::start(2);
        let failed = small.place(at).expect("a place");
        small.end(at, &failed, &SendEnd::new(SendOutcome::Unreachable));
        for _ in 0..6 {
            let place = small.place(at).expect("a place");
            assert_ne!(place.backend_server, failed.backend_server, "instance {at}");
        }
        small.run(1_000);
        let again: Vec<_> = (0..6).map(|_| small.place(at).expect("a place")).collect();
        let trials = again.iter().filter(|place| place.backend_server == failed.backend_server);
        assert_eq!(trials.count(), 1, "instance {at}");
    }
}

#[test]
fn a_server_that_two_instances_cannot_reach_is_held_back_for_all() {
    for at in [0, 3] {
        let mut small = SmallFleet::start(2);
        reach(&mut small, &[1, 2], "m-2");
        fail_and_reach_another(&mut small, &[1, 2]);
        assert!(is_held_back(&small, "m-1"), "instance {at}");
        let found = small.place_except(at, vec!["m-2".into()]);
        // It may wait within its goal, but gets no place there before the server is tried again.
        let is_refused = found.as_ref().err() == Some(&RefusalReason::NotInTime);
        assert!(is_refused || !is_held_back(&small, "m-1"), "instance {at}: {found:?}");
    }
}

#[test]
fn a_server_that_a_third_instance_reaches_between_two_failures_is_not_held_back() {
    let mut small = SmallFleet::start(2);
    reach(&mut small, &[1, 2], "m-2");
    let begun = small.place_except(3, vec!["m-2".into()]).expect("a place");
    fail_and_reach_another(&mut small, &[1]);
    small.end(3, &begun, &SendEnd::new(SendOutcome::Answered));
    fail_and_reach_another(&mut small, &[2]);
    assert!(!is_held_back(&small, "m-1"));
}

#[test]
fn a_server_that_a_third_instance_reaches_after_two_failures_is_released() {
    let mut small = SmallFleet::start(2);
    reach(&mut small, &[1, 2], "m-2");
    let begun = small.place_except(3, vec!["m-2".into()]).expect("a place");
    fail_and_reach_another(&mut small, &[1, 2]);
    assert!(is_held_back(&small, "m-1"));
    small.end(3, &begun, &SendEnd::new(SendOutcome::Answered));
    assert!(!is_held_back(&small, "m-1"));
}

#[test]
fn instances_that_reached_nothing_before_a_failure_hold_no_server_back() {
    let mut small = SmallFleet::start(2);
    fail_and_reach_another(&mut small, &[1, 2]);
    assert!(!is_held_back(&small, "m-1"));
    // A contact long before is none.
    let mut small = SmallFleet::start(2);
    reach(&mut small, &[1, 2], "m-2");
    small.run(2_000);
    fail_and_reach_another(&mut small, &[1, 2]);
    assert!(!is_held_back(&small, "m-1"));
}

#[test]
fn failures_of_two_instances_long_after_each_other_hold_nothing_back() {
    let mut small = SmallFleet::start(2);
    reach(&mut small, &[1, 2], "m-2");
    fail_and_reach_another(&mut small, &[1]);
    small.run(1_000);
    reach(&mut small, &[2], "m-2");
    fail_and_reach_another(&mut small, &[2]);
    assert!(!is_held_back(&small, "m-1"));
}

#[test]
fn instances_that_reach_nothing_hold_no_server_back() {
    let mut small = SmallFleet::start(2);
    for at in [1, 2, 1, 2] {
        let failed = small.place(at).expect("a place");
        small.end(at, &failed, &SendEnd::new(SendOutcome::Unreachable));
    }
    // They have left both out, and are refused at once.
    let now_ms = small.fleet.now_ms;
    assert_eq!(small.place(1).err(), Some(RefusalReason::NotInTime));
    assert!(small.fleet.now_ms <= now_ms + 80);
    for id in ["m-1", "m-2"] {
        assert!(!is_held_back(&small, id), "{id}");
    }
    for at in [0, 3] {
        let found = small.place(at);
        assert!(found.is_ok(), "{found:?} at {at}");
    }
}
