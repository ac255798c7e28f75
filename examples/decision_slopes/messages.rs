//! The messages between instances.

use bergamotspan::peer_codec::{decode, encode};
use bergamotspan::peer_message::{Confirmation, Heartbeat, KeyClaim, KeyVerdict, PeerMessage};
use bergamotspan::scheduling::{Grant, Progress};
use standins::capacity::{Point, Series};

use crate::coordinators::{grant_request_with, request};
use crate::cost::{processor_us_of, series};

const CODED: u64 = 50_000;
const HASHES: [u64; 5] = [0, 4, 8, 16, 32];
const KEY: &str = "01890a5d-ac96-774b-bcce-b302099a8057";
const SEQUENCE: u64 = 1_000_000;
const SERVICE: &str = "plan-model";
const VARIED: &str = "prefix hashes in a bid";

pub fn measure(divisor: u64) -> Vec<Series> {
    let coded = CODED / divisor;
    let grant_request = |hashes| PeerMessage::GrantRequest(grant_request_with(SEQUENCE, hashes));
    let mut all = vec![
        series(VARIED, "bid, bytes", &HASHES, |hashes| bytes(&grant_request(hashes))),
        series(VARIED, "encoding and decoding a bid, us of processor", &HASHES, |hashes| {
            let message = grant_request(hashes);
            processor_us_of(|| (0..coded).for_each(|_| code(&message))) / coded as f64
        }),
    ];
    for (name, message) in other_messages() {
        let point = Point { x: 1.0, y: bytes(&message) };
        all.push(Series::new("messages", &format!("{name}, bytes"), vec![point]));
    }
    all
}

fn bytes(message: &PeerMessage) -> f64 {
    encode("entry-2", message).map_or(0.0, |bytes| bytes.len() as f64)
}

fn code(message: &PeerMessage) {
    let bytes = encode("entry-2", message).expect("message has a form");
    let decoded: PeerMessage = decode("entry-2", &bytes).expect("message is known");
    assert_eq!(decoded, *message, "message survives");
}

fn other_messages() -> Vec<(&'static str, PeerMessage)> {
    let progress = |progress| PeerMessage::Progress {
        progress,
        request: request(SEQUENCE),
        service: SERVICE.into(),
    };
    let grant = Grant {
        backend_server: "engine-00001".into(),
        expires_in_ms: 1_000,
        request: request(SEQUENCE),
    };
    let claim = KeyClaim {
        fingerprint: u64::MAX / 7,
        key: KEY.into(),
        list_version: 4_000,
        request: request(SEQUENCE),
        tier_rank: 1,
    };
    let verdict = PeerMessage::KeyVerdict {
        key: KEY.into(),
        request: request(SEQUENCE),
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
