//! Tests of the links between instances, over real sockets.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotspan::error::Error;
use bergamotspan::name::Name;
use bergamotspan::peer_codec::{decode, encode};
use bergamotspan::peer_event::{PeerEvent, PeerSink};
use bergamotspan::peer_hello::Hello;
use bergamotspan::peer_links::PeerLinks;
use bergamotspan::peer_links_settings::PeerLinksSettings;
use bergamotspan::peer_message::PeerMessage;
use tokio_tungstenite::tungstenite::{Message, WebSocket, accept, client};

const HEARTBEAT_INTERVAL_MS: u64 = 100;
const LONG_HEARTBEAT_INTERVAL_MS: u64 = 20_000;
const WAIT_LIMIT: Duration = Duration::from_secs(10);

struct ChannelSink(flume::Sender<PeerEvent>);

impl PeerSink for ChannelSink {
    fn deliver(&self, event: PeerEvent) {
        let _ = self.0.send(event);
    }
}

/// The links of one instance under test, and their events.
struct Peer {
    events: flume::Receiver<PeerEvent>,
    links: PeerLinks,
    name: Name,
}

impl Peer {
    fn start(name: &str, settings: PeerLinksSettings) -> Self {
        let (sender, events) = flume::unbounded();
        let links = PeerLinks::start(settings, Arc::new(ChannelSink(sender))).unwrap();
        Self { events, links, name: name.into() }
    }

    fn address(&self) -> SocketAddr {
        self.links.listen_address()
    }

    fn set_peers(&self, others: &[&Peer]) {
        let peers = others.iter().map(|peer| (peer.name.clone(), peer.address())).collect();
        self.links.set_peers(peers);
    }

    fn next_event(&self) -> PeerEvent {
        self.events.recv_timeout(WAIT_LIMIT).expect("an event arrives")
    }

    /// Receives events up to the next `Up`, and checks that versions rise and that no message
    /// follows `Down`.
    fn wait_for_next_link(&self, peer: &Name) {
        let mut last_version = None;
        loop {
            match self.next_event() {
                PeerEvent::Message {
                    message: PeerMessage::ConfigFetch { have_version }, ..
                } => {
                    assert!(last_version < Some(have_version));
                    last_version = Some(have_version);
                }
                event => {
                    assert_eq!(event, down(peer));
                    assert_eq!(self.next_event(), up(peer, 7));
                    return;
                }
            }
        }
    }

    fn wait_for(&self, wanted: &PeerEvent) {
        let limit = Instant::now() + WAIT_LIMIT;
        while Instant::now() < limit {
            if self.next_event() == *wanted {
                return;
            }
        }
        panic!("no {wanted:?}");
    }
}

fn settings(name: &str, ip: &str) -> PeerLinksSettings {
    PeerLinksSettings::builder(name.into(), 7)
        .heartbeat_interval_ms(LONG_HEARTBEAT_INTERVAL_MS)
        .listen_address(format!("{ip}:0").parse().unwrap())
        .build()
}

fn short_heartbeat_settings(name: &str) -> PeerLinksSettings {
    PeerLinksSettings {
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        ..settings(name, "127.0.0.1")
    }
}

fn linked_pair(ips: [&str; 2]) -> (Peer, Peer) {
    let first = Peer::start("entry-1", settings("entry-1", ips[0]));
    let second = Peer::start("entry-2", settings("entry-2", ips[1]));
    second.set_peers(&[&first]);
    first.set_peers(&[&second]);
    assert_eq!(first.next_event(), up("entry-2", 7));
    assert_eq!(second.next_event(), up("entry-1", 7));
    (first, second)
}

fn up(peer: &str, incarnation: u64) -> PeerEvent {
    PeerEvent::Up { incarnation, key_seals: true, peer: peer.into() }
}

fn down(peer: &str) -> PeerEvent {
    PeerEvent::Down { peer: peer.into() }
}

fn fetch(have_version: u64) -> PeerMessage {
    PeerMessage::ConfigFetch { have_version }
}

fn message(peer: &str, incarnation: u64, have_version: u64) -> PeerEvent {
    PeerEvent::Message { incarnation, message: fetch(have_version), peer: peer.into() }
}

/// An opener whose WebSocket the test drives itself.
struct RawOpener(WebSocket<TcpStream>);

impl RawOpener {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        Self(client(format!("ws://{address}/"), stream).unwrap().0)
    }

    fn hello(&mut self, name: &str, link_sequence: u64) -> Option<Hello> {
        let hello = Hello { incarnation: 9, key_seals: true, link_sequence, name: name.into() };
        self.write(encode("entry-2", &hello).unwrap());
        let answer = self.0.read().ok()?;
        decode("entry-2", &answer.into_data()).ok()
    }

    fn write(&mut self, bytes: Vec<u8>) {
        self.0.send(Message::binary(bytes)).unwrap();
    }

    fn send(&mut self, have_version: u64) {
        self.write(encode("entry-2", &fetch(have_version)).unwrap());
    }

    fn is_closed(&mut self) -> bool {
        loop {
            match self.0.read() {
                Err(_) | Ok(Message::Close(_)) => return true,
                Ok(_) => {}
            }
        }
    }
}

fn acceptor(name: &str) -> Peer {
    let peer = Peer::start(name, settings(name, "127.0.0.1"));
    peer.links.set_peers(vec![("entry-1".into(), "127.0.0.1:1".parse().unwrap())]);
    peer
}

#[test]
fn messages_arrive_in_order_both_ways() {
    let (first, second) = linked_pair(["127.0.0.1", "127.0.0.1"]);

    for version in 0..100 {
        first.links.send(&second.name, fetch(version));
        second.links.send(&first.name, fetch(version));
    }

    for version in 0..100 {
        assert_eq!(first.next_event(), message("entry-2", 7, version));
        assert_eq!(second.next_event(), message("entry-1", 7, version));
    }
    assert_eq!(first.links.traffic().sent_bytes, second.links.traffic().received_bytes);
    assert!(first.links.traffic().received_bytes > 0);
}

#[test]
fn an_opener_connects_from_the_ip_it_listens_on() {
    let listener = TcpListener::bind("127.0.0.9:0").unwrap();
    let first = Peer::start("entry-1", settings("entry-1", "127.0.0.8"));

    first.links.set_peers(vec![("entry-2".into(), listener.local_addr().unwrap())]);

    let (_, source) = listener.accept().unwrap();
    assert_eq!(source.ip().to_string(), "127.0.0.8");
}

#[test]
fn a_closed_link_is_reopened() {
    let (first, second) = linked_pair(["127.0.0.1", "127.0.0.1"]);

    first.links.close(&second.name);

    assert_eq!(first.next_event(), down("entry-2"));
    assert_eq!(first.next_event(), up("entry-2", 7));
    assert_eq!(second.next_event(), down("entry-1"));
    assert_eq!(second.next_event(), up("entry-1", 7));
}

#[test]
fn the_link_to_a_peer_that_is_no_longer_listed_is_closed() {
    let (first, second) = linked_pair(["127.0.0.1", "127.0.0.1"]);

    first.links.set_peers(Vec::new());

    assert_eq!(first.next_event(), down("entry-2"));
    assert_eq!(second.next_event(), down("entry-1"));
}

#[test]
fn a_peer_with_a_new_address_is_linked_there() {
    let (first, second) = linked_pair(["127.0.0.1", "127.0.0.1"]);
    let moved = Peer::start("entry-2", settings("entry-2", "127.0.0.2"));
    moved.set_peers(&[&first]);

    first.set_peers(&[&moved]);

    assert_eq!(first.next_event(), down("entry-2"));
    assert_eq!(first.next_event(), up("entry-2", 7));
    assert_eq!(moved.next_event(), up("entry-1", 7));
    assert_eq!(second.next_event(), down("entry-1"));
}

#[test]
fn a_link_to_a_peer_that_starts_late_is_retried() {
    let first = Peer::start("entry-1", settings("entry-1", "127.0.0.1"));
    let reserved = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = reserved.local_addr().unwrap();
    drop(reserved);
    first.links.set_peers(vec![("entry-2".into(), address)]);

    let late = PeerLinksSettings { listen_address: address, ..settings("entry-2", "127.0.0.1") };
    let second = Peer::start("entry-2", late);
    second.set_peers(&[&first]);

    assert_eq!(first.next_event(), up("entry-2", 7));
}

#[test]
fn an_idle_link_stays_open() {
    let first = Peer::start("entry-1", short_heartbeat_settings("entry-1"));
    let second = Peer::start("entry-2", short_heartbeat_settings("entry-2"));
    second.set_peers(&[&first]);
    first.set_peers(&[&second]);
    first.wait_for(&up("entry-2", 7));

    let event = first.events.recv_timeout(Duration::from_millis(10 * HEARTBEAT_INTERVAL_MS));

    assert_eq!(event, Err(flume::RecvTimeoutError::Timeout));
}

#[test]
fn an_accepted_link_that_goes_silent_is_closed_and_can_be_reopened() {
    let peer = Peer::start("entry-5", short_heartbeat_settings("entry-5"));

    for link_sequence in 1..3 {
        let mut silent = RawOpener::connect(peer.address());
        silent.hello("entry-1", link_sequence);

        assert_eq!(peer.next_event(), up("entry-1", 9));
        assert_eq!(peer.next_event(), down("entry-1"));
    }
}

#[test]
fn an_opener_without_a_hello_from_its_peer_retries() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = Peer::start("entry-1", settings("entry-1", "127.0.0.1"));
    first.links.set_peers(vec![("entry-2".into(), listener.local_addr().unwrap())]);

    let _silent = listener.accept().unwrap();
    let _again = listener.accept().unwrap();

    assert!(first.events.is_empty());
}

#[test]
fn an_opened_link_that_goes_silent_is_reopened_while_its_connection_stays_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = Peer::start("entry-1", short_heartbeat_settings("entry-1"));
    first.links.set_peers(vec![("entry-2".into(), listener.local_addr().unwrap())]);

    let mut held = Vec::new();
    for _ in 0..2 {
        let mut socket = accept(listener.accept().unwrap().0).unwrap();
        let hello: Hello = decode("entry-1", &socket.read().unwrap().into_data()).unwrap();
        let answer = Hello { incarnation: 3, name: "entry-2".into(), ..hello };
        socket.send(Message::binary(encode("entry-1", &answer).unwrap())).unwrap();
        assert_eq!(first.next_event(), up("entry-2", 3));
        assert_eq!(first.next_event(), down("entry-2"));
        held.push(socket);
    }
}

#[test]
fn events_of_a_peer_keep_their_order_over_many_links() {
    let (first, second) = linked_pair(["127.0.0.1", "127.0.0.1"]);

    for version in 0..400 {
        second.links.send(&first.name, fetch(version));
        if version % 40 == 39 {
            first.links.close(&second.name);
            first.wait_for_next_link(&second.name);
        }
    }
}

#[test]
fn a_full_queue_closes_the_link() {
    let limited = PeerLinksSettings { queue_limit_messages: 2, ..settings("entry-2", "127.0.0.1") };
    let second = Peer::start("entry-2", limited);
    second.links.set_peers(vec![("entry-1".into(), "127.0.0.1:1".parse().unwrap())]);
    let mut opener = RawOpener::connect(second.address());
    opener.hello("entry-1", 1).unwrap();
    assert_eq!(second.next_event(), up("entry-1", 9));

    let text = "a".repeat(1024 * 1024);
    for version in 0..64 {
        let message = PeerMessage::ConfigDocument { text: text.clone(), version };
        second.links.send(&"entry-1".into(), message);
    }

    assert_eq!(second.next_event(), down("entry-1"));
}

#[test]
fn a_newer_link_replaces_an_older_one_whose_messages_are_dropped() {
    let second = acceptor("entry-2");
    let mut older = RawOpener::connect(second.address());
    older.hello("entry-1", 1).unwrap();
    assert_eq!(second.next_event(), up("entry-1", 9));

    let mut newer = RawOpener::connect(second.address());
    let answer = newer.hello("entry-1", 2).unwrap();
    let _ = older.0.send(Message::binary(encode("entry-2", &fetch(1)).unwrap()));
    newer.send(2);

    assert_eq!(
        answer,
        Hello { incarnation: 7, key_seals: true, link_sequence: 2, name: "entry-2".into() }
    );
    assert_eq!(second.next_event(), down("entry-1"));
    assert_eq!(second.next_event(), up("entry-1", 9));
    assert_eq!(second.next_event(), message("entry-1", 9, 2));
    assert!(older.is_closed());
}

#[test]
fn an_older_link_that_arrives_late_is_refused() {
    let second = acceptor("entry-2");
    let mut newer = RawOpener::connect(second.address());
    newer.hello("entry-1", 2).unwrap();
    let mut older = RawOpener::connect(second.address());
    older.hello("entry-1", 1);

    assert!(older.is_closed());
    newer.send(3);

    assert_eq!(second.next_event(), up("entry-1", 9));
    assert_eq!(second.next_event(), message("entry-1", 9, 3));
}

#[test]
fn an_instance_that_is_not_listed_is_refused() {
    let second = acceptor("entry-2");
    let mut opener = RawOpener::connect(second.address());

    assert_eq!(opener.hello("entry-0", 1), None);
    assert!(second.events.is_empty());
}

#[test]
fn an_instance_without_a_list_accepts_all_links_and_closes_unlisted_ones_later() {
    let second = Peer::start("entry-2", settings("entry-2", "127.0.0.1"));
    let mut listed = RawOpener::connect(second.address());
    listed.hello("entry-1", 1).unwrap();
    let mut unlisted = RawOpener::connect(second.address());
    unlisted.hello("entry-0", 1).unwrap();

    second.links.set_peers(vec![("entry-1".into(), "127.0.0.1:1".parse().unwrap())]);
    assert!(unlisted.is_closed());
    listed.send(4);

    assert_eq!(second.next_event(), up("entry-1", 9));
    assert_eq!(second.next_event(), up("entry-0", 9));
    assert_eq!(second.next_event(), down("entry-0"));
    assert_eq!(second.next_event(), message("entry-1", 9, 4));
}

#[test]
fn bytes_that_are_no_message_close_the_link() {
    let second = acceptor("entry-2");
    let mut opener = RawOpener::connect(second.address());
    opener.hello("entry-1", 1).unwrap();

    opener.write(vec![200, 1, 2, 3]);

    assert_eq!(second.next_event(), up("entry-1", 9));
    assert_eq!(second.next_event(), down("entry-1"));
}

#[test]
fn queued_messages_are_written_before_a_stop() {
    let (first, second) = linked_pair(["127.0.0.1", "127.0.0.1"]);

    for version in 0..500 {
        first.links.send(&second.name, fetch(version));
    }
    drop(first);

    for version in 0..500 {
        assert_eq!(second.next_event(), message("entry-1", 7, version));
    }
    assert_eq!(second.next_event(), down("entry-1"));
}

#[test]
fn an_address_in_use_is_an_error() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let settings = PeerLinksSettings { listen_address: address, ..settings("a", "127.0.0.1") };
    let (sender, _events) = flume::unbounded();

    let error = PeerLinks::start(settings, Arc::new(ChannelSink(sender))).err().unwrap();

    assert!(matches!(error, Error::Io { .. }));
    assert_eq!(
        error.to_string(),
        format!(
            "Listening for instances on {address} failed: Address already in use (os error 98)"
        )
    );
}
