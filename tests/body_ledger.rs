//! Which request bodies may hold memory when there is not enough for all.

use bergamotspan::intake::body_ledger::{BodyId, BodyLedger, GrowStep, SMALL_BODY_BYTES};
use proptest::prelude::{any, prop, prop_assert, proptest};

const BUDGET_BYTES: usize = 1_600_000;
const LARGE_BYTES: usize = 400_000;

fn grown(ledger: &mut BodyLedger, now_ms: u64, bytes: usize) -> BodyId {
    let id = ledger.begin(now_ms);
    assert_eq!(ledger.grow(now_ms, id, bytes), GrowStep::Granted);
    ledger.record_bytes(now_ms, id, bytes);
    id
}

/// Returns a ledger whose part for large bodies is used up by bodies that arrived at 0 ms.
fn full() -> (BodyLedger, Vec<BodyId>) {
    let mut ledger = BodyLedger::new(BUDGET_BYTES);
    let bodies = (0..3).map(|_| grown(&mut ledger, 0, LARGE_BYTES)).collect();
    (ledger, bodies)
}

#[test]
fn a_body_that_stopped_arriving_gives_way_to_a_new_one() {
    let (mut ledger, bodies) = full();
    for moving in &bodies[1..] {
        ledger.record_bytes(900, *moving, LARGE_BYTES);
    }
    let new = ledger.begin(1_000);
    assert_eq!(ledger.grow(1_000, new, LARGE_BYTES), GrowStep::Evict(bodies[0]));
    assert_eq!(ledger.grow(1_000, new, LARGE_BYTES), GrowStep::Wait);
    ledger.end(bodies[0]);
    assert_eq!(ledger.grow(1_000, new, LARGE_BYTES), GrowStep::Granted);
}

#[test]
fn a_body_that_trickles_gives_way_like_one_that_stopped() {
    let (mut ledger, bodies) = full();
    for now_ms in 1..1_000 {
        ledger.record_bytes(now_ms, bodies[0], 1);
        ledger.record_bytes(now_ms, bodies[1], 1_000);
        ledger.record_bytes(now_ms, bodies[2], 1_000);
    }
    let new = ledger.begin(1_000);
    assert_eq!(ledger.grow(1_000, new, LARGE_BYTES), GrowStep::Evict(bodies[0]));
}

#[test]
fn the_body_that_holds_most_gives_way_first() {
    let mut ledger = BodyLedger::new(BUDGET_BYTES);
    grown(&mut ledger, 0, LARGE_BYTES);
    let largest = grown(&mut ledger, 0, 2 * LARGE_BYTES);
    let new = ledger.begin(1_000);
    assert_eq!(ledger.grow(1_000, new, LARGE_BYTES), GrowStep::Evict(largest));
}

#[test]
fn the_youngest_gives_way_where_all_arrive() {
    let (mut ledger, bodies) = full();
    let new = ledger.begin(100);
    assert_eq!(ledger.grow(100, new, LARGE_BYTES), GrowStep::Refused);
    assert_eq!(ledger.grow(100, bodies[0], 2 * LARGE_BYTES), GrowStep::Evict(bodies[2]));
}

#[test]
fn a_small_body_passes_beside_large_ones_that_wait_for_servers() {
    let (mut ledger, bodies) = full();
    assert!(bodies.iter().all(|body| ledger.complete(*body)));
    let large = ledger.begin(5_000);
    assert_eq!(ledger.grow(5_000, large, LARGE_BYTES), GrowStep::Refused);
    let small = ledger.begin(5_000);
    assert_eq!(ledger.grow(5_000, small, SMALL_BODY_BYTES), GrowStep::Granted);
}

#[test]
fn a_body_that_is_alone_may_exceed_the_budget() {
    let mut ledger = BodyLedger::new(BUDGET_BYTES);
    grown(&mut ledger, 0, 2 * BUDGET_BYTES);
}

#[test]
fn an_evicted_body_does_not_complete() {
    let (mut ledger, bodies) = full();
    let new = ledger.begin(1_000);
    assert_eq!(ledger.grow(1_000, new, LARGE_BYTES), GrowStep::Evict(bodies[2]));
    assert!(!ledger.complete(bodies[2]));
    assert_eq!(ledger.grow(1_000, bodies[2], 2 * LARGE_BYTES), GrowStep::Refused);
}

proptest! {
    #[test]
    fn bodies_never_hold_more_than_the_budget(
        steps in prop::collection::vec((0..8_usize, any::<u16>(), 0..400_u64), 1..200),
    ) {
        let mut ledger = BodyLedger::new(BUDGET_BYTES);
        let mut bodies: Vec<(BodyId, usize)> = Vec::new();
        let mut now_ms = 0;
        for (index, bytes, pause_ms) in steps {
            now_ms += pause_ms;
            if bodies.len() <= index {
                bodies.push((ledger.begin(now_ms), 0));
                continue;
            }
            let (id, held_bytes) = bodies[index];
            let wanted_bytes = held_bytes + 8 * usize::from(bytes);
            match ledger.grow(now_ms, id, wanted_bytes) {
                GrowStep::Granted => bodies[index].1 = wanted_bytes,
                GrowStep::Evict(victim) => {
                    prop_assert!(victim != id);
                    ledger.end(victim);
                    bodies.retain(|(known, _)| *known != victim);
                }
                GrowStep::Refused => {
                    ledger.end(id);
                    bodies.remove(index);
                }
                GrowStep::Wait => prop_assert!(false, "no evicted body is held"),
            }
            let is_alone = bodies.iter().filter(|(_, held)| *held > 0).count() <= 1;
            prop_assert!(is_alone || ledger.held_bytes() <= BUDGET_BYTES);
        }
    }
}
