//! The other instances: which are heard, and when they were last.

use std::net::SocketAddr;

use crate::gateway::peer_digest::{DIGEST_VERSION, Digest, Envelope};
use crate::name::Name;

/// Time between two datagrams to an instance if nothing changed, in milliseconds.
pub const HEARTBEAT_MS: u64 = 400;
/// Silence after which an instance's work and share no longer count as known, in milliseconds.
const SILENCE_MS: u64 = 3 * HEARTBEAT_MS + 100;
/// Silence after which an instance counts as gone for good, in milliseconds.
const FORGET_MS: u64 = 60_000;
/// Time between two datagrams to an address that has not answered, in milliseconds.
const GREETING_MS: u64 = 500;
/// Time for which an address that others named and that does not answer is tried, in milliseconds.
const GREETING_LIMIT_MS: u64 = 30_000;

/// What a datagram changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerNews {
    /// Whether the instance was not heard before, or started anew.
    pub is_new: bool,
    /// When the sender's document was proved to be the newest, by this instance's boot clock.
    pub proved_ms: Option<u64>,
    /// Whether the datagram is to be used; an older one is not.
    pub usable: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    greeted_ms: u64,
    heard_ms: u64,
    incarnation: u64,
    name: Name,
    sent_ms: u64,
    stopping: bool,
}

#[derive(Clone, Debug)]
struct Greeting {
    address: SocketAddr,
    is_seed: bool,
    last_ms: Option<u64>,
    since_ms: u64,
}

/// All other instances.
#[derive(Clone, Debug)]
pub struct PeerTable {
    greetings: Vec<Greeting>,
    own_address: SocketAddr,
    peers: Vec<Peer>,
}

impl PeerTable {
    /// Starts with the addresses of some instances.
    pub fn new(own_address: SocketAddr, now_ms: u64, seeds: &[SocketAddr]) -> Self {
        let mut table = Self { greetings: Vec::new(), own_address, peers: Vec::new() };
        table.set_seeds(now_ms, seeds);
        table
    }

    /// Takes over another list of seeds.
    pub fn set_seeds(&mut self, now_ms: u64, seeds: &[SocketAddr]) {
        self.greetings.retain(|greeting| !greeting.is_seed);
        for seed in seeds {
            self.greet(now_ms, *seed, true);
        }
    }

    /// Takes in a datagram.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        envelope: &Envelope,
        digest: &Digest,
    ) -> PeerNews {
        for address in &digest.others {
            self.greet(now_ms, *address, false);
        }
        let peer = Peer {
            address: from,
            greeted_ms: now_ms,
            heard_ms: now_ms,
            incarnation: digest.incarnation,
            name: digest.instance.clone(),
            sent_ms: digest.sent_ms,
            stopping: digest.stopping,
        };
        let is_new = match self.peers.binary_search_by(|known| known.name.cmp(&peer.name)) {
            Ok(index) => {
                let known = &mut self.peers[index];
                let same = known.incarnation == peer.incarnation;
                if same && peer.sent_ms < known.sent_ms {
                    return PeerNews::default();
                }
                *known = peer;
                !same
            }
            Err(index) => {
                self.peers.insert(index, peer);
                true
            }
        };
        let sent_ms = envelope.echoed_sent_ms.map(|sent_ms| sent_ms + envelope.held_ms);
        let proved_ms = sent_ms
            .zip(digest.proof_age_ms)
            .and_then(|(sent_ms, age_ms)| sent_ms.min(now_ms).checked_sub(age_ms));
        PeerNews { is_new, proved_ms, usable: true }
    }

    /// Returns the addresses that a datagram goes to now, with what only they are told.
    pub fn targets(&mut self, now_ms: u64) -> Vec<(SocketAddr, Envelope)> {
        self.peers.retain(|peer| now_ms < peer.heard_ms + FORGET_MS);
        let mut targets = Vec::new();
        for peer in &mut self.peers {
            if peer.is_heard(now_ms) || now_ms >= peer.greeted_ms + GREETING_MS {
                peer.greeted_ms = now_ms;
                targets.push((peer.address, peer.envelope(now_ms)));
            }
        }
        targets.extend(self.greetings_due(now_ms));
        targets
    }

    /// Returns the addresses of the instances that are heard.
    pub fn addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let heard = self.peers.iter().filter(|peer| peer.is_heard(now_ms));
        heard.map(|peer| peer.address).collect()
    }

    /// Returns the names of the instances that are not heard any more.
    pub fn silent(&self, now_ms: u64) -> Vec<Name> {
        let silent = self.peers.iter().filter(|peer| !peer.is_heard(now_ms));
        silent.map(|peer| peer.name.clone()).collect()
    }

    /// Returns the number of instances that are heard, this one included.
    pub fn heard_count(&self, now_ms: u64) -> usize {
        self.peers.iter().filter(|peer| peer.is_heard(now_ms) && !peer.stopping).count() + 1
    }

    /// Returns the number of instances that may be running, this one included.
    pub fn known_count(&self) -> usize {
        self.peers.iter().filter(|peer| !peer.stopping).count() + 1
    }

    fn greet(&mut self, now_ms: u64, address: SocketAddr, is_seed: bool) {
        let known = self.greetings.iter().any(|greeting| greeting.address == address);
        let heard = self.peers.iter().any(|peer| peer.address == address);
        if !known && !heard && address != self.own_address {
            let greeting = Greeting { address, is_seed, last_ms: None, since_ms: now_ms };
            self.greetings.push(greeting);
        }
    }

    fn greetings_due(&mut self, now_ms: u64) -> Vec<(SocketAddr, Envelope)> {
        let peers = &self.peers;
        let is_heard = |address: SocketAddr| {
            peers.iter().any(|peer| peer.address == address && peer.is_heard(now_ms))
        };
        self.greetings.retain(|greeting| {
            greeting.is_seed
                || (now_ms < greeting.since_ms + GREETING_LIMIT_MS && !is_heard(greeting.address))
        });
        let mut due = Vec::new();
        for greeting in &mut self.greetings {
            let waited = greeting.last_ms.is_none_or(|last_ms| now_ms >= last_ms + GREETING_MS);
            if waited && !is_heard(greeting.address) {
                greeting.last_ms = Some(now_ms);
                due.push((greeting.address, Envelope::default()));
            }
        }
        due
    }
}

impl Peer {
    fn envelope(&self, now_ms: u64) -> Envelope {
        Envelope {
            version: DIGEST_VERSION,
            echoed_sent_ms: Some(self.sent_ms),
            held_ms: now_ms.saturating_sub(self.heard_ms),
        }
    }

    fn is_heard(&self, now_ms: u64) -> bool {
        now_ms < self.heard_ms + SILENCE_MS
    }
}

impl Default for Envelope {
    fn default() -> Self {
        Self { version: DIGEST_VERSION, echoed_sent_ms: None, held_ms: 0 }
    }
}
