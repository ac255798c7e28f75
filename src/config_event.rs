//! What the adoption of configuration learns and wants done.

use std::sync::Arc;

use crate::finding::Finding;
use crate::inventory::Inventory;
use crate::name::Name;

/// Where a document was read.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConfigSource {
    /// At this instance's peer.
    Peer(Name),
    /// At the platform's service.
    Platform,
}

/// One published document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigDocument {
    /// Its text.
    pub text: Arc<str>,
    /// Its version.
    pub version: u64,
}

/// Something that the adoption of configuration learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A document was read and parsed.
    DocumentRead {
        /// The document.
        document: ConfigDocument,
        /// What its text says, or all that is wrong with it.
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
        /// Where it was read.
        source: ConfigSource,
    },
    /// The link to a peer is closed.
    PeerDown {
        /// The peer.
        peer: Name,
    },
    /// A heartbeat told which version is in force at a peer, newer or not.
    PeerVersion {
        /// The peer.
        peer: Name,
        /// Version in force there; 0 if none is.
        version: u64,
    },
    /// The platform's service was read.
    PlatformReachable,
    /// The platform's service could not be read.
    PlatformUnreachable,
    /// Time passed.
    Tick,
}

/// Something that the adoption of configuration wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEffect {
    /// Put this inventory in force.
    Adopt {
        /// The inventory.
        inventory: Arc<Inventory>,
    },
    /// Ask this peer for its document.
    FetchFrom {
        /// The peer.
        peer: Name,
    },
    /// Show operators that a document was refused.
    Refused {
        /// What is wrong with it.
        findings: Vec<Finding>,
        /// Its version.
        version: u64,
    },
}
