//! What instances tell each other.

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
fn a_datagram_is_read_as_it_was_written() {
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
fn a_datagram_of_another_version_is_left_out() {
    let other = Envelope { version: 9, ..envelope(None, 0) };
    let bytes = encode_datagram(&other, &[]).expect("a datagram");
    let error = decode_datagram(&bytes, peer(2)).expect_err("another version");
    assert_eq!(
        error.to_string(),
        "A message from instance '10.0.0.2:7600' can't be read: version 9 is not known."
    );
}

#[test]
fn a_proof_is_as_old_as_the_question_that_it_answers() {
    let mut table = PeerTable::new(address("10.0.0.1:7600"), START_MS, &[]);
    let news = table.receive(
        START_MS,
        peer(2),
        &envelope(Some(START_MS - 900), 50),
        &digest("front-2", 5),
    );
    // Sent 850 ms ago at the latest, when the proof was 100 ms old.
    assert_eq!(news.proved_ms, Some(START_MS - 950));
    let unasked = table.receive(START_MS, peer(3), &envelope(None, 0), &digest("front-3", 5));
    assert_eq!(unasked.proved_ms, None);
}

#[test]
fn a_datagram_that_waited_through_a_suspension_proves_nothing_new() {
    let mut state = state();
    let sent_ms = START_MS - 100;
    let woken_ms = START_MS + 60_000;
    let datagram = digest("front-2", 5);
    state.receive_digest(woken_ms, peer(2), &envelope(Some(sent_ms), 10), &datagram);
    assert_eq!(state.proof_age_ms(woken_ms), Some(60_000));
    assert!(!state.is_ready(woken_ms));
}

#[test]
fn a_proof_of_a_peer_keeps_keys_in_force_without_the_store() {
    let mut state = state();
    let now_ms = START_MS + 8_000;
    state.receive_digest(now_ms, peer(2), &envelope(Some(now_ms - 300), 0), &digest("front-2", 5));
    assert_eq!(state.proof_age_ms(now_ms), Some(400));
    admitted(&mut state, now_ms, "/booking/a", &metadata("r-1"));
}

#[test]
fn a_newer_document_elsewhere_makes_the_unknown_uncertain_and_keeps_known_keys() {
    let mut state = state();
    let newer = Digest { document_version: 2, ..digest("front-2", 5) };
    state.receive_digest(START_MS, peer(2), &envelope(Some(START_MS), 0), &newer);
    assert!(!state.is_up_to_date());
    admitted(&mut state, START_MS + 100, "/booking/a", &metadata("r-1"));
    let unknown = refused(&mut state, START_MS + 100, "/none/a", &metadata("r-2"));
    assert_eq!(unknown.reason, RefusalReason::NotFresh);
    // The proof of another version does not renew that of the own one.
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
fn what_was_spent_is_told_at_most_each_tenth_of_a_second() {
    let mut state = state();
    let mut limited = document(2);
    limited.customers = vec![customer(1_000)];
    apply_store_changes(&mut state, START_MS, vec![StoreItem::Document(Ok(Box::new(limited)))]);
    let told =
        (0..100).filter(|step| !state.outgoing_digest(START_MS + step * 10).0.spent.is_empty());
    assert_eq!(told.count(), 10);
}

#[test]
fn other_cells_are_told_what_was_spent_each_time_that_they_are_told_anything() {
    let mut state = state();
    let mut limited = document(2);
    limited.customers = vec![customer(1_000)];
    apply_store_changes(&mut state, START_MS, vec![StoreItem::Document(Ok(Box::new(limited)))]);
    let (mut near, mut far) = (0, 0);
    for step in 0..500 {
        let now_ms = START_MS + step * 10;
        for number in 2..20 {
            let instance = format!("front-{number:02}");
            let heard = digest(&instance, 5 + step);
            state.receive_digest(now_ms, peer(number), &envelope(None, 0), &heard);
        }
        let (told, targets) = state.outgoing_digest(now_ms);
        for (address, _) in targets {
            let named = (2..20).find(|number| peer(*number) == address).expect("a peer");
            if table_is_near(state.peers(), named) {
                near += 1;
            } else {
                far += 1;
                assert!(!told.spent.is_empty(), "{address} at {now_ms}");
            }
        }
    }
    assert!(near > far && far > 0, "{near} and {far}");
}

#[test]
fn an_older_datagram_of_the_same_start_changes_nothing() {
    let mut table = PeerTable::new(address("10.0.0.1:7600"), START_MS, &[]);
    table.receive(START_MS, peer(2), &envelope(None, 0), &digest("front-2", 9));
    let older = table.receive(START_MS, peer(2), &envelope(None, 0), &digest("front-2", 8));
    assert!(!older.usable);
}

#[test]
fn seeds_are_greeted_until_they_answer_and_a_newcomer_is_told_of_the_others_at_once() {
    let own = address("10.0.0.1:7600");
    let mut table = PeerTable::new(own, START_MS, &[own, peer(2)]);
    let greeted = table.targets(START_MS, "front-1", true);
    assert_eq!(greeted, [(peer(2), Envelope::default())]);
    assert!(table.targets(START_MS + 100, "front-1", true).is_empty());
    assert_eq!(table.targets(START_MS + 500, "front-1", true).len(), 1);
    table.receive(START_MS + 600, peer(2), &envelope(None, 0), &digest("front-2", 5));
    assert_eq!(table.addresses_to_announce(START_MS + 600), [peer(2)]);
    assert!(table.addresses_to_announce(START_MS + 700).is_empty());
    table.receive(START_MS + 800, peer(3), &envelope(None, 0), &digest("front-3", 5));
    assert_eq!(table.addresses_to_announce(START_MS + 800), [peer(2), peer(3)]);
}

#[test]
fn datagrams_to_other_cells_do_not_grow_with_the_fleet() {
    let rate = |instances: u8| {
        let mut table = PeerTable::new(peer(0), START_MS, &[]);
        for number in 1..instances {
            let instance = format!("front-{number:03}");
            table.receive(START_MS, peer(number), &envelope(None, 0), &digest(&instance, 5));
        }
        // Answers arrive all the while, so that no peer falls silent.
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
            let far = |target: &(SocketAddr, Envelope)| {
                (1..instances)
                    .any(|number| peer(number) == target.0 && !table_is_near(&table, number))
            };
            let targets = table.clone().targets(now_ms, "front-000", true);
            sent += targets.iter().filter(|target| far(target)).count();
            table.targets(now_ms, "front-000", true);
        }
        sent
    };
    assert!(rate(120) <= rate(40) * 3 / 2, "{} and {}", rate(120), rate(40));
}

fn table_is_near(table: &PeerTable, number: u8) -> bool {
    let named = |width| name(&format!("front-{number:0width$}"));
    let (short, long): (Name, Name) = (named(2), named(3));
    table.is_in_own_cell(&short) || table.is_in_own_cell(&long)
}

#[test]
fn what_waits_at_a_peer_with_a_higher_rank_goes_first() {
    use bergamotspan::gateway::admission::Rank;
    use bergamotspan::gateway::dispatching::Dispatch;
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
    assert!(!matches!(state.dispatch(START_MS, &plan, &[]), Dispatch::Send(_)));
    let fewer = Digest { queues: vec![queue_length(3)], ..digest("front-2", 6) };
    state.receive_digest(START_MS, peer(2), &envelope(None, 0), &fewer);
    assert!(matches!(state.dispatch(START_MS, &plan, &[]), Dispatch::Send(_)));
}
