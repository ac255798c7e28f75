//! Tests of the digests that instances exchange, and of the table of peers.

mod gateway_support;

use std::net::SocketAddr;

use bergamotspan::gateway::admission::RefusalReason;
use bergamotspan::gateway::peer_digest::{
    DIGEST_VERSION, Digest, Envelope, LoadEntry, decode_datagram, encode_datagram, encode_digest,
};
use bergamotspan::gateway::peer_table::PeerTable;
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::name::Name;
use bergamotspan::peer_message::Suspect;

use crate::gateway_support::{
    START_MS, address, admitted, apply_store_changes, customer, document, draft, metadata, name,
    refused, state,
};

fn digest(instance: &str, sent_ms: u64) -> Digest {
    Digest {
        instance: name(instance),
        incarnation: 3,
        sent_ms,
        stopping: false,
        document_version: 1,
        store_revision: 1,
        store_reachable: true,
        proof_age_ms: Some(100),
        others: Vec::new(),
        loads: Vec::new(),
        spent: Vec::new(),
        queues: Vec::new(),
        suspects: Vec::new(),
    }
}

fn envelope(echoed_sent_ms: Option<u64>, held_ms: u64) -> Envelope {
    Envelope { version: DIGEST_VERSION, echoed_sent_ms, held_ms }
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_600))
}

#[test]
fn a_datagram_decodes_to_what_was_encoded() {
    let load = LoadEntry { backend_server: name("m-1"), running: 3, unread_tokens: 70 };
    let suspect = Suspect { backend_servers: vec![name("m-1")], fingerprint: 7 };
    let written = Digest {
        others: vec![peer(2)],
        loads: vec![load],
        suspects: vec![suspect],
        ..digest("front-2", 5)
    };
    let bytes = encode_datagram(&envelope(Some(4), 9), &encode_digest(&written).expect("a digest"))
        .expect("a datagram");
    let (read_envelope, read) = decode_datagram(&bytes, peer(2)).expect("readable");
    assert_eq!((read_envelope, read), (envelope(Some(4), 9), written));
}

#[test]
fn a_datagram_of_another_version_is_rejected() {
    let other = Envelope { version: 9, ..envelope(None, 0) };
    let bytes = encode_datagram(&other, &[]).expect("a datagram");
    let error = decode_datagram(&bytes, peer(2)).expect_err("another version");
    assert_eq!(
        error.to_string(),
        "A message from instance '10.0.0.2:7600' can't be read: version 9 is not known."
    );
}

#[test]
fn a_proof_counts_from_the_time_of_the_echoed_datagram() {
    let mut table = PeerTable::new(address("10.0.0.1:7600"), START_MS, &[]);
    let outcome = table.receive(
        START_MS,
        peer(2),
        &envelope(Some(START_MS - 900), 50),
        &digest("front-2", 5),
    );
    // The peer sent its datagram 850 ms ago at the earliest, when its proof was 100 ms old.
    assert_eq!(outcome.proved_ms, Some(START_MS - 950));
    let without_echo = table.receive(START_MS, peer(3), &envelope(None, 0), &digest("front-3", 5));
    assert_eq!(without_echo.proved_ms, None);
}

#[test]
fn a_datagram_delayed_by_a_suspension_does_not_renew_the_proof() {
    let mut state = state();
    let sent_ms = START_MS - 100;
    let resumed_ms = START_MS + 60_000;
    let datagram = digest("front-2", 5);
    state.receive_digest(resumed_ms, peer(2), &envelope(Some(sent_ms), 10), &datagram);
    assert_eq!(state.proof_age_ms(resumed_ms), Some(60_000));
    assert!(!state.is_ready(resumed_ms));
}

#[test]
fn a_proof_from_a_peer_keeps_keys_valid_without_the_store() {
    let mut state = state();
    let now_ms = START_MS + 8_000;
    state.receive_digest(now_ms, peer(2), &envelope(Some(now_ms - 300), 0), &digest("front-2", 5));
    assert_eq!(state.proof_age_ms(now_ms), Some(400));
    admitted(&mut state, now_ms, "/booking/a", &metadata("r-1"));
}

#[test]
fn a_newer_document_at_a_peer_makes_missing_routes_retryable_and_keeps_known_keys() {
    let mut state = state();
    let newer = Digest { document_version: 2, ..digest("front-2", 5) };
    state.receive_digest(START_MS, peer(2), &envelope(Some(START_MS), 0), &newer);
    assert!(!state.is_up_to_date());
    admitted(&mut state, START_MS + 100, "/booking/a", &metadata("r-1"));
    let unknown = refused(&mut state, START_MS + 100, "/none/a", &metadata("r-2"));
    assert_eq!(unknown.reason, RefusalReason::NotFresh);
    // A proof of another version does not renew that of the own version.
    assert_eq!(state.proof_age_ms(START_MS + 100), Some(100));
    state.adopt(START_MS + 200, document(2));
    let unknown = refused(&mut state, START_MS + 200, "/none/a", &metadata("r-3"));
    assert_eq!(unknown.reason, RefusalReason::NoRoute);
}

#[test]
fn the_load_of_a_silent_peer_is_dropped() {
    let mut state = state();
    let busy = Digest {
        loads: vec![LoadEntry { backend_server: name("m-1"), running: 2, unread_tokens: 9 }],
        ..digest("front-2", 5)
    };
    state.receive_digest(START_MS, peer(2), &envelope(None, 0), &busy);
    let running = |state: &bergamotspan::gateway::state::GatewayState| {
        state.backends().get("m-1").map(|backend| backend.load().running)
    };
    assert_eq!(running(&state), Some(2));
    state.tick(START_MS + 1_200);
    assert_eq!(running(&state), Some(2));
    state.tick(START_MS + 1_400);
    assert_eq!(running(&state), Some(0));
}

#[test]
fn usage_is_sent_at_most_every_100_ms() {
    let mut state = state();
    let mut limited = document(2);
    limited.customers = vec![customer(1_000)];
    apply_store_changes(&mut state, START_MS, vec![StoreItem::Document(Ok(Box::new(limited)))]);
    let with_usage =
        (0..100).filter(|step| !state.outgoing_digest(START_MS + step * 10).0.spent.is_empty());
    assert_eq!(with_usage.count(), 10);
}

#[test]
fn every_datagram_to_another_cell_contains_usage() {
    let mut state = state();
    let mut limited = document(2);
    limited.customers = vec![customer(1_000)];
    apply_store_changes(&mut state, START_MS, vec![StoreItem::Document(Ok(Box::new(limited)))]);
    let (mut same_cell, mut other_cell) = (0, 0);
    for step in 0..500 {
        let now_ms = START_MS + step * 10;
        for number in 2..20 {
            let instance = format!("front-{number:02}");
            let received = digest(&instance, 5 + step);
            state.receive_digest(now_ms, peer(number), &envelope(None, 0), &received);
        }
        let (sent_digest, targets) = state.outgoing_digest(now_ms);
        for (address, _) in targets {
            let number = (2..20).find(|number| peer(*number) == address).expect("a peer");
            if is_in_own_cell(state.peers(), number) {
                same_cell += 1;
            } else {
                other_cell += 1;
                assert!(!sent_digest.spent.is_empty(), "{address} at {now_ms}");
            }
        }
    }
    assert!(same_cell > other_cell && other_cell > 0, "{same_cell} and {other_cell}");
}

#[test]
fn an_older_datagram_of_the_same_start_is_ignored() {
    let mut table = PeerTable::new(address("10.0.0.1:7600"), START_MS, &[]);
    table.receive(START_MS, peer(2), &envelope(None, 0), &digest("front-2", 9));
    let older = table.receive(START_MS, peer(2), &envelope(None, 0), &digest("front-2", 8));
    assert!(!older.usable);
}

#[test]
fn seeds_are_contacted_until_they_answer_and_a_new_peer_receives_the_addresses_at_once() {
    let own = address("10.0.0.1:7600");
    let mut table = PeerTable::new(own, START_MS, &[own, peer(2)]);
    let contacted = table.targets(START_MS, "front-1", true);
    assert_eq!(contacted, [(peer(2), Envelope::default())]);
    assert!(table.targets(START_MS + 100, "front-1", true).is_empty());
    assert_eq!(table.targets(START_MS + 500, "front-1", true).len(), 1);
    table.receive(START_MS + 600, peer(2), &envelope(None, 0), &digest("front-2", 5));
    assert_eq!(table.addresses_to_announce(START_MS + 600), [peer(2)]);
    assert!(table.addresses_to_announce(START_MS + 700).is_empty());
    table.receive(START_MS + 800, peer(3), &envelope(None, 0), &digest("front-3", 5));
    assert_eq!(table.addresses_to_announce(START_MS + 800), [peer(2), peer(3)]);
}

#[test]
fn the_rate_of_datagrams_to_other_cells_does_not_grow_with_the_fleet() {
    let rate = |instances: u8| {
        let mut table = PeerTable::new(peer(0), START_MS, &[]);
        for number in 1..instances {
            let instance = format!("front-{number:03}");
            table.receive(START_MS, peer(number), &envelope(None, 0), &digest(&instance, 5));
        }
        // Datagrams keep arriving, so that all peers stay live.
        let mut sent = 0;
        for step in 0..1_000_u64 {
            let now_ms = START_MS + step * 10;
            for number in 1..instances {
                let instance = format!("front-{number:03}");
                table.receive(
                    now_ms,
                    peer(number),
                    &envelope(None, 0),
                    &digest(&instance, 6 + step),
                );
            }
            let other_cell = |target: &(SocketAddr, Envelope)| {
                (1..instances)
                    .any(|number| peer(number) == target.0 && !is_in_own_cell(&table, number))
            };
            let targets = table.clone().targets(now_ms, "front-000", true);
            sent += targets.iter().filter(|target| other_cell(target)).count();
            table.targets(now_ms, "front-000", true);
        }
        sent
    };
    assert!(rate(120) <= rate(40) * 3 / 2, "{} and {}", rate(120), rate(40));
}

fn is_in_own_cell(table: &PeerTable, number: u8) -> bool {
    let named = |width| name(&format!("front-{number:0width$}"));
    let (short, long): (Name, Name) = (named(2), named(3));
    table.is_in_own_cell(&short) || table.is_in_own_cell(&long)
}

#[test]
fn waiting_requests_of_a_higher_rank_at_a_peer_go_first() {
    use bergamotspan::gateway::admission::Rank;
    use bergamotspan::gateway::dispatching::DispatchDecision;
    use bergamotspan::gateway::request_queue::QueueLength;
    let mut state = state();
    apply_store_changes(&mut state, START_MS, Vec::new());
    let queue_length = |waiting| QueueLength {
        service: name("model"),
        rank: Rank { customer: 0, route: 0 },
        waiting,
    };
    let ahead = Digest { queues: vec![queue_length(4)], ..digest("front-2", 5) };
    state.receive_digest(START_MS, peer(2), &envelope(None, 0), &ahead);
    let plan = admitted(&mut state, START_MS, "/draft/a", &draft("r-1", 100, 10));
    assert!(!matches!(state.dispatch(START_MS, &plan, &[]), DispatchDecision::Send(_)));
    let fewer = Digest { queues: vec![queue_length(3)], ..digest("front-2", 6) };
    state.receive_digest(START_MS, peer(2), &envelope(None, 0), &fewer);
    assert!(matches!(state.dispatch(START_MS, &plan, &[]), DispatchDecision::Send(_)));
}
