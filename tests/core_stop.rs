//! Tests of the handover of keys by the decision core at a planned stop.
//!
//! The records of a full home don't fit into one message; a message over the limit is not sent, and
//! its keys would be lost.

use std::sync::Arc;

use bergamotspan::build_core::build_core;
use bergamotspan::config_event::ConfigDocument;
use bergamotspan::effect::Effect;
use bergamotspan::event::Event;
use bergamotspan::now::Now;
use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::peer_codec::encode;
use bergamotspan::peer_message::{KeyRecord, PeerMessage};
use bergamotspan::request_id::RequestId;

const INVENTORY: &str = include_str!("../examples/norrland.ini");
const MAX_KEY_BYTES: usize = 200;
const RECORDS: u64 = 90_000;
const SETTINGS: &str = include_str!("../examples/entry-1-settings.ini");

fn record(sequence: u64, now: Now) -> KeyRecord {
    KeyRecord {
        fingerprint: u64::MAX,
        granted_wall_clock_ms: now.wall_clock_ms,
        key: format!("{sequence:0>MAX_KEY_BYTES$}").into(),
        request: RequestId { instance: "entry-2".into(), incarnation: u64::MAX, sequence },
    }
}

#[test]
fn every_key_is_handed_over_in_messages_that_a_link_can_carry() {
    let now = Now { monotonic_ms: 10_000, wall_clock_ms: 1_000_000 };
    let settings = Arc::new(parse_settings("settings", SETTINGS).unwrap());
    let mut core = build_core(settings, 1, now);
    let inventory = Arc::new(parse_inventory("inventory", INVENTORY).unwrap());
    let document = ConfigDocument { text: INVENTORY.into(), version: inventory.version };
    core.decide(now, Event::DocumentRead { document, parsed: Ok(inventory), peer: None });
    let records = (0..RECORDS).map(|sequence| record(sequence, now)).collect();
    let message = PeerMessage::KeyHandover(records);
    core.decide(now, Event::PeerMessage { incarnation: 2, message, peer: "entry-2".into() });

    let effects = core.decide(now, Event::Stop);

    let handovers = effects.iter().filter_map(|effect| match effect {
        Effect::SendPeer { message, to } => Some((to, message)),
        _ => None,
    });
    let mut handed_over = 0;
    for (to, message) in handovers {
        let PeerMessage::KeyHandover(records) = message else { panic!("{message:?}") };
        encode(to, message).unwrap();
        handed_over += records.len() as u64;
    }
    assert_eq!(handed_over, RECORDS);
}
