//! Which connections are kept when there are as many as there may be.

use bergamotspan::intake::connection_table::{
    AcceptStep, ConnectionId, ConnectionStage, ConnectionTable,
};

const STAGES: [ConnectionStage; 5] = [
    ConnectionStage::Answering,
    ConnectionStage::Body,
    ConnectionStage::Blocked,
    ConnectionStage::Head,
    ConnectionStage::Idle,
];

fn accepted(table: &mut ConnectionTable, now_ms: u64) -> ConnectionId {
    match table.accept(now_ms) {
        AcceptStep::Accept(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Returns a full table with connections at these stages, and their ids.
fn full(stages: &[ConnectionStage]) -> (ConnectionTable, Vec<ConnectionId>) {
    let mut table = ConnectionTable::new(stages.len());
    let ids: Vec<_> = (0..stages.len()).map(|_| accepted(&mut table, 0)).collect();
    for (id, stage) in ids.iter().zip(stages) {
        table.set_stage(0, *id, *stage);
    }
    (table, ids)
}

/// Returns the connection that gives way to a new one at this time.
fn replaced(table: &mut ConnectionTable, now_ms: u64) -> Option<ConnectionId> {
    match table.accept(now_ms) {
        AcceptStep::Replace { closed, .. } => Some(closed),
        AcceptStep::Refuse => None,
        AcceptStep::Accept(id) => panic!("{id:?} was accepted into a full table"),
    }
}

#[test]
fn idle_connections_give_way_before_those_with_a_request() {
    for count in (2..=STAGES.len()).rev() {
        let (mut table, ids) = full(&STAGES[..count]);
        assert_eq!(replaced(&mut table, 1_000), Some(ids[count - 1]), "{:?}", STAGES[count - 1]);
    }
}

#[test]
fn a_request_that_is_answered_does_not_give_way() {
    let (mut table, _) = full(&[ConnectionStage::Answering; 3]);
    assert_eq!(replaced(&mut table, 60_000), None);
}

#[test]
fn a_body_that_trickles_gives_way_before_one_that_moves() {
    let (mut table, ids) = full(&[ConnectionStage::Body; 2]);
    for now_ms in 1..2_000 {
        table.record_bytes(now_ms, ids[0], 1);
        table.record_bytes(now_ms, ids[1], 1_000);
    }
    assert_eq!(replaced(&mut table, 2_000), Some(ids[0]));
}

#[test]
fn newcomers_are_accepted_while_the_bodies_of_a_crowd_have_just_begun() {
    let (mut table, ids) = full(&[ConnectionStage::Body; 3]);
    for id in ids {
        assert_eq!(replaced(&mut table, 10), Some(id));
    }
}

#[test]
fn a_caller_that_is_slow_for_a_moment_does_not_give_way() {
    let (mut table, ids) = full(&[ConnectionStage::Blocked]);
    assert_eq!(replaced(&mut table, 499), None);
    assert_eq!(replaced(&mut table, 500), Some(ids[0]));
}

#[test]
fn the_oldest_of_a_stage_gives_way_and_newcomers_are_accepted() {
    let (mut table, ids) = full(&[ConnectionStage::Idle; 3]);
    for id in ids {
        assert_eq!(replaced(&mut table, 10), Some(id));
    }
    assert_eq!(table.count(), 3);
}

#[test]
fn a_connection_that_ends_leaves_its_place() {
    let (mut table, ids) = full(&[ConnectionStage::Answering; 2]);
    table.end(ids[0]);
    accepted(&mut table, 5);
    assert_eq!(table.count(), 2);
}
