//! The events and effects of the membership decision.

use crate::name::Name;
use crate::peer_message::{Confirmation, Heartbeat, PeerMessage, Suspect};
use crate::view::View;

/// Contents of a heartbeat other than membership.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatSummary {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Rank of the lowest tier with waiting requests, for each service that this instance
    /// coordinates.
    pub lowest_waiting_ranks: Vec<(Name, u8)>,
    /// Whether this instance is stopping.
    pub stopping: bool,
    /// Requests that were running at backend servers that crashed, as this instance saw itself.
    pub suspects: Vec<Suspect>,
}

/// An event for the membership decision.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A peer answered a heartbeat.
    Confirmation {
        /// The answer.
        confirmation: Confirmation,
        /// The peer.
        from: Name,
    },
    /// A peer sent a heartbeat.
    Heartbeat {
        /// The peer.
        from: Name,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The link to a peer was reset or closed.
    LinkLost {
        /// The peer.
        peer: Name,
    },
    /// An instance list was read; one older than the list in force is ignored.
    ListAdopted {
        /// The view of the list.
        view: View,
    },
    /// Time has passed; expected several times per heartbeat interval.
    Tick {
        /// Contents of the next heartbeat.
        summary: HeartbeatSummary,
    },
}

/// An effect of the membership decision.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// A peer has a later configuration, which can be fetched from it.
    ConfigAhead {
        /// The peer.
        peer: Name,
        /// The configuration's version.
        version: u64,
    },
    /// A peer has a later instance list.
    ListAhead {
        /// The peer.
        peer: Name,
        /// The list's version.
        version: u64,
    },
    /// A member of the list is live.
    PeerLive {
        /// Incarnation of the peer.
        incarnation: u64,
        /// The peer.
        peer: Name,
    },
    /// A member of the list is no longer live, has restarted or has left the list.
    PeerLost {
        /// The peer.
        peer: Name,
    },
    /// Send a message.
    Send {
        /// The message.
        message: PeerMessage,
        /// The recipient.
        to: Name,
    },
}
