//! Tests of hundreds of simulated instances: how they find each other, share engines and limits, and
//! what losses, splits and restarts do.

mod gateway_support;
#[path = "gateway_support/fleet.rs"]
mod simulated_fleet;

use std::collections::BTreeMap;

use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::dispatching::{DispatchDecision, SendEnd};
use bergamotspan::gateway::fleet::cells::{cell_count, cell_of};
use bergamotspan::gateway::fleet::coordinators::Decider;
use bergamotspan::gateway::fleet::placing::Placement;
use bergamotspan::gateway::routing_document::RoutingDocument;
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::StoreItem;
use proptest::prelude::*;

use crate::gateway_support::{admit, backend, customer, document, draft, name as named, record};
use crate::simulated_fleet::{SimulatedFleet, address};
use bergamotspan::gateway::admission::Admission;

/// Units that the customer may spend in a second, and in a burst.
const RATE: u64 = 100_000;
/// Revision at which the tests publish.
const REVISION: u64 = 1;

fn limited_document() -> RoutingDocument {
    RoutingDocument { customers: vec![customer(RATE)], ..document(1) }
}

fn items(engines: u16) -> Vec<StoreItem> {
    let mut items = vec![StoreItem::Document(Ok(Box::new(limited_document())))];
    for number in 0..engines {
        items.push(backend(&format!("m-{number:04}"), record("model", number + 1)));
    }
    items
}

fn started(instances: usize, engines: u16) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::start(instances, 3, 7);
    fleet.publish_to_all(REVISION, &items(engines));
    fleet
}

/// Returns whether all live instances of a cell follow the same ready coordinator.
fn is_settled(fleet: &SimulatedFleet) -> bool {
    let instances = fleet.live().count();
    let mut deciders: BTreeMap<usize, Vec<_>> = BTreeMap::new();
    for (index, state) in fleet.live() {
        let layout = state.fleet().layout();
        if layout.count() != cell_count(instances)
            || state.fleet().live_count(fleet.now_ms) != instances
        {
            return false;
        }
        let decider = match state.fleet().decider(fleet.now_ms) {
            Decider::None => return false,
            Decider::Other(address) => address,
            Decider::Own => address(index),
        };
        deciders.entry(layout.own).or_default().push(decider);
    }
    deciders.values().all(|of_cell| of_cell.iter().all(|decider| *decider == of_cell[0]))
}

#[test]
fn hundreds_of_instances_that_start_together_agree_on_cells_and_coordinators() {
    let mut fleet = started(295, 204);
    let settled_ms = fleet.run_until(6_000, is_settled);
    assert!(settled_ms.is_some(), "not settled");
    let mut assigned = BTreeMap::new();
    for (_, state) in fleet.live() {
        for report in state.backends().engine_reports() {
            let cells = assigned.entry(report.backend_server).or_insert_with(Vec::new);
            cells.push(state.fleet().layout().own);
        }
    }
    assert_eq!(assigned.len(), 204);
    for cells in assigned.values() {
        assert!(cells.iter().all(|cell| *cell == cells[0]), "shared by cells: {cells:?}");
    }
}

#[test]
fn an_instance_more_or_less_moves_only_itself() {
    for (before, after) in [(295, 296), (295, 294), (100, 101), (1_200, 1_201)] {
        assert_eq!(cell_count(before), cell_count(after));
        let moved = (0..before.min(after))
            .filter(|index| {
                let name = simulated_fleet::name(*index);
                cell_of(&name, cell_count(before)) != cell_of(&name, cell_count(after))
            })
            .count();
        assert_eq!(moved, 0);
    }
    // One cell more takes its share and moves nothing between the others.
    let names: Vec<_> = (0..1_200).map(simulated_fleet::name).collect();
    let moved = names.iter().filter(|name| cell_of(name, 19) != cell_of(name, 20));
    assert!(moved.clone().all(|name| cell_of(name, 20) == 19));
    assert!(moved.count() < 1_200 / 20 * 3 / 2);
}

/// Spends units at one instance, as a send of a request does.
fn spend(fleet: &mut SimulatedFleet, index: usize, units: u64) {
    let now_ms = fleet.now_ms;
    let state = fleet.state(index);
    let charged = admit(state, now_ms, "/draft/a", &draft("r", units, 0));
    let Admission::Forward(mut plan) = charged else { panic!("refused: {charged:?}") };
    let decision = state.decide_alone(now_ms, &mut plan, &[]).expect("charged");
    assert!(matches!(decision, DispatchDecision::Send(_)));
    state.record_spent(now_ms, &mut plan);
    if let DispatchDecision::Send(started_send) = decision {
        state.end_send(now_ms, &started_send, &SendEnd::new(SendOutcome::Answered));
    }
}

fn left_units(state: &GatewayState, now_ms: u64) -> i64 {
    let mut limits = state.limits().clone();
    limits.left_since(now_ms, 0).first().map(|(_, units)| *units).unwrap_or(i64::MAX)
}

#[test]
fn usage_anywhere_is_known_everywhere_within_a_second() {
    let mut fleet = started(295, 204);
    fleet.run_until(6_000, is_settled).expect("settled");
    // The bucket fills up.
    fleet.run(2_000);
    spend(&mut fleet, 200, RATE / 2);
    spend(&mut fleet, 200, RATE / 2);
    let known_ms = fleet.run_until(1_000, |fleet| {
        fleet.live().all(|(_, state)| left_units(state, fleet.now_ms) < RATE as i64 / 2)
    });
    assert!(known_ms.is_some(), "not known everywhere after a second");
}

#[test]
fn the_loss_of_a_third_of_the_fleet_is_known_within_two_seconds() {
    let mut fleet = started(295, 204);
    fleet.run_until(6_000, is_settled).expect("settled");
    let lost = 98;
    (0..295).filter(|index| index % 3 == 0).take(lost).for_each(|index| fleet.kill(index));
    let known_ms = fleet.run_until(2_000, |fleet| {
        fleet.live().all(|(_, state)| state.fleet().live_count(fleet.now_ms) == 295 - lost)
    });
    assert!(known_ms.is_some(), "not known after two seconds");
}

#[test]
fn a_coordinator_that_dies_is_replaced_within_two_seconds() {
    let mut fleet = started(70, 60);
    fleet.run_until(6_000, is_settled).expect("settled");
    let coordinating: Vec<_> = fleet
        .live()
        .filter(|(_, state)| state.fleet().decider(fleet.now_ms) == Decider::Own)
        .map(|(index, _)| index)
        .collect();
    assert_eq!(coordinating.len(), 2);
    coordinating.iter().for_each(|index| fleet.kill(*index));
    let replaced_ms = fleet.run_until(2_000, |fleet| {
        fleet.live().all(|(_, state)| match state.fleet().decider(fleet.now_ms) {
            Decider::None => false,
            Decider::Other(to) => coordinating.iter().all(|index| address(*index) != to),
            Decider::Own => true,
        })
    });
    assert!(replaced_ms.is_some());
}

/// Has every live instance spend as much as it may, and returns how much that was.
fn spend_all(fleet: &mut SimulatedFleet, units: u64) -> u64 {
    let now_ms = fleet.now_ms;
    let mut spent = 0;
    for index in 0..fleet.states.len() {
        let Some(state) = &mut fleet.states[index] else { continue };
        let Admission::Forward(mut plan) = admit(state, now_ms, "/draft/a", &draft("r", units, 0))
        else {
            continue;
        };
        match state.find_place(now_ms, &mut plan, &[]) {
            Ok(Placement::Decided(DispatchDecision::Send(started_send))) => {
                state.record_spent(now_ms, &mut plan);
                state.end_send(now_ms, &started_send, &SendEnd::new(SendOutcome::Answered));
                spent += units;
            }
            Ok(Placement::Ask(ask)) => {
                // The coordinator charges it, and grants the place.
                let to = (0..fleet.states.len()).find(|other| address(*other) == ask.to);
                let to = to.expect("an instance");
                if fleet.sides[to] == fleet.sides[index]
                    && let Some(coordinator) = &mut fleet.states[to]
                {
                    spent += charge_at(coordinator, now_ms, &simulated_fleet::name(index), &ask);
                }
            }
            _ => {}
        }
    }
    spent
}

fn charge_at(
    coordinator: &mut GatewayState,
    now_ms: u64,
    holder: &str,
    ask: &bergamotspan::gateway::fleet::pending_ask::PendingAsk,
) -> u64 {
    use bergamotspan::gateway::fleet::additions::Additions;
    use bergamotspan::gateway::fleet::message::{Body, Envelope, Message, PlaceVerdict, Sender};
    let sender = Sender {
        instance: named(holder),
        incarnation: 1,
        sent_ms: now_ms,
        capacity: 250,
        stopping: false,
    };
    let message = Message {
        sender,
        body: Body::Ask(Box::new(ask.ask.clone())),
        additions: Additions::default(),
    };
    let index: usize = holder.trim_start_matches("front-").parse().expect("a number");
    coordinator.receive_message(now_ms, address(index), &Envelope::default(), message);
    let outbox = coordinator.fleet_mut().take_outbox();
    let is_granted = outbox.iter().any(|outgoing| {
        matches!(&outgoing.body, Body::Answer(answer)
            if answer.number == ask.ask.number
                && matches!(answer.verdict, PlaceVerdict::Granted(_)))
    });
    let units = ask.ask.usage.as_ref().map(|usage| usage.units).unwrap_or_default();
    if is_granted { units } else { 0 }
}

#[test]
fn a_mass_restart_spends_no_more_than_the_limit() {
    let mut fleet = started(60, 200);
    fleet.run_until(6_000, is_settled).expect("settled");
    fleet.run(1_500);
    for index in 0..60 {
        fleet.kill(index);
    }
    let restarted_ms = fleet.now_ms;
    // They come back within 300 ms, the seeds last.
    for index in (0..60).rev() {
        fleet.run(if index % 2 == 0 { 10 } else { 0 });
        fleet.start_instance(index);
        fleet.publish(index, REVISION, items(200));
    }
    let mut spent = 0;
    while fleet.now_ms < restarted_ms + 2_000 {
        spent += spend_all(&mut fleet, 500);
        fleet.run(10);
    }
    let allowed = RATE * (fleet.now_ms - restarted_ms) / 1_000;
    assert!(spent <= allowed * 5 / 4, "{spent} of {allowed}");
    assert!(spent >= allowed / 4, "{spent} of {allowed}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    /// However a fleet is split, and whichever datagrams are lost, its parts together spend about
    /// the rate and the burst at most.
    #[test]
    fn a_split_fleet_keeps_the_limit(
        random_seed in 0_u64..1_000,
        sides in prop::collection::vec(0_u8..3, 20),
        loss in 0.0_f64..0.2,
    ) {
        let mut fleet = SimulatedFleet::start(20, 3, random_seed);
        fleet.publish_to_all(REVISION, &items(100));
        fleet.run_until(6_000, is_settled);
        fleet.run(1_500);
        fleet.loss = loss;
        fleet.sides = sides;
        let split_ms = fleet.now_ms;
        let mut spent = 0;
        while fleet.now_ms < split_ms + 8_000 {
            spent += spend_all(&mut fleet, 700);
            fleet.run(20);
            let now_ms = fleet.now_ms;
            // Each part still has proof that its document is the newest.
            for state in fleet.states.iter_mut().flatten() {
                state.record_proof(now_ms);
            }
        }
        // A part notices the split after the silence limit; until then each refills in full.
        let noticing = RATE * 3 / 2;
        let allowed = RATE + RATE * 8 + 2 * noticing;
        prop_assert!(spent <= allowed, "{} of {}", spent, allowed);
    }
}

#[test]
fn news_of_a_revoked_key_and_of_a_drain_reach_all_members_from_one_reader() {
    let mut fleet = started(130, 60);
    fleet.run_until(6_000, is_settled).expect("settled");
    let reader = fleet
        .live()
        .find(|(_, state)| state.fleet().decider(fleet.now_ms) == Decider::Own)
        .map(|(index, _)| index)
        .expect("a coordinator");
    let cell = fleet.state(reader).fleet().layout().own;
    let mut next = limited_document();
    next.version = 2;
    next.customers[0].keys.clear();
    let mut leaving = record("model", 1);
    (leaving.leaving, leaving.sequence) = (true, 2);
    let news = vec![StoreItem::Document(Ok(Box::new(next))), backend("m-0000", leaving)];
    fleet.publish(reader, REVISION + 1, news);
    let told_ms = fleet.run_until(1_000, |fleet| {
        let mut of_cell = fleet.live().filter(|(_, state)| state.fleet().layout().own == cell);
        of_cell.all(|(_, state)| state.is_behind() || state.table().version() == 2)
    });
    assert!(told_ms.is_some_and(|told_ms| told_ms <= 200), "{told_ms:?}");
}

#[test]
fn bytes_for_each_instance_grow_little_with_the_fleet() {
    let rate = |instances: usize, engines: u16| {
        let mut fleet = started(instances, engines);
        fleet.run_until(8_000, is_settled).expect("settled");
        fleet.count_bytes();
        fleet.run(5_000);
        assert!(fleet.largest_bytes < 60_000, "{}", fleet.largest_bytes);
        fleet.sent_bytes as f64 / instances as f64 / 5.0
    };
    let (small, large) = (rate(100, 70), rate(300, 210));
    println!("bytes a second: {small:.0} at 100, {large:.0} at 300");
    assert!(large <= 2.0 * small && large < 22_000.0, "{small} and {large}");
}

#[test]
fn a_thousand_instances_list_each_other_from_one_seed() {
    let mut fleet = SimulatedFleet::start(1_200, 1, 3);
    let known_ms = fleet.run_until(8_000, |fleet| {
        fleet.live().all(|(_, state)| state.fleet().roster().count() == 1_200)
    });
    assert!(known_ms.is_some());
    assert!(fleet.live().all(|(_, state)| state.fleet().layout().count() == cell_count(1_200)));
}
