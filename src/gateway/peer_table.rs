//! The table of the other instances: which are live, which share this instance's cell, and when the
//! next datagram to each is due.

use std::net::SocketAddr;

use crate::gateway::peer_digest::{DIGEST_VERSION, Digest, Envelope};
use crate::name::Name;

/// Time between two datagrams to an instance if nothing changed, in milliseconds.
pub const HEARTBEAT_MS: u64 = 400;
/// Missing heartbeats after which an instance's loads and its share of limits no longer count.
const SILENT_HEARTBEATS: u64 = 3;
/// Time added to the longest permitted silence, in milliseconds.
const SILENCE_SLACK_MS: u64 = 100;
/// Maximum number of instances in one cell.
const MAX_CELL_INSTANCES: usize = 8;
/// Shortest time between two datagrams to an instance of another cell, in milliseconds.
const CROSS_CELL_HEARTBEAT_MS: u64 = 1_000;
/// Time that each instance adds to the pause between datagrams to other cells, in milliseconds, so
/// that their rate does not grow with the number of instances.
const CROSS_CELL_MS_PER_PEER: u64 = 25;
/// Time between two datagrams that announce the addresses of other instances, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 1_500;
/// Silence after which an instance is removed from the table, in milliseconds.
const PEER_EXPIRY_MS: u64 = 60_000;
/// Time between two datagrams to an address that has not answered, in milliseconds.
const CONTACT_INTERVAL_MS: u64 = 500;
/// Time for which an announced address that does not answer is contacted, in milliseconds.
const CONTACT_EXPIRY_MS: u64 = 30_000;

/// Effect of a received datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DigestOutcome {
    /// Whether the sender is new or was restarted.
    pub is_new: bool,
    /// When the sender's document was proved to be the newest, in milliseconds of this instance's
    /// boot clock.
    pub proved_ms: Option<u64>,
    /// Whether the datagram is used; one older than the last of the same start is not.
    pub usable: bool,
}

/// Position of a cell among all cells.
///
/// The instances of a cell share the same engines and send each other every change at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CellPosition {
    /// Number of cells.
    pub cells: usize,
    /// Index of this cell, from 0.
    pub index: usize,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    last_sent_ms: u64,
    /// Silence after which the peer is no longer live, in milliseconds.
    silence_limit_ms: u64,
    received_ms: u64,
    same_cell: bool,
    incarnation: u64,
    name: Name,
    sent_ms: u64,
    stopping: bool,
    store_reachable: bool,
}

/// Address that is contacted while no live instance is known at it.
#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    is_seed: bool,
    last_sent_ms: Option<u64>,
    since_ms: u64,
}

/// All other instances.
#[derive(Clone, Debug)]
pub struct PeerTable {
    contacts: Vec<Contact>,
    announced_ms: u64,
    own_address: SocketAddr,
    peers: Vec<Peer>,
}

impl PeerTable {
    /// Returns a table without peers that contacts the seeds.
    pub fn new(own_address: SocketAddr, now_ms: u64, seeds: &[SocketAddr]) -> Self {
        let mut table =
            Self { contacts: Vec::new(), announced_ms: 0, own_address, peers: Vec::new() };
        table.set_seeds(now_ms, seeds);
        table
    }

    /// Replaces the list of seeds.
    pub fn set_seeds(&mut self, now_ms: u64, seeds: &[SocketAddr]) {
        self.contacts.retain(|contact| !contact.is_seed);
        for seed in seeds {
            self.add_contact(now_ms, *seed, true);
        }
    }

    /// Records a received datagram.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        envelope: &Envelope,
        digest: &Digest,
    ) -> DigestOutcome {
        for address in &digest.others {
            self.add_contact(now_ms, *address, false);
        }
        let peer = Peer {
            address: from,
            last_sent_ms: 0,
            silence_limit_ms: silence_ms(HEARTBEAT_MS),
            received_ms: now_ms,
            same_cell: true,
            incarnation: digest.incarnation,
            name: digest.instance.clone(),
            sent_ms: digest.sent_ms,
            stopping: digest.stopping,
            store_reachable: digest.store_reachable,
        };
        let is_new = match self.peers.binary_search_by(|known| known.name.cmp(&peer.name)) {
            Ok(index) => {
                let known = &mut self.peers[index];
                let same = known.incarnation == peer.incarnation;
                if same && peer.sent_ms < known.sent_ms {
                    return DigestOutcome::default();
                }
                let (last_sent_ms, same_cell) = (known.last_sent_ms, known.same_cell);
                let silence_limit_ms = known.silence_limit_ms;
                *known = Peer { last_sent_ms, silence_limit_ms, same_cell, ..peer };
                !same
            }
            Err(index) => {
                self.peers.insert(index, peer);
                true
            }
        };
        if is_new {
            // Announces the known addresses to a new peer at once.
            self.announced_ms = 0;
        }
        let sent_ms = envelope.echoed_sent_ms.map(|sent_ms| sent_ms + envelope.held_ms);
        let proved_ms = sent_ms
            .zip(digest.proof_age_ms)
            .and_then(|(sent_ms, age_ms)| sent_ms.min(now_ms).checked_sub(age_ms));
        DigestOutcome { is_new, proved_ms, usable: true }
    }

    /// Returns the receivers to which a datagram is due now, each with its envelope.
    ///
    /// Datagrams to other cells are rare, so they are sent only with full digests, which contain
    /// usage.
    pub fn targets(
        &mut self,
        now_ms: u64,
        own_name: &str,
        is_full: bool,
    ) -> Vec<(SocketAddr, Envelope)> {
        self.peers.retain(|peer| now_ms < peer.received_ms + PEER_EXPIRY_MS);
        self.assign_cells(own_name);
        let cross_cell_ms = self.cross_cell_heartbeat_ms();
        let mut targets = Vec::new();
        for peer in &mut self.peers {
            let pause_ms = match (peer.same_cell, peer.is_live(now_ms)) {
                (true, true) => 0,
                (false, true) => cross_cell_ms,
                (_, false) => CONTACT_INTERVAL_MS,
            };
            if now_ms >= peer.last_sent_ms + pause_ms && (peer.same_cell || is_full) {
                peer.last_sent_ms = now_ms;
                targets.push((peer.address, peer.envelope(now_ms)));
            }
        }
        targets.extend(self.due_contacts(now_ms));
        targets
    }

    /// Returns the cell of an instance.
    ///
    /// Instances are assigned to cells in turn, in the order of their names.
    pub fn cell(&self, name: &str) -> CellPosition {
        let cells = self.known_count().div_ceil(MAX_CELL_INSTANCES);
        let before = self.peers.iter().filter(|peer| !peer.stopping && &*peer.name < name);
        CellPosition { cells, index: before.count() % cells }
    }

    /// Returns whether an instance is in the cell of this one.
    pub fn is_in_own_cell(&self, name: &Name) -> bool {
        let index = self.peers.binary_search_by(|known| known.name.cmp(name));
        index.is_ok_and(|index| self.peers[index].same_cell)
    }

    fn assign_cells(&mut self, own_name: &str) {
        let own = self.cell(own_name);
        let cross_cell_ms = self.cross_cell_heartbeat_ms();
        let mut position = 0;
        for peer in &mut self.peers {
            let rank = position + usize::from(own_name < &*peer.name);
            peer.same_cell = own.cells <= 1 || rank % own.cells == own.index;
            peer.silence_limit_ms =
                silence_ms(if peer.same_cell { HEARTBEAT_MS } else { cross_cell_ms });
            position += usize::from(!peer.stopping);
        }
    }

    fn cross_cell_heartbeat_ms(&self) -> u64 {
        CROSS_CELL_HEARTBEAT_MS.max(self.peers.len() as u64 * CROSS_CELL_MS_PER_PEER)
    }

    /// Returns the addresses of the live instances if an announcement is due, else none.
    pub fn addresses_to_announce(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        if now_ms < self.announced_ms + ANNOUNCE_INTERVAL_MS {
            return Vec::new();
        }
        self.announced_ms = now_ms;
        self.addresses(now_ms)
    }

    /// Returns the addresses of the live instances.
    pub fn addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|peer| peer.is_live(now_ms));
        live.map(|peer| peer.address).collect()
    }

    /// Returns the names of the instances that are no longer live.
    pub fn silent(&self, now_ms: u64) -> Vec<Name> {
        let silent = self.peers.iter().filter(|peer| !peer.is_live(now_ms));
        silent.map(|peer| peer.name.clone()).collect()
    }

    /// Returns the number of instances of this cell that read the store before this one: those with
    /// a lower name that are live and that the store answers.
    pub fn readers_before(&self, now_ms: u64, own_name: &str) -> usize {
        let before = self.peers.iter().take_while(|peer| &*peer.name < own_name);
        before.filter(|peer| peer.can_read_store(now_ms)).count()
    }

    /// Returns whether the store answers any other live instance of this cell.
    pub fn has_reader(&self, now_ms: u64) -> bool {
        self.peers.iter().any(|peer| peer.can_read_store(now_ms))
    }

    /// Returns the number of live instances that are not stopping, this one included.
    pub fn live_count(&self, now_ms: u64) -> usize {
        self.peers.iter().filter(|peer| peer.is_live(now_ms) && !peer.stopping).count() + 1
    }

    /// Returns the number of instances that may be running, this one included.
    pub fn known_count(&self) -> usize {
        self.peers.iter().filter(|peer| !peer.stopping).count() + 1
    }

    fn add_contact(&mut self, now_ms: u64, address: SocketAddr, is_seed: bool) {
        let known = self.contacts.iter().any(|contact| contact.address == address);
        let is_peer = self.peers.iter().any(|peer| peer.address == address);
        if !known && !is_peer && address != self.own_address {
            let contact = Contact { address, is_seed, last_sent_ms: None, since_ms: now_ms };
            self.contacts.push(contact);
        }
    }

    fn due_contacts(&mut self, now_ms: u64) -> Vec<(SocketAddr, Envelope)> {
        let peers = &self.peers;
        let is_live = |address: SocketAddr| {
            peers.iter().any(|peer| peer.address == address && peer.is_live(now_ms))
        };
        self.contacts.retain(|contact| {
            contact.is_seed
                || (now_ms < contact.since_ms + CONTACT_EXPIRY_MS && !is_live(contact.address))
        });
        let mut due = Vec::new();
        for contact in &mut self.contacts {
            let waited = contact
                .last_sent_ms
                .is_none_or(|last_sent_ms| now_ms >= last_sent_ms + CONTACT_INTERVAL_MS);
            if waited && !is_live(contact.address) {
                contact.last_sent_ms = Some(now_ms);
                due.push((contact.address, Envelope::default()));
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
            held_ms: now_ms.saturating_sub(self.received_ms),
        }
    }

    fn can_read_store(&self, now_ms: u64) -> bool {
        self.same_cell && self.store_reachable && !self.stopping && self.is_live(now_ms)
    }

    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.received_ms + self.silence_limit_ms
    }
}

fn silence_ms(heartbeat_ms: u64) -> u64 {
    SILENT_HEARTBEATS * heartbeat_ms + SILENCE_SLACK_MS
}

impl Default for Envelope {
    fn default() -> Self {
        Self { version: DIGEST_VERSION, echoed_sent_ms: None, held_ms: 0 }
    }
}
