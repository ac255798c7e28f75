//! Tests of joins in the decision core: which request a caller is joined to.
//!
//! Sequence numbers start again with each incarnation, so a message that answers an earlier
//! incarnation can carry the sequence of a current join.

use std::sync::Arc;

use bergamotspan::build_core::build_core;
use bergamotspan::config_event::ConfigDocument;
use bergamotspan::core::Core;
use bergamotspan::effect::Effect;
use bergamotspan::event::Event;
use bergamotspan::final_answer::Outcome;
use bergamotspan::inventory::Inventory;
use bergamotspan::name::Name;
use bergamotspan::now::Now;
use bergamotspan::parse_inventory::parse_inventory;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::peer_message::PeerMessage;
use bergamotspan::request_id::RequestId;
use bergamotspan::view::View;

const INCARNATION: u64 = 9;
const SEQUENCE: u64 = 7;
const SETTINGS: &str = "[instance]\nname = entry-1\ndata_centre = dc-a\n\
    [caller]\nlisten_address = 127.0.0.1:0\n[peer]\nlisten_address = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n";

/// The core of entry-1 in a fleet of three.
struct Given {
    core: Core,
    inventory: Arc<Inventory>,
}

impl Given {
    fn new() -> Self {
        let mut text = String::from("[inventory]\nversion = 1\ninstances_version = 1\n");
        text.push_str("[data_centre dc-a]\n");
        for number in 1..=3 {
            text.push_str(&format!(
                "[instance entry-{number}]\ndata_centre = dc-a\n\
                 caller_address = 127.0.0.{number}:80\npeer_address = 127.0.0.{number}:81\n"
            ));
        }
        text.push_str("[service desk]\nkind = plain\n");
        text.push_str(
            "[backend_server desk-1]\nservice = desk\ndata_centre = dc-a\n\
             address = 127.0.0.9:80\nprefill_tokens_per_s = 1000\ntoken_limit_tokens = 1000\n",
        );
        text.push_str(
            "[tier high]\nrank = 0\ndeadline_ms = 1000\nfirst_token_ms = 500\n\
             between_tokens_ms = 100\n",
        );
        text.push_str("[customer customer-1]\nweight = 1\ntier = high\n");
        let inventory = Arc::new(parse_inventory("inventory", &text).unwrap());
        let settings = Arc::new(parse_settings("settings", SETTINGS).unwrap());
        let core = build_core(settings, INCARNATION, at(0));
        let mut given = Self { core, inventory: inventory.clone() };
        let document = ConfigDocument { text: text.into(), version: 1 };
        given.decide(0, Event::DocumentRead { document, parsed: Ok(inventory), peer: None });
        given
    }

    fn decide(&mut self, monotonic_ms: u64, event: Event) -> Vec<Effect> {
        self.core.decide(at(monotonic_ms), event)
    }

    /// Returns a key whose home is entry-2.
    fn key(&self, number: usize) -> Name {
        let view = View::from_inventory(&self.inventory, "entry-1".into());
        let keys = (0..).map(|number| Name::from(format!("key-{number}")));
        keys.filter(|key| &*view.home(key) == "entry-2").nth(number).unwrap()
    }

    fn join(&mut self, key: &Name) -> Vec<Effect> {
        let event = Event::JoinRequested { holder: None, key: key.clone(), sequence: SEQUENCE };
        self.decide(1, event)
    }

    fn receive_holder(&mut self, at_ms: u64, key: &Name, holder: RequestId) -> Vec<Effect> {
        let message =
            PeerMessage::KeyHolder { holder: Some(holder), key: key.clone(), sequence: SEQUENCE };
        let event = Event::PeerMessage { incarnation: 1, message, peer: "entry-2".into() };
        self.decide(at_ms, event)
    }
}

fn at(monotonic_ms: u64) -> Now {
    Now { monotonic_ms, wall_clock_ms: monotonic_ms }
}

fn holder(instance: &str, incarnation: u64) -> RequestId {
    RequestId { instance: instance.into(), incarnation, sequence: 3 }
}

fn outcomes(effects: &[Effect]) -> Vec<Outcome> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Answer { answer, .. } => Some(answer.outcome),
            _ => None,
        })
        .collect()
}

#[test]
fn a_join_goes_to_the_request_that_the_home_names() {
    let mut given = Given::new();
    let key = given.key(0);

    let queried = given.join(&key);
    let joined = given.receive_holder(2, &key, holder("entry-3", 5));

    let query = PeerMessage::KeyQuery { key: key.clone(), sequence: SEQUENCE };
    assert_eq!(queried, [Effect::SendPeer { message: query, to: "entry-2".into() }]);
    let address = "127.0.0.3:80".parse().unwrap();
    let holder = "entry-3-5-3".into();
    assert_eq!(joined, [Effect::JoinPeer { address, holder, key, sequence: SEQUENCE }]);
}

#[test]
fn a_holder_message_for_an_earlier_incarnation_is_ignored() {
    let mut given = Given::new();
    let (key, earlier_key) = (given.key(0), given.key(1));

    let before = given.receive_holder(1, &earlier_key, holder("entry-3", 5));
    given.join(&key);
    let crossed = given.receive_holder(2, &earlier_key, holder("entry-3", 5));

    assert_eq!(before, []);
    assert_eq!(crossed, []);
}

#[test]
fn a_repeated_or_late_holder_message_is_ignored() {
    let mut given = Given::new();
    let key = given.key(0);
    given.join(&key);
    given.receive_holder(2, &key, holder("entry-3", 5));

    let twice = given.receive_holder(3, &key, holder("entry-3", 5));
    given.join(&key);
    given.decide(10_000, Event::Tick);
    let late = given.receive_holder(10_001, &key, holder("entry-3", 5));

    assert_eq!(twice, []);
    assert_eq!(late, []);
}

#[test]
fn a_join_of_a_request_of_an_earlier_incarnation_is_unknown() {
    let mut given = Given::new();
    let key = given.key(0);

    given.join(&key);
    let own = given.receive_holder(2, &key, holder("entry-1", INCARNATION - 1));
    let holder = Some("entry-1-8-3".into());
    let named = given.decide(3, Event::JoinRequested { holder, key, sequence: SEQUENCE });

    assert_eq!(outcomes(&own), [Outcome::Unknown]);
    assert_eq!(outcomes(&named), [Outcome::Unknown]);
}
