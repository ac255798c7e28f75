//! What the membership decision takes in and what it gives out.

use crate::name::Name;
use crate::peer_message::{Confirmation, Heartbeat, PeerMessage, Suspect};
use crate::view::View;

/// What a heartbeat tells besides membership.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeartbeatSummary {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Rank of the lowest tier that waits at each service that this instance is coordinator of.
    pub lowest_waiting_ranks: Vec<(Name, u8)>,
    /// Whether this instance is stopping.
    pub stopping: bool,
    /// Poison suspects seen by this instance.
    pub suspects: Vec<Suspect>,
}

/// What happened.
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
    /// An instance list was read; an older one than that in force is ignored.
    ListAdopted {
        /// The view that the list gives.
        view: View,
    },
    /// Time has passed; expected several times per heartbeat interval.
    Tick {
        /// What the next heartbeat tells.
        summary: HeartbeatSummary,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// A peer has a later configuration: fetch it there.
    ConfigAhead {
        /// The peer.
        peer: Name,
        /// The configuration's version.
        version: u64,
    },
    /// A peer has a later instance list: fetch it there.
    ListAhead {
        /// The peer.
        peer: Name,
        /// The list's version.
        version: u64,
    },
    /// A member of the list lives.
    PeerAlive {
        /// Incarnation of the peer.
        incarnation: u64,
        /// The peer.
        peer: Name,
    },
    /// A member of the list no longer lives, restarted or left the list.
    PeerLost {
        /// The peer.
        peer: Name,
    },
    /// Send a message.
    Send {
        /// The message.
        message: PeerMessage,
        /// Where to.
        to: Name,
    },
}
