//! The format of the datagrams in which instances exchange digests of their state.

use std::net::SocketAddr;

use serde::Serialize;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::error::Error;
use crate::gateway::request_queue::QueueLength;
use crate::name::Name;
use crate::peer_message::Suspect;

/// Version of the datagrams; other versions are rejected.
pub const DIGEST_VERSION: u8 = 2;

/// Part of a datagram for one receiver; echoes the receiver's last datagram.
#[derive(Clone, Copy, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Envelope {
    /// Version of the format.
    pub version: u8,
    /// When the receiver sent its last datagram that arrived here, in milliseconds of its own boot
    /// clock.
    pub echoed_sent_ms: Option<u64>,
    /// Time since that datagram arrived, in milliseconds.
    pub held_ms: u64,
}

/// Part of a datagram that is the same for all receivers.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Digest {
    /// Name of the sender.
    pub instance: Name,
    /// Incarnation of the sender: a number that differs with each of its starts.
    pub incarnation: u64,
    /// When it was sent, in milliseconds of the sender's boot clock.
    pub sent_ms: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Version of the document in force at the sender.
    pub document_version: u64,
    /// Age of the proof that this document is the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Revision up to which the sender has the store's changes; 0 if it has none.
    pub store_revision: u64,
    /// Whether the store answered the sender's last call.
    pub store_reachable: bool,
    /// Addresses of other instances, if this datagram announces them.
    pub others: Vec<SocketAddr>,
    /// Loads of the sender at backend servers.
    pub loads: Vec<LoadEntry>,
    /// Usage of customers at the sender.
    pub spent: Vec<SpentEntry>,
    /// Numbers of waiting requests, by service and rank.
    pub queues: Vec<QueueLength>,
    /// Requests that were running at backend servers when these crashed.
    pub suspects: Vec<Suspect>,
}

/// Load of the sender at one backend server.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct LoadEntry {
    /// Id of the backend server.
    pub backend_server: Name,
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Uncached prompt tokens of those without a first event.
    pub unread_tokens: u64,
}

/// Usage of one customer at the sender.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct SpentEntry {
    /// Name of the customer.
    pub customer: Name,
    /// Units left according to the sender.
    pub left_units: i64,
    /// Units spent at the sender since its start.
    pub spent_units: u64,
}

/// Encodes the part of a datagram that is the same for all receivers.
///
/// # Errors
///
/// Returns [`Error::Io`] if it can't be encoded.
pub fn encode_digest(digest: &Digest) -> Result<Vec<u8>, Error> {
    encode(digest, "Encoding a digest failed")
}

/// Encodes a datagram for one receiver.
///
/// # Errors
///
/// Returns [`Error::Io`] if it can't be encoded.
pub fn encode_datagram(envelope: &Envelope, digest: &[u8]) -> Result<Vec<u8>, Error> {
    let mut bytes = encode(envelope, "Encoding an envelope failed")?;
    bytes.extend_from_slice(digest);
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns [`Error::PeerMessage`] if it can't be decoded or has another version.
pub fn decode_datagram(mut bytes: &[u8], from: SocketAddr) -> Result<(Envelope, Digest), Error> {
    let unreadable = |detail: String| Error::PeerMessage { detail, peer: from.to_string() };
    let envelope: Envelope =
        ciborium::from_reader(&mut bytes).map_err(|error| unreadable(error.to_string()))?;
    if envelope.version != DIGEST_VERSION {
        return Err(unreadable(format!("version {} is not known", envelope.version)));
    }
    let digest = ciborium::from_reader(bytes).map_err(|error| unreadable(error.to_string()))?;
    Ok((envelope, digest))
}

fn encode<T>(value: &T, action: &str) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| Error::io(action, std::io::Error::other(error.to_string())))?;
    Ok(bytes)
}
