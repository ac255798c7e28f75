//! Tests of the adoption of published configuration: the version in force never falls, whatever the
//! platform and the peers serve, and in which order.

use std::sync::Arc;

use bergamotspan::config_adoption::{ConfigAdoption, FETCH_RETRY_MS, READY_LIMIT_MS};
use bergamotspan::config_event::{ConfigDocument, ConfigEffect, ConfigEvent, ConfigSource};
use bergamotspan::finding::Finding;
use bergamotspan::inventory::{Instance, Inventory};
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use proptest::prelude::*;

const START_MS: u64 = 1_000;

fn at(monotonic_ms: u64) -> Now {
    Now { monotonic_ms, wall_clock_ms: 0 }
}

fn instance(name: &str) -> Instance {
    let address = "127.0.0.1:1".parse().unwrap();
    Instance {
        caller_address: address,
        data_centre: "umea-a".into(),
        name: name.into(),
        peer_address: address,
    }
}

fn inventory(version: u64) -> Arc<Inventory> {
    let instances = vec![instance("entry-1"), instance("entry-2"), instance("entry-3")];
    Arc::new(Inventory { instances, version, ..Inventory::default() })
}

fn document(version: u64, text: &str) -> ConfigDocument {
    ConfigDocument { text: text.into(), version }
}

fn finding(file: &str, message: &str) -> Finding {
    Finding { file: file.into(), line: 0, message: message.into() }
}

fn adopt(version: u64) -> ConfigEffect {
    ConfigEffect::Adopt { inventory: inventory(version) }
}

fn fetch_from(peer: &str) -> ConfigEffect {
    ConfigEffect::FetchFrom { peer: peer.into() }
}

fn refused(version: u64, findings: Vec<Finding>) -> ConfigEffect {
    ConfigEffect::Refused { findings, version }
}

/// Drives the adoption at entry-1.
struct Given {
    adoption: ConfigAdoption,
    now_ms: u64,
}

impl Given {
    fn new() -> Self {
        Self { adoption: ConfigAdoption::new("entry-1".into()), now_ms: START_MS }
    }

    fn with_version(version: u64) -> Self {
        let mut given = Self::new();
        assert_eq!(given.read_platform(version, "text"), [adopt(version)]);
        given
    }

    fn after(mut self, wait_ms: u64) -> Self {
        self.now_ms += wait_ms;
        self
    }

    fn decide(&mut self, event: ConfigEvent) -> Vec<ConfigEffect> {
        self.adoption.decide(at(self.now_ms), event)
    }

    fn peer_down(&mut self, peer: &str) -> Vec<ConfigEffect> {
        self.decide(ConfigEvent::PeerDown { peer: peer.into() })
    }

    fn is_ready(&mut self) -> bool {
        self.decide(ConfigEvent::Tick);
        self.adoption.is_ready()
    }

    fn peer_version(&mut self, peer: &str, version: u64) -> Vec<ConfigEffect> {
        self.decide(ConfigEvent::PeerVersion { peer: peer.into(), version })
    }

    fn read_platform(&mut self, version: u64, text: &str) -> Vec<ConfigEffect> {
        self.read(ConfigSource::Platform, version, text, Ok(inventory(version)))
    }

    fn read(
        &mut self,
        source: ConfigSource,
        version: u64,
        text: &str,
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
    ) -> Vec<ConfigEffect> {
        let document = document(version, text);
        self.decide(ConfigEvent::DocumentRead { document, parsed, source })
    }
}

#[test]
fn the_first_document_is_adopted_and_served() {
    let given = Given::with_version(7);

    assert_eq!(given.adoption.version(), 7);
    assert_eq!(given.adoption.inventory(), Some(&inventory(7)));
    assert_eq!(given.adoption.document_after(6), Some(&document(7, "text")));
    assert_eq!(given.adoption.document_after(7), None);
}

#[test]
fn an_older_document_is_ignored() {
    let mut given = Given::with_version(7);

    assert_eq!(given.read_platform(6, "old"), []);
    assert_eq!(given.adoption.version(), 7);
}

#[test]
fn the_same_document_again_is_ignored() {
    let mut given = Given::with_version(7);

    assert_eq!(given.read_platform(7, "text"), []);
    assert!(given.adoption.findings().is_empty());
}

#[test]
fn one_version_with_two_texts_is_a_finding_that_is_reported_once() {
    let mut given = Given::with_version(7);
    let twice = finding("platform", "version 7 was published twice with different texts");

    assert_eq!(given.read_platform(7, "other"), [refused(7, vec![twice.clone()])]);
    assert_eq!(given.read_platform(7, "other"), []);
    assert_eq!(given.adoption.findings(), [twice]);
    assert_eq!(given.adoption.document_after(0), Some(&document(7, "text")));
}

#[test]
fn an_invalid_document_is_refused_whole_and_reported_once() {
    let mut given = Given::with_version(7);
    let wrong = vec![finding("platform", "no tier 'urgent'")];
    let invalid = Err(wrong.clone());

    let first = given.read(ConfigSource::Platform, 8, "bad", invalid.clone());
    let again = given.read(ConfigSource::Platform, 8, "bad", invalid);

    assert_eq!(first, [refused(8, wrong.clone())]);
    assert_eq!(again, []);
    assert_eq!(given.adoption.version(), 7);
    assert_eq!(given.adoption.findings(), wrong);
}

#[test]
fn a_newer_document_clears_the_findings() {
    let mut given = Given::with_version(7);
    given.read(ConfigSource::Platform, 8, "bad", Err(vec![finding("platform", "wrong")]));

    assert_eq!(given.read_platform(9, "good"), [adopt(9)]);
    assert!(given.adoption.findings().is_empty());
}

#[test]
fn a_text_of_another_version_is_refused() {
    let mut given = Given::with_version(7);
    let message = "version 9 states version 8 in its text";

    let effects = given.read(ConfigSource::Peer("entry-2".into()), 9, "text", Ok(inventory(8)));

    assert_eq!(effects, [refused(9, vec![finding("entry-2", message)])]);
}

#[test]
fn a_newer_version_is_fetched_from_the_peer_that_has_it() {
    let mut given = Given::with_version(7);

    assert_eq!(given.peer_version("entry-2", 8), [fetch_from("entry-2")]);
    assert_eq!(given.peer_version("entry-2", 8), []);
    let peer = ConfigSource::Peer("entry-2".into());
    assert_eq!(given.read(peer, 8, "new", Ok(inventory(8))), [adopt(8)]);
    let mut given = given.after(FETCH_RETRY_MS);
    assert_eq!(given.decide(ConfigEvent::Tick), []);
}

#[test]
fn an_instance_without_a_document_fetches_one() {
    let mut given = Given::new();

    assert_eq!(given.decide(ConfigEvent::PlatformUnreachable), []);
    assert_eq!(given.peer_version("entry-2", 8), [fetch_from("entry-2")]);
    assert!(!given.adoption.is_platform_reachable());
}

#[test]
fn a_document_that_does_not_arrive_is_requested_from_another_peer() {
    let mut given = Given::with_version(7);
    given.peer_version("entry-2", 8);
    given.peer_version("entry-3", 8);

    let mut given = given.after(FETCH_RETRY_MS - 1);
    assert_eq!(given.decide(ConfigEvent::Tick), []);
    let mut given = given.after(1);
    assert_eq!(given.decide(ConfigEvent::Tick), [fetch_from("entry-3")]);
    let mut given = given.after(FETCH_RETRY_MS);
    assert_eq!(given.decide(ConfigEvent::Tick), [fetch_from("entry-2")]);
}

#[test]
fn a_fetch_from_a_lost_peer_moves_to_another_at_once() {
    let mut given = Given::with_version(7);
    given.peer_version("entry-2", 8);
    given.peer_version("entry-3", 8);

    assert_eq!(given.peer_down("entry-2"), [fetch_from("entry-3")]);
    assert_eq!(given.peer_down("entry-3"), []);
}

#[test]
fn a_version_that_was_refused_from_a_peer_is_not_fetched_again() {
    let mut given = Given::with_version(7);
    let wrong = || Err(vec![finding("entry-2", "wrong")]);
    given.read(ConfigSource::Platform, 8, "bad", wrong());
    assert_eq!(given.peer_version("entry-2", 8), [fetch_from("entry-2")]);

    let peer = ConfigSource::Peer("entry-2".into());
    assert_eq!(given.read(peer, 8, "bad", wrong()), []);

    let mut given = given.after(FETCH_RETRY_MS);
    assert_eq!(given.decide(ConfigEvent::Tick), []);
    assert_eq!(given.read(ConfigSource::Platform, 8, "bad", wrong()), []);
    assert_eq!(given.peer_version("entry-2", 9), [fetch_from("entry-2")]);
}

#[test]
fn a_refused_version_does_not_block_a_lower_one_of_a_peer() {
    let mut given = Given::with_version(7);
    let wrong = Err(vec![finding("platform", "wrong")]);
    given.read(ConfigSource::Platform, 9_999, "bad", wrong);

    assert_eq!(given.peer_version("entry-2", 8), [fetch_from("entry-2")]);
}

#[test]
fn a_version_refused_from_the_platform_is_adopted_from_a_peer_that_has_a_valid_text() {
    let mut given = Given::with_version(7);
    given.read(ConfigSource::Platform, 8, "bad", Err(vec![finding("platform", "wrong")]));

    assert_eq!(given.peer_version("entry-2", 8), [fetch_from("entry-2")]);
    let peer = ConfigSource::Peer("entry-2".into());
    assert_eq!(given.read(peer, 8, "good", Ok(inventory(8))), [adopt(8)]);
}

#[test]
fn an_instance_is_ready_once_all_others_reported_their_versions() {
    let mut given = Given::with_version(7);
    assert!(!given.is_ready());

    given.peer_version("entry-2", 7);
    assert!(!given.is_ready());
    given.peer_version("entry-3", 0);

    assert!(given.is_ready());
}

#[test]
fn an_instance_is_not_ready_while_a_newer_version_is_fetched() {
    let mut given = Given::with_version(7);
    given.peer_version("entry-2", 8);
    given.peer_version("entry-3", 7);
    assert!(!given.is_ready());

    given.read(ConfigSource::Peer("entry-2".into()), 8, "new", Ok(inventory(8)));

    assert!(given.is_ready());
}

#[test]
fn an_instance_whose_peers_are_silent_is_ready_after_a_bounded_time() {
    let mut given = Given::new().after(READY_LIMIT_MS);
    given.read_platform(7, "text");
    let mut given = given.after(READY_LIMIT_MS - 1);
    assert!(!given.is_ready());

    assert!(given.after(1).is_ready());
}

#[test]
fn a_ready_instance_stays_ready() {
    let mut given = Given::with_version(7);
    given.peer_version("entry-2", 7);
    given.peer_version("entry-3", 7);
    assert!(given.is_ready());

    given.peer_down("entry-2");
    given.peer_version("entry-3", 8);

    assert!(given.is_ready());
}

#[test]
fn an_instance_without_a_document_is_never_ready() {
    assert!(!Given::new().after(10 * READY_LIMIT_MS).is_ready());
}

#[test]
fn a_read_makes_the_platform_reachable_again() {
    let mut given = Given::with_version(7);
    given.decide(ConfigEvent::PlatformUnreachable);
    assert!(!given.adoption.is_platform_reachable());

    given.read_platform(7, "text");

    assert!(given.adoption.is_platform_reachable());
}

fn events() -> impl Strategy<Value = ConfigEvent> {
    let peers = || "entry-[2-4]".prop_map(Name::from);
    let sources = prop_oneof![Just(ConfigSource::Platform), peers().prop_map(ConfigSource::Peer)];
    prop_oneof![
        (sources, 1..9_u64, "[ab]", 0..4_u8).prop_map(|(source, version, text, kind)| {
            let parsed = match kind {
                0 => Err(vec![finding("platform", "wrong")]),
                _ => Ok(inventory(version)),
            };
            ConfigEvent::DocumentRead { document: document(version, &text), parsed, source }
        }),
        (peers(), 0..9_u64).prop_map(|(peer, version)| ConfigEvent::PeerVersion { peer, version }),
        peers().prop_map(|peer| ConfigEvent::PeerDown { peer }),
        Just(ConfigEvent::PlatformUnreachable),
        Just(ConfigEvent::Tick),
    ]
}

proptest! {
    #[test]
    fn the_version_in_force_only_rises(
        steps in prop::collection::vec((events(), 0..700_u64), 0..100),
    ) {
        let mut given = Given::new();
        let mut adopted = Vec::new();
        for (event, wait_ms) in steps {
            given.now_ms += wait_ms;
            let before = given.adoption.document_after(0).cloned();
            let effects = given.decide(event);
            for effect in &effects {
                if let ConfigEffect::Adopt { inventory } = effect {
                    adopted.push(inventory.version);
                }
            }
            if given.adoption.version() == before.as_ref().map_or(0, |before| before.version) {
                prop_assert_eq!(given.adoption.document_after(0), before.as_ref());
            }
        }
        prop_assert!(adopted.is_sorted_by(|earlier, later| earlier < later));
        prop_assert_eq!(adopted.last().copied().unwrap_or(0), given.adoption.version());
    }
}
