//! Tests of the encoding of peer messages.

use bergamotspan::key_handover::{KeySeal, StoppedHome};
use bergamotspan::peer_codec::{PEER_FRAME_LIMIT_BYTES, decode, encode};
use bergamotspan::peer_hello::Hello;
use bergamotspan::peer_message::{
    Confirmation, Heartbeat, KeyClaim, KeyRecord, KeyRefusal, KeyVerdict, PEER_PROTOCOL_VERSION,
    PeerMessage, Suspect,
};
use bergamotspan::request_id::RequestId;
use bergamotspan::scheduling::{
    Grant, GrantRequest, Progress, Refusal, RefusalReason, RunningRequest,
};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

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

fn suspects() -> impl Strategy<Value = Vec<Suspect>> {
    prop::collection::vec(
        (prop::collection::vec(names(), 0..4), any::<u64>())
            .prop_map(|(backend_servers, fingerprint)| Suspect { backend_servers, fingerprint }),
        0..5,
    )
}

fn heartbeats() -> impl Strategy<Value = PeerMessage> {
    let suspects = suspects();
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

fn grant_requests() -> impl Strategy<Value = GrantRequest> {
    let names = (names(), names(), prop::collection::vec(names(), 0..3));
    let hashes = prop::collection::vec(any::<u64>(), 0..9);
    let numbers = (any::<u64>(), any::<u64>(), any::<[u32; 2]>(), any::<u8>());
    (names, hashes, numbers, requests()).prop_map(
        |((customer, service, excluded), prefix_hashes, numbers, request)| GrantRequest {
            customer,
            excluded,
            fingerprint: numbers.0,
            max_output_tokens: numbers.2[0],
            prefix_hashes,
            prompt_tokens: numbers.2[1],
            request,
            service,
            tier_rank: numbers.3,
            time_left_ms: numbers.1,
        },
    )
}

fn confirmations() -> impl Strategy<Value = PeerMessage> {
    (any::<bool>(), any::<[u64; 4]>()).prop_map(|(confirms, numbers)| {
        PeerMessage::Confirmation(Confirmation {
            confirms,
            heartbeat_incarnation: numbers[0],
            heartbeat_sent_ms: numbers[1],
            list_version: numbers[2],
            retired_version: numbers[3],
        })
    })
}

fn progress() -> impl Strategy<Value = Progress> {
    prop_oneof![
        Just(Progress::Abandoned),
        Just(Progress::ConnectFailed),
        Just(Progress::Crashed),
        Just(Progress::Cancelled),
        Just(Progress::Lost),
        any::<u64>().prop_map(|elapsed_ms| Progress::FirstToken { elapsed_ms }),
        any::<[u32; 2]>().prop_map(|[cached_tokens, output_tokens]| Progress::Finished {
            cached_tokens,
            output_tokens
        }),
        (any::<u64>(), any::<u32>()).prop_map(|(between_tokens_ms, output_tokens)| {
            Progress::Tokens { between_tokens_ms, output_tokens }
        }),
    ]
}

fn scheduling_messages() -> impl Strategy<Value = PeerMessage> {
    let reasons = prop::sample::select(vec![
        RefusalReason::CannotFinishInTime,
        RefusalReason::NoBackendServer,
        RefusalReason::NoRoom,
        RefusalReason::Quarantined,
    ]);
    prop_oneof![
        grant_requests().prop_map(PeerMessage::GrantRequest),
        (names(), any::<u64>(), requests()).prop_map(|(backend_server, expires_in_ms, request)| {
            PeerMessage::Grant(Grant { backend_server, expires_in_ms, request })
        }),
        (progress(), requests(), names()).prop_map(|(progress, request, service)| {
            PeerMessage::Progress { progress, request, service }
        }),
        (reasons, any::<u64>(), requests()).prop_map(|(reason, retry_after_ms, request)| {
            PeerMessage::Refusal(Refusal { reason, request, retry_after_ms })
        }),
        (names(), grant_requests(), any::<u32>()).prop_map(
            |(backend_server, grant_request, output_tokens)| {
                PeerMessage::Running(RunningRequest {
                    backend_server,
                    grant_request,
                    output_tokens,
                })
            }
        ),
        (requests(), names())
            .prop_map(|(request, service)| PeerMessage::Withdraw { request, service }),
    ]
}

fn key_answers() -> impl Strategy<Value = PeerMessage> {
    let reasons = prop::sample::select(vec![
        KeyRefusal::Full,
        KeyRefusal::MintedInFuture,
        KeyRefusal::NotHome,
        KeyRefusal::OtherList,
        KeyRefusal::TooOld,
    ]);
    let verdicts = prop_oneof![
        Just(KeyVerdict::BodyDiffers),
        Just(KeyVerdict::Granted),
        Just(KeyVerdict::Unknown),
        requests().prop_map(|by| KeyVerdict::Held { by }),
        (reasons, any::<u64>())
            .prop_map(|(reason, retry_after_ms)| KeyVerdict::Refused { reason, retry_after_ms }),
    ];
    prop_oneof![
        (prop::option::of(requests()), names(), any::<u64>())
            .prop_map(|(holder, key, sequence)| PeerMessage::KeyHolder { holder, key, sequence }),
        (names(), any::<u64>()).prop_map(|(key, sequence)| PeerMessage::KeyQuery { key, sequence }),
        (names(), requests()).prop_map(|(key, request)| PeerMessage::KeyRelease { key, request }),
        (names(), requests(), verdicts).prop_map(|(key, request, verdict)| {
            PeerMessage::KeyVerdict { key, request, verdict }
        }),
    ]
}

fn messages() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        confirmations(),
        heartbeats(),
        key_answers(),
        scheduling_messages(),
        suspects().prop_map(PeerMessage::Suspects),
        any::<u64>().prop_map(|have_version| PeerMessage::ConfigFetch { have_version }),
        (".{0,200}", any::<u64>())
            .prop_map(|(text, version)| PeerMessage::ConfigDocument { text, version }),
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
        "A message from instance 'entry-2' can't be read: it has version 3, and 2 is known."
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
fn a_message_over_the_size_limit_is_neither_encoded_nor_decoded() {
    let text = "a".repeat(PEER_FRAME_LIMIT_BYTES);
    let written = encode("entry-2", &PeerMessage::ConfigDocument { text, version: 1 });
    let message = "A message from instance 'entry-2' can't be read: it has 4194305 bytes, \
                   and 4194304 are allowed.";

    assert!(written.unwrap_err().to_string().ends_with("and 4194304 are allowed."));
    assert_eq!(error_of(&vec![PEER_PROTOCOL_VERSION; PEER_FRAME_LIMIT_BYTES + 1]), message);
}

#[test]
fn frequent_messages_contain_no_field_names() {
    let request = RequestId { instance: "entry-1".into(), incarnation: 7, sequence: 8 };
    let grant = Grant { backend_server: "e".into(), expires_in_ms: 9, request: request.clone() };
    let tokens = Progress::Tokens { between_tokens_ms: 60, output_tokens: 100 };
    let progress = PeerMessage::Progress { progress: tokens, request, service: "s".into() };
    let messages = [
        PeerMessage::Confirmation(Confirmation::default()),
        PeerMessage::Grant(grant),
        PeerMessage::Heartbeat(Heartbeat::default()),
        progress,
    ];
    let names: [&[u8]; 6] =
        [b"incarnation", b"list_version", b"request", b"sequence", b"service", b"tokens"];

    for message in messages {
        let bytes = encode("entry-2", &message).unwrap();

        for name in names {
            let is_there = bytes.windows(name.len()).any(|window| window == name);
            assert!(!is_there, "{message:?} spells out {}", String::from_utf8_lossy(name));
        }
    }
}

/// A hello as versions without seals of key homes know it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierHello {
    incarnation: u64,
    link_sequence: u64,
    name: String,
}

#[test]
fn hellos_of_versions_with_and_without_seals_are_understood() {
    let earlier = EarlierHello { incarnation: 3, link_sequence: 2, name: "entry-2".into() };
    let hello: Hello = decode("entry-2", &encode("entry-1", &earlier).unwrap()).unwrap();

    assert!(!hello.key_seals);
    let current = Hello { key_seals: true, ..hello };
    let read: EarlierHello = decode("entry-1", &encode("entry-2", &current).unwrap()).unwrap();
    assert_eq!(read, earlier);
}

#[test]
fn a_seal_is_read_as_it_was_written() {
    let request = RequestId { instance: "entry-1".into(), incarnation: 1, sequence: 7 };
    let record = KeyRecord { fingerprint: 5, granted_wall_clock_ms: 9, key: "key".into(), request };
    let message = PeerMessage::KeySeal(KeySeal {
        attempt: 1,
        floor_ms: Some(2),
        from_incarnation: 3,
        list_version: 4,
        members: vec!["entry-1".into(), "entry-2".into()],
        part: 0,
        parts: 1,
        records: vec![record],
        sole: true,
        started_ms: 6,
        stopped: vec![StoppedHome { floor_ms: None, incarnation: 8, name: "entry-2".into() }],
        stopping: false,
        to_incarnation: 9,
    });

    let read: PeerMessage = decode("entry-1", &encode("entry-2", &message).unwrap()).unwrap();

    assert_eq!(read, message);
}
