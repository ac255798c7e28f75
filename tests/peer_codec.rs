//! Tests of the bytes of peer messages.

use bergamotspan::peer_codec::{PEER_FRAME_LIMIT_BYTES, decode, encode};
use bergamotspan::peer_message::{
    Heartbeat, KeyClaim, KeyRecord, PEER_PROTOCOL_VERSION, PeerMessage, Suspect,
};
use bergamotspan::request_id::RequestId;
use proptest::prelude::*;

fn names() -> impl Strategy<Value = std::sync::Arc<str>> {
    "[a-zåäöñ0-9-]{0,20}".prop_map(Into::into)
}

fn requests() -> impl Strategy<Value = RequestId> {
    (names(), any::<u64>(), any::<u64>()).prop_map(|(instance, incarnation, sequence)| RequestId {
        instance,
        incarnation,
        sequence,
    })
}

fn heartbeats() -> impl Strategy<Value = PeerMessage> {
    let suspects = prop::collection::vec(
        (prop::collection::vec(names(), 0..4), any::<u64>())
            .prop_map(|(backend_servers, fingerprint)| Suspect { backend_servers, fingerprint }),
        0..5,
    );
    let ranks = prop::collection::vec((names(), any::<u8>()), 0..3);
    (any::<[u64; 5]>(), any::<bool>(), suspects, ranks).prop_map(
        |(numbers, stopping, suspects, lowest_waiting_ranks)| {
            PeerMessage::Heartbeat(Heartbeat {
                config_version: numbers[0],
                incarnation: numbers[1],
                list_version: numbers[2],
                lowest_waiting_ranks,
                retired_version: numbers[3],
                sent_ms: numbers[4],
                stopping,
                suspects,
            })
        },
    )
}

fn messages() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        heartbeats(),
        any::<u64>().prop_map(|have_version| PeerMessage::ConfigFetch { have_version }),
        (".{0,200}", any::<u64>())
            .prop_map(|(text, version)| PeerMessage::ConfigDocument { text, version }),
        requests().prop_map(PeerMessage::Withdraw),
        (any::<[u64; 2]>(), names(), requests(), any::<u8>()).prop_map(
            |(numbers, key, request, tier_rank)| PeerMessage::KeyClaim(KeyClaim {
                fingerprint: numbers[0],
                key,
                list_version: numbers[1],
                request,
                tier_rank,
            })
        ),
        prop::collection::vec(
            (any::<[u64; 2]>(), names(), requests()).prop_map(|(numbers, key, request)| {
                KeyRecord {
                    fingerprint: numbers[0],
                    granted_wall_clock_ms: numbers[1],
                    key,
                    request,
                }
            }),
            0..4
        )
        .prop_map(PeerMessage::KeyHandover),
    ]
}

fn error_of(bytes: &[u8]) -> String {
    decode::<PeerMessage>("entry-2", bytes).unwrap_err().to_string()
}

proptest! {
    #[test]
    fn a_message_survives_the_round_trip(message in messages()) {
        let bytes = encode("entry-2", &message).unwrap();

        prop_assert_eq!(decode::<PeerMessage>("entry-2", &bytes).unwrap(), message);
    }

    #[test]
    fn garbage_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<PeerMessage>("entry-2", &bytes);
    }

    #[test]
    fn a_cut_or_changed_message_never_panics(
        message in messages(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = encode("entry-2", &message).unwrap();
        let index = at.index(bytes.len());
        prop_assert!(decode::<PeerMessage>("entry-2", &bytes[..index]).is_err());
        bytes[index] = byte;
        let _ = decode::<PeerMessage>("entry-2", &bytes);
    }
}

#[test]
fn an_empty_message_is_an_error() {
    assert_eq!(error_of(&[]), "A message from instance 'entry-2' can't be read: it is empty.");
}

#[test]
fn another_version_is_an_error() {
    assert_eq!(
        error_of(&[PEER_PROTOCOL_VERSION + 1, 0]),
        "A message from instance 'entry-2' can't be read: it has version 2, and 1 is known."
    );
}

#[test]
fn bytes_that_are_no_message_are_an_error() {
    assert_eq!(
        error_of(&[PEER_PROTOCOL_VERSION, 0xff]),
        "A message from instance 'entry-2' can't be read: it is not a known message."
    );
}

#[test]
fn bytes_after_a_message_are_an_error() {
    let mut bytes = encode("entry-2", &PeerMessage::ConfigFetch { have_version: 1 }).unwrap();
    bytes.extend([0, 0]);

    assert_eq!(
        error_of(&bytes),
        "A message from instance 'entry-2' can't be read: 2 bytes follow it."
    );
}

#[test]
fn a_message_over_the_limit_is_neither_written_nor_read() {
    let text = "a".repeat(PEER_FRAME_LIMIT_BYTES);
    let written = encode("entry-2", &PeerMessage::ConfigDocument { text, version: 1 });
    let message = "A message from instance 'entry-2' can't be read: it has 4194305 bytes, \
                   and 4194304 are allowed.";

    assert!(written.unwrap_err().to_string().ends_with("and 4194304 are allowed."));
    assert_eq!(error_of(&vec![PEER_PROTOCOL_VERSION; PEER_FRAME_LIMIT_BYTES + 1]), message);
}
