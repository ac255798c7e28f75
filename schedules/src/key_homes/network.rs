//! The network between the processes, which delays and reorders packets.

use std::collections::BTreeMap;

use bergamotspan::name::Name;
use bergamotspan::peer_message::PeerMessage;

/// Content of a packet.
pub enum Packet {
    /// The instance list of a version, fetched from a peer.
    List(u64),
    /// A message between instances.
    Peer(PeerMessage),
}

/// One packet in flight.
pub struct SentPacket {
    pub from: Name,
    pub packet: Packet,
    pub to: Name,
}

/// Packets by time of arrival.
#[derive(Default)]
pub struct Network {
    count: u64,
    in_flight: BTreeMap<(u64, u64), SentPacket>,
}

impl Network {
    pub fn next(&mut self, now_ms: u64) -> Option<SentPacket> {
        let ((arrival_ms, _), _) = self.in_flight.first_key_value()?;
        if *arrival_ms > now_ms {
            return None;
        }
        self.in_flight.pop_first().map(|(_, sent)| sent)
    }

    pub fn send(&mut self, arrival_ms: u64, from: &Name, to: &Name, packet: Packet) {
        self.count += 1;
        let sent = SentPacket { from: from.clone(), packet, to: to.clone() };
        self.in_flight.insert((arrival_ms, self.count), sent);
    }
}
