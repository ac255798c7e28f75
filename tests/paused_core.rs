//! Tests of the decision core after its process was paused.
//!
//! The others consider a paused instance lost, so another one may be coordinator or home of keys by
//! the time it resumes. Its state of the others, and messages on its old links, are outdated then.

use std::sync::Arc;

use bergamotspan::build_core::build_core;
use bergamotspan::config_event::ConfigDocument;
use bergamotspan::core::Core;
use bergamotspan::effect::Effect;
use bergamotspan::event::{Arrival, Event};
use bergamotspan::inventory::Inventory;
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::peer_message::{Confirmation, Heartbeat, KeyClaim, KeyVerdict, PeerMessage};
use bergamotspan::request_id::RequestId;
use bergamotspan::scheduling::{Grant, GrantRequest};

const INVENTORY: &str = include_str!("../examples/norrland.ini");
const SETTINGS: &str = include_str!("../examples/entry-1-settings.ini");

/// Name of the tested instance.
const OWN_NAME: &str = "entry-1";
/// Time of a pause beyond every limit, in milliseconds.
const PAUSE_MS: u64 = 5_000;
/// Time between two rounds of heartbeats, in milliseconds.
const ROUND_MS: u64 = 500;
/// Rounds after which the instance may grant keys.
const SETTLE_ROUNDS: u64 = 40;
/// Services of the inventory.
const SERVICES: [&str; 2] = ["order-desk", "plan-model"];

/// An instance whose peers are all live.
struct Given {
    core: Core,
    inventory: Arc<Inventory>,
    now: Now,
}

impl Given {
    fn arrange() -> Self {
        let now = Now { monotonic_ms: 10_000, wall_clock_ms: 1_000_000 };
        let core = build_core(Arc::new(parse_settings("settings", SETTINGS).unwrap()), 1, now);
        let inventory = Arc::new(parse_inventory("inventory", INVENTORY).unwrap());
        let document = ConfigDocument { text: INVENTORY.into(), version: inventory.version };
        let mut given = Self { core, inventory: inventory.clone(), now };
        given.decide(Event::DocumentRead { document, parsed: Ok(inventory), peer: None });
        given.links_come_up();
        given.run_rounds(SETTLE_ROUNDS);
        assert!(given.core.is_ready());
        given
    }

    fn decide(&mut self, event: Event) -> Vec<Effect> {
        self.core.decide(self.now, event)
    }

    fn receive(&mut self, peer: &Name, message: PeerMessage) -> Vec<Effect> {
        self.decide(Event::PeerMessage { incarnation: 2, message, peer: peer.clone() })
    }

    fn links_come_up(&mut self) {
        for peer in self.peers() {
            self.decide(Event::PeerUp { incarnation: 2, key_seals: true, peer });
        }
    }

    /// Runs rounds in which all peers send heartbeats and confirm those of this instance.
    fn run_rounds(&mut self, rounds: u64) -> Vec<Effect> {
        let mut all = Vec::new();
        for _ in 0..rounds {
            self.advance(ROUND_MS);
            all.extend(self.decide(Event::Tick));
            for peer in self.peers() {
                all.extend(self.receive(&peer, PeerMessage::Heartbeat(self.heartbeat())));
                all.extend(self.receive(&peer, PeerMessage::Confirmation(self.confirmation())));
            }
        }
        all
    }

    fn advance(&mut self, time_ms: u64) {
        self.now.monotonic_ms += time_ms;
        self.now.wall_clock_ms += time_ms;
    }

    fn peers(&self) -> Vec<Name> {
        let names = self.inventory.instances.iter().map(|instance| instance.name.clone());
        names.filter(|name| **name != *OWN_NAME).collect()
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            config_version: self.inventory.version,
            incarnation: 2,
            list_version: self.inventory.instances_version,
            retired_version: self.inventory.instances_version - 1,
            sent_ms: self.now.monotonic_ms,
            ..Heartbeat::default()
        }
    }

    fn confirmation(&self) -> Confirmation {
        Confirmation {
            confirms: true,
            heartbeat_incarnation: 1,
            heartbeat_sent_ms: self.now.monotonic_ms,
            list_version: self.inventory.instances_version,
            retired_version: self.inventory.instances_version - 1,
        }
    }

    /// Sends a request whose coordinator is another instance, and returns its grant request.
    fn send_request(&mut self) -> (Name, GrantRequest) {
        for (index, service) in SERVICES.iter().enumerate() {
            let arrival = Arrival {
                customer: "home-care-umea".into(),
                path: "status".into(),
                prompt_tokens: 10,
                sequence: index as u64 + 1,
                service: (*service).into(),
                ..Arrival::default()
            };
            let effects = self.decide(Event::Arrived(Box::new(arrival)));
            if let Some(found) = grant_requests(&effects).into_iter().next() {
                return found;
            }
        }
        unreachable!("another instance is the coordinator of a service")
    }

    /// Delivers a grant request of a peer, which waits since it makes this instance coordinator.
    fn receive_grant_request_of_peer(&mut self) {
        let peer = self.peers()[0].clone();
        let is_waiting = SERVICES.into_iter().any(|service| {
            let grant_request = self.grant_request_of_peer(service);
            !has_grant(&self.receive(&peer, PeerMessage::GrantRequest(grant_request)))
        });
        assert!(is_waiting);
    }

    fn grant_request_of_peer(&self, service: &str) -> GrantRequest {
        GrantRequest {
            customer: "home-care-umea".into(),
            excluded: Vec::new(),
            fingerprint: 1,
            max_output_tokens: 10,
            prefix_hashes: Vec::new(),
            prompt_tokens: 10,
            request: RequestId { instance: self.peers()[0].clone(), incarnation: 2, sequence: 1 },
            service: service.into(),
            tier_rank: 1,
            time_left_ms: 60_000,
        }
    }

    fn claim(&self) -> KeyClaim {
        let view = bergamotspan::view::View::from_inventory(&self.inventory, OWN_NAME.into());
        let minted_ms = self.now.wall_clock_ms;
        let mut keys = (0..).map(|number| uuid_minted(minted_ms, number));
        KeyClaim {
            fingerprint: 1,
            key: keys.find(|key| *view.home(key) == *OWN_NAME).unwrap(),
            list_version: self.inventory.instances_version,
            request: RequestId { instance: self.peers()[0].clone(), incarnation: 2, sequence: 1 },
            tier_rank: 1,
        }
    }

    fn claim_key(&mut self) -> Option<KeyVerdict> {
        let (peer, claim) = (self.peers()[0].clone(), self.claim());
        let effects = self.receive(&peer, PeerMessage::KeyClaim(claim));
        effects.into_iter().find_map(|effect| match effect {
            Effect::SendPeer { message: PeerMessage::KeyVerdict { verdict, .. }, .. } => {
                Some(verdict)
            }
            _ => None,
        })
    }
}

fn uuid_minted(wall_clock_ms: u64, number: u16) -> Name {
    let high = wall_clock_ms >> 16;
    let low = wall_clock_ms & 0xffff;
    format!("{high:08x}-{low:04x}-7000-8000-00000000{number:04x}").into()
}

fn grant_requests(effects: &[Effect]) -> Vec<(Name, GrantRequest)> {
    let grant_request = |effect: &Effect| match effect {
        Effect::SendPeer { message: PeerMessage::GrantRequest(grant_request), to } => {
            Some((to.clone(), grant_request.clone()))
        }
        _ => None,
    };
    effects.iter().filter_map(grant_request).collect()
}

fn grant_for(given: &Given, grant_request: &GrantRequest) -> PeerMessage {
    let of_service =
        |server: &&bergamotspan::inventory::BackendServer| server.service == grant_request.service;
    let server = given.inventory.backend_servers.iter().find(of_service).unwrap();
    PeerMessage::Grant(Grant {
        backend_server: server.name.clone(),
        expires_in_ms: 1_000,
        request: grant_request.request.clone(),
    })
}

fn has_dispatch(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Dispatch(_)))
}

fn has_grant(effects: &[Effect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::SendPeer { message: PeerMessage::Grant(_), .. }))
}

#[test]
fn without_a_pause_a_grant_dispatches() {
    let mut given = Given::arrange();
    let (coordinator, grant_request) = given.send_request();

    let effects = given.receive(&coordinator, grant_for(&given, &grant_request));

    assert!(has_dispatch(&effects), "{effects:?}");
}

#[test]
fn a_grant_from_before_a_pause_dispatches_nothing() {
    let mut given = Given::arrange();
    let (coordinator, grant_request) = given.send_request();

    given.advance(PAUSE_MS);
    let effects = given.receive(&coordinator, grant_for(&given, &grant_request));

    assert!(!has_dispatch(&effects), "{effects:?}");
    assert!(!given.core.is_ready());
}

#[test]
fn a_request_that_waited_during_a_pause_requests_a_grant_again_and_runs() {
    let mut given = Given::arrange();
    let (_, grant_request) = given.send_request();
    given.advance(PAUSE_MS);
    given.decide(Event::Tick);

    given.links_come_up();
    let effects = given.run_rounds(2);
    let again = grant_requests(&effects)
        .into_iter()
        .rfind(|(_, again)| again.request == grant_request.request);
    let (coordinator, again) = again.expect("a grant is requested again");
    let effects = given.receive(&coordinator, grant_for(&given, &again));

    assert!(given.core.is_ready());
    assert!(has_dispatch(&effects), "{effects:?}");
}

#[test]
fn messages_of_old_links_are_dropped_after_a_pause() {
    let mut given = Given::arrange();
    given.advance(PAUSE_MS);

    given.run_rounds(2);

    let live_count = |given: &Given| {
        let page = given.core.status(given.now);
        let is_live = |peer: &&bergamotspan::status_report::PeerStatus| {
            peer.state == bergamotspan::status_report::PeerState::Live
        };
        page.peers.iter().filter(is_live).count()
    };
    assert_eq!(live_count(&given), 0);
    given.links_come_up();
    given.run_rounds(2);
    assert_eq!(live_count(&given), given.peers().len());
}

#[test]
fn a_coordinator_grants_nothing_on_requests_from_before_a_pause() {
    let mut given = Given::arrange();
    given.receive_grant_request_of_peer();

    given.advance(PAUSE_MS);
    let mut effects = given.decide(Event::Tick);
    given.advance(ROUND_MS);
    effects.extend(given.decide(Event::Tick));

    assert!(!has_grant(&effects), "{effects:?}");
}

#[test]
fn without_a_pause_a_coordinator_grants() {
    let mut given = Given::arrange();
    given.receive_grant_request_of_peer();

    let effects = given.run_rounds(2);

    assert!(has_grant(&effects), "{effects:?}");
}

#[test]
fn a_key_home_grants_before_a_pause_and_not_right_after() {
    let mut given = Given::arrange();
    given.advance(ROUND_MS);
    assert_eq!(given.claim_key(), Some(KeyVerdict::Granted));

    given.advance(PAUSE_MS);
    assert_eq!(given.claim_key(), None, "a claim on an old link");
    given.links_come_up();

    for _ in 0..4 {
        given.run_rounds(1);
        let verdict = given.claim_key();
        assert!(matches!(verdict, Some(KeyVerdict::Refused { .. })), "{verdict:?}");
    }
}

#[test]
fn a_scheduler_for_a_peer_that_saw_fewer_instances_ends_once_it_is_idle() {
    let mut given = Given::arrange();
    let coordinated = |given: &Given| {
        let page = given.core.status(given.now);
        page.schedulers.into_iter().map(|scheduler| scheduler.service).collect::<Vec<_>>()
    };
    let before = coordinated(&given);
    let peer = given.peers()[0].clone();
    let is_foreign = |service: &&str| !before.iter().any(|found| found == *service);
    let service = SERVICES.into_iter().find(is_foreign).unwrap();
    let grant_request = given.grant_request_of_peer(service);
    let request = grant_request.request.clone();

    given.receive(&peer, PeerMessage::GrantRequest(grant_request));
    assert!(coordinated(&given).len() > before.len());
    given.receive(&peer, PeerMessage::Withdraw { request, service: service.into() });
    given.run_rounds(SETTLE_ROUNDS);

    assert_eq!(coordinated(&given), before);
}
