//! The network between the processes: delays and crossed order.

use std::collections::BTreeMap;

use bergamotspan::name::Name;
use bergamotspan::peer_message::PeerMessage;

/// What travels.
pub enum Packet {
    /// The instance list of a version, fetched from a peer.
    List(u64),
    /// A message between instances.
    Peer(PeerMessage),
}

/// One packet on its way.
pub struct Sent {
    pub from: Name,
    pub packet: Packet,
    pub to: Name,
}

/// Packets by time of arrival.
#[derive(Default)]
pub struct Network {
    count: u64,
    on_the_way: BTreeMap<(u64, u64), Sent>,
}

impl Network {
    pub fn next(&mut self, now_ms: u64) -> Option<Sent> {
        let ((arrival_ms, _), _) = self.on_the_way.first_key_value()?;
        if *arrival_ms > now_ms {
            return None;
        }
        self.on_the_way.pop_first().map(|(_, sent)| sent)
    }

    pub fn send(&mut self, arrival_ms: u64, from: &Name, to: &Name, packet: Packet) {
        self.count += 1;
        let sent = Sent { from: from.clone(), packet, to: to.clone() };
        self.on_the_way.insert((arrival_ms, self.count), sent);
    }
}
