//! The events and effects of the adoption of configuration.

use std::sync::Arc;

use crate::finding::Finding;
use crate::inventory::Inventory;
use crate::name::Name;

/// Source of a document.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConfigSource {
    /// A peer of this instance.
    Peer(Name),
    /// The platform's service.
    Platform,
}

/// A published document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigDocument {
    /// Its text.
    pub text: Arc<str>,
    /// Its version.
    pub version: u64,
}

/// An event for the adoption of configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEvent {
    /// A document was read and parsed.
    DocumentRead {
        /// The document.
        document: ConfigDocument,
        /// The inventory in its text, or all findings if it is invalid.
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
        /// Its source.
        source: ConfigSource,
    },
    /// The link to a peer is closed.
    PeerDown {
        /// The peer.
        peer: Name,
    },
    /// A heartbeat reported the version in force at a peer, newer or not.
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

/// An effect that the adoption of configuration requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigEffect {
    /// Put this inventory in force.
    Adopt {
        /// The inventory.
        inventory: Arc<Inventory>,
    },
    /// Request the document from this peer.
    FetchFrom {
        /// The peer.
        peer: Name,
    },
    /// Report to operators that a document was refused.
    Refused {
        /// Its findings.
        findings: Vec<Finding>,
        /// Its version.
        version: u64,
    },
}
