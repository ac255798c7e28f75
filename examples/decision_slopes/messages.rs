//! Size of the messages between instances, and cost of encoding and decoding them.

use bergamotspan::peer_codec::{decode, encode};
use bergamotspan::peer_message::{Confirmation, Heartbeat, KeyClaim, KeyVerdict, PeerMessage};
use bergamotspan::scheduling::{Grant, Progress};
use standins::capacity::{Point, Series};

use crate::coordinators::{grant_request_with, request_id};
use crate::cost::{measure_series, processor_us_of};

const ROUND_TRIPS: u64 = 50_000;
const HASH_COUNTS: [u64; 5] = [0, 4, 8, 16, 32];
const KEY: &str = "01890a5d-ac96-774b-bcce-b302099a8057";
const SEQUENCE: u64 = 1_000_000;
const SERVICE: &str = "plan-model";
const VARIED: &str = "prefix hashes in a bid";

pub fn measure(divisor: u64) -> Vec<Series> {
    let round_trips = ROUND_TRIPS / divisor;
    let grant_request = |hashes| PeerMessage::GrantRequest(grant_request_with(SEQUENCE, hashes));
    let mut all_series = vec![
        measure_series(VARIED, "bid, bytes", &HASH_COUNTS, |hashes| {
            encoded_bytes(&grant_request(hashes))
        }),
        measure_series(
            VARIED,
            "encoding and decoding a bid, us of processor",
            &HASH_COUNTS,
            |hashes| {
                let message = grant_request(hashes);
                processor_us_of(|| (0..round_trips).for_each(|_| round_trip(&message)))
                    / round_trips as f64
            },
        ),
    ];
    for (name, message) in other_messages() {
        let point = Point { x: 1.0, y: encoded_bytes(&message) };
        all_series.push(Series::new("messages", &format!("{name}, bytes"), vec![point]));
    }
    all_series
}

fn encoded_bytes(message: &PeerMessage) -> f64 {
    encode("entry-2", message).map_or(0.0, |bytes| bytes.len() as f64)
}

fn round_trip(message: &PeerMessage) {
    let bytes = encode("entry-2", message).expect("the message can be encoded");
    let decoded: PeerMessage = decode("entry-2", &bytes).expect("the message can be decoded");
    assert_eq!(decoded, *message, "decoding returns the encoded message");
}

fn other_messages() -> Vec<(&'static str, PeerMessage)> {
    let progress = |progress| PeerMessage::Progress {
        progress,
        request: request_id(SEQUENCE),
        service: SERVICE.into(),
    };
    let grant = Grant {
        backend_server: "engine-00001".into(),
        expires_in_ms: 1_000,
        request: request_id(SEQUENCE),
    };
    let claim = KeyClaim {
        fingerprint: u64::MAX / 7,
        key: KEY.into(),
        list_version: 4_000,
        request: request_id(SEQUENCE),
        tier_rank: 1,
    };
    let verdict = PeerMessage::KeyVerdict {
        key: KEY.into(),
        request: request_id(SEQUENCE),
        verdict: KeyVerdict::Granted,
    };
    vec![
        ("confirmation", PeerMessage::Confirmation(confirmation())),
        ("grant", PeerMessage::Grant(grant)),
        ("heartbeat", PeerMessage::Heartbeat(heartbeat())),
        ("key claim", PeerMessage::KeyClaim(claim)),
        ("key verdict", verdict),
        ("report of the first token", progress(Progress::FirstToken { elapsed_ms: 400 })),
        (
            "report of tokens",
            progress(Progress::Tokens { between_tokens_ms: 60, output_tokens: 100 }),
        ),
        (
            "report of the end",
            progress(Progress::Finished { cached_tokens: 512, output_tokens: 217 }),
        ),
    ]
}

fn confirmation() -> Confirmation {
    Confirmation {
        confirms: true,
        heartbeat_incarnation: u64::MAX / 3,
        heartbeat_sent_ms: 86_400_000,
        list_version: 4_000,
        retired_version: 3_999,
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        config_version: 23_000,
        incarnation: u64::MAX / 3,
        list_version: 4_000,
        lowest_waiting_ranks: vec![(SERVICE.into(), 3)],
        retired_version: 3_999,
        sent_ms: 86_400_000,
        stopping: false,
        suspects: Vec::new(),
    }
}
