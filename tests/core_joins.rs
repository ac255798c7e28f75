//! Tests of the decision core's answers to callers that join a key.
//!
//! A key that was released here may have run at another instance since, so its home is queried
//! for a caller that joins it. Only a peer that names the released request is answered `not_run`.

use std::sync::Arc;

use bergamotspan::build_core::build_core;
use bergamotspan::config_event::ConfigDocument;
use bergamotspan::core::Core;
use bergamotspan::effect::Effect;
use bergamotspan::event::{Arrival, Event};
use bergamotspan::final_answer::Outcome;
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::peer_message::{KeyVerdict, PeerMessage};

const INVENTORY: &str = include_str!("../examples/norrland.ini");
const SETTINGS: &str = include_str!("../examples/entry-1-settings.ini");

/// An instance that claimed a key at another instance.
struct Claimant {
    core: Core,
    home: Name,
    key: Name,
    now: Now,
    request: bergamotspan::request_id::RequestId,
}

impl Claimant {
    /// Adopts the inventory and claims the first key whose home is another instance.
    fn arrange() -> Self {
        let now = Now { monotonic_ms: 10_000, wall_clock_ms: 1_000_000 };
        let settings = Arc::new(parse_settings("settings", SETTINGS).unwrap());
        let mut core = build_core(settings, 1, now);
        let inventory = Arc::new(parse_inventory("inventory", INVENTORY).unwrap());
        let document = ConfigDocument { text: INVENTORY.into(), version: inventory.version };
        core.decide(now, Event::DocumentRead { document, parsed: Ok(inventory), peer: None });
        for sequence in 1.. {
            let key: Name = format!("key-{sequence}").into();
            let arrival = Arrival {
                customer: "home-care-umea".into(),
                key: Some(key.clone()),
                path: "bookings".into(),
                sequence,
                service: "order-desk".into(),
                ..Arrival::default()
            };
            for effect in core.decide(now, Event::Arrived(Box::new(arrival))) {
                if let Effect::SendPeer { message: PeerMessage::KeyClaim(claim), to } = effect {
                    return Self { core, home: to, key, now, request: claim.request };
                }
            }
        }
        unreachable!("some key has another home")
    }

    fn receive_verdict(&mut self, verdict: KeyVerdict) -> Vec<Effect> {
        let message = PeerMessage::KeyVerdict {
            key: self.key.clone(),
            request: self.request.clone(),
            verdict,
        };
        let peer = self.home.clone();
        self.core.decide(self.now, Event::PeerMessage { incarnation: 2, message, peer })
    }

    fn receive_holder(&mut self, sequence: u64, key: Name) -> Vec<Effect> {
        let message = PeerMessage::KeyHolder { holder: None, key, sequence };
        let peer = self.home.clone();
        self.core.decide(self.now, Event::PeerMessage { incarnation: 2, message, peer })
    }

    /// Sends the key a second time; later verdicts are for that send.
    fn send_again(&mut self, sequence: u64) {
        let arrival = Arrival {
            customer: "home-care-umea".into(),
            key: Some(self.key.clone()),
            path: "bookings".into(),
            sequence,
            service: "order-desk".into(),
            ..Arrival::default()
        };
        self.core.decide(self.now, Event::Arrived(Box::new(arrival)));
        self.request.sequence = sequence;
    }

    fn join(&mut self, from_peer: bool) -> Vec<Effect> {
        let key = self.key.clone();
        let holder = from_peer.then(|| self.request.to_string().into());
        self.core.decide(self.now, Event::JoinRequested { holder, key, sequence: 1_000 })
    }
}

fn queries_home(effect: &Effect) -> bool {
    matches!(message_of(effect), Some(PeerMessage::KeyQuery { .. }))
}

fn message_of(effect: &Effect) -> Option<&PeerMessage> {
    match effect {
        Effect::SendPeer { message, .. } => Some(message),
        _ => None,
    }
}

fn outcomes(effects: &[Effect]) -> Vec<Outcome> {
    let outcome = |effect: &Effect| match effect {
        Effect::Answer { answer, .. } => Some(answer.outcome),
        _ => None,
    };
    effects.iter().filter_map(outcome).collect()
}

#[test]
fn a_join_of_a_released_key_by_a_peer_reports_not_run() {
    let mut claimant = Claimant::arrange();
    claimant.receive_verdict(KeyVerdict::Granted);
    let sequence = claimant.request.sequence;
    claimant.core.decide(claimant.now, Event::CallerGone { sequence });

    let effects = claimant.join(true);

    assert_eq!(outcomes(&effects), [Outcome::NotRun], "{effects:?}");
}

#[test]
fn a_join_of_a_key_that_was_not_granted_here_queries_its_home() {
    for verdict in [KeyVerdict::Unknown, KeyVerdict::BodyDiffers] {
        let mut claimant = Claimant::arrange();
        claimant.receive_verdict(verdict);

        let effects = claimant.join(false);

        let queries = |effect: &Effect| {
            matches!(effect, Effect::SendPeer { message: PeerMessage::KeyQuery { .. }, .. })
        };
        assert!(effects.iter().any(queries), "{effects:?}");
        assert_eq!(outcomes(&effects), []);
    }
}

#[test]
fn a_join_of_a_released_key_by_a_caller_queries_its_home() {
    let mut claimant = Claimant::arrange();
    claimant.receive_verdict(KeyVerdict::Granted);
    let sequence = claimant.request.sequence;
    claimant.core.decide(claimant.now, Event::CallerGone { sequence });

    let effects = claimant.join(false);

    // Another instance may have run the key since.
    assert_eq!(outcomes(&effects), [], "{effects:?}");
    assert!(effects.iter().any(queries_home), "{effects:?}");
}

#[test]
fn a_holder_message_without_a_pending_lookup_is_ignored() {
    let mut claimant = Claimant::arrange();
    let sequence = claimant.request.sequence;

    let other_sequence = claimant.receive_holder(sequence, claimant.key.clone());
    claimant.receive_verdict(KeyVerdict::Unknown);
    claimant.join(false);
    let other_key = claimant.receive_holder(1_000, "another-key".into());
    let pending = claimant.receive_holder(1_000, claimant.key.clone());
    let repeated = claimant.receive_holder(1_000, claimant.key.clone());

    assert_eq!(outcomes(&other_sequence), [], "{other_sequence:?}");
    assert_eq!(outcomes(&other_key), [], "{other_key:?}");
    assert_eq!(outcomes(&pending), [Outcome::Unknown], "{pending:?}");
    assert_eq!(outcomes(&repeated), [], "{repeated:?}");
}

#[test]
fn a_key_whose_release_was_lost_is_released_again() {
    let mut claimant = Claimant::arrange();
    claimant.receive_verdict(KeyVerdict::Granted);
    let first = claimant.request.clone();
    claimant.core.decide(claimant.now, Event::CallerGone { sequence: first.sequence });
    claimant.send_again(2_000);

    let effects = claimant.receive_verdict(KeyVerdict::Held { by: first.clone() });

    let sent: Vec<&PeerMessage> = effects.iter().filter_map(message_of).collect();
    let [PeerMessage::KeyRelease { request, .. }] = sent[..] else { panic!("{effects:?}") };
    assert_eq!(*request, first);
    assert_eq!(outcomes(&effects), [Outcome::NotRun]);
}
