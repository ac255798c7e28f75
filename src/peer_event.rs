//! The events that the peer links report to the control thread.

use crate::name::Name;
use crate::peer_message::PeerMessage;

/// An event on the link to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// The link is closed; no further event of it follows.
    Down {
        /// The peer.
        peer: Name,
    },
    /// A message arrived on the current link.
    Message {
        /// Incarnation of the peer.
        incarnation: u64,
        /// The message.
        message: PeerMessage,
        /// The peer.
        peer: Name,
    },
    /// A link is open.
    Up {
        /// Incarnation of the peer.
        incarnation: u64,
        /// Whether it takes seals of key homes.
        key_seals: bool,
        /// The peer.
        peer: Name,
    },
}

/// Receives the events of all links.
pub trait PeerSink: Send + Sync {
    /// Receives one event. This is called on the thread of the links and must not block.
    fn deliver(&self, event: PeerEvent);
}
