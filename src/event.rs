//! The events that are passed to the decision core.

use std::sync::Arc;

use crate::config_event::ConfigDocument;
use crate::finding::Finding;
use crate::inventory::Inventory;
use crate::load_report::{CacheEvent, LoadReport};
use crate::name::Name;
use crate::peer_message::PeerMessage;
use crate::scheduling::Progress;

/// One event for the decision core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Arrived(Box<Arrival>),
    /// Cache events of a model engine arrived.
    CacheEvents {
        /// The engine.
        backend_server: Name,
        /// The events, in order.
        events: Vec<CacheEvent>,
        /// Service of the engine.
        service: Name,
    },
    /// The caller of a request without a key disconnected, or its answer can't be delivered.
    CallerGone {
        /// The request.
        sequence: u64,
    },
    /// A caller asked to cancel the request of a key.
    CancelRequested {
        /// Id of the request that holds the key, if the caller is another instance.
        holder: Option<Name>,
        /// The key.
        key: Name,
        /// Number of the caller's connection.
        sequence: u64,
    },
    /// A dispatched request made progress or ended.
    Dispatch {
        /// The progress.
        progress: Progress,
        /// The request.
        sequence: u64,
    },
    /// A published document was read.
    DocumentRead {
        /// The document.
        document: ConfigDocument,
        /// The inventory in it, or the findings if it is invalid.
        parsed: Result<Arc<Inventory>, Vec<Finding>>,
        /// Peer that sent it; the platform if absent.
        peer: Option<Name>,
    },
    /// The platform's list of instances and backend servers was read.
    InstanceListRead {
        /// Names that are leaving, sorted.
        leaving: Vec<Name>,
    },
    /// A caller asked for the running or kept answer of a key.
    JoinRequested {
        /// Id of the request that holds the key, if the caller is another instance.
        holder: Option<Name>,
        /// The key.
        key: Name,
        /// Number of the caller's connection.
        sequence: u64,
    },
    /// A load report of a model engine arrived.
    LoadReport {
        /// The engine.
        backend_server: Name,
        /// Its report.
        report: LoadReport,
        /// Service of the engine.
        service: Name,
    },
    /// The link to a peer went down.
    PeerDown {
        /// The peer.
        peer: Name,
    },
    /// A peer sent a message.
    PeerMessage {
        /// The peer.
        peer: Name,
        /// Incarnation of the peer, as its link announced it.
        incarnation: u64,
        /// The message.
        message: PeerMessage,
    },
    /// A link to a peer came up.
    PeerUp {
        /// The peer.
        peer: Name,
        /// Its incarnation.
        incarnation: u64,
        /// Whether it takes seals of key homes.
        key_seals: bool,
    },
    /// The platform did not answer.
    PlatformUnreachable,
    /// A planned stop begins.
    Stop,
    /// Time passed.
    Tick,
}

/// A request as its caller sent it, without its body.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Customer named by the caller.
    pub customer: Name,
    /// Time for the complete answer, as set by the caller, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Hash of service, path and body.
    pub fingerprint: u64,
    /// Idempotency key.
    pub key: Option<Name>,
    /// Maximum number of tokens of the answer; 0 if the caller set none.
    pub max_output_tokens: u32,
    /// Path below the service.
    pub path: Name,
    /// Hashes of the prompt's prefixes, each one block longer than the one before.
    pub prefix_hashes: Vec<u64>,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of the request at this instance.
    pub sequence: u64,
    /// Service.
    pub service: Name,
    /// Tier named by the caller.
    pub tier: Option<Name>,
}
