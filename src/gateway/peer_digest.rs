//! What instances tell each other, in one datagram.

use std::net::SocketAddr;

use serde::Serialize;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::error::Error;
use crate::gateway::request_queue::QueueLength;
use crate::name::Name;
use crate::peer_message::Suspect;

/// Version of the datagrams; others are not read.
pub const DIGEST_VERSION: u8 = 2;

/// What goes to one instance only: which of its datagrams arrived last.
#[derive(Clone, Copy, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Envelope {
    /// Version of the format.
    pub version: u8,
    /// When the receiver sent the last datagram that arrived here, by its own boot clock.
    pub echoed_sent_ms: Option<u64>,
    /// How long ago that datagram arrived, in milliseconds.
    pub held_ms: u64,
}

/// What an instance tells all others.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct Digest {
    /// Name of the sender.
    pub instance: Name,
    /// Differs with each start of the sender.
    pub incarnation: u64,
    /// When it was sent, by the sender's boot clock.
    pub sent_ms: u64,
    /// Whether the sender is about to stop.
    pub stopping: bool,
    /// Version of the document in force at the sender.
    pub document_version: u64,
    /// Age of the proof that it is the newest, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Revision up to which the sender knows the store; 0 if it does not.
    pub store_revision: u64,
    /// Whether the store answered the sender's last call.
    pub store_reachable: bool,
    /// Addresses of other instances, if this datagram names them.
    pub others: Vec<SocketAddr>,
    /// Work at backend servers.
    pub loads: Vec<LoadEntry>,
    /// What was spent for customers.
    pub spent: Vec<SpentEntry>,
    /// Requests that wait, by service and rank.
    pub queues: Vec<QueueLength>,
    /// Requests that were running at backend servers that died.
    pub suspects: Vec<Suspect>,
}

/// Work of the sender at one backend server.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct LoadEntry {
    /// Id of the backend server.
    pub backend_server: Name,
    /// Requests that were sent and are not over.
    pub running: u32,
    /// Prompt tokens of those that have not answered yet.
    pub unread_tokens: u64,
}

/// What the sender has spent for one customer.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct SpentEntry {
    /// Name of the customer.
    pub customer: Name,
    /// Units that the sender believes are left.
    pub left_units: i64,
    /// Units that it has spent since it started.
    pub spent_units: u64,
}

/// Writes the part of a datagram that is the same for all receivers.
///
/// # Errors
///
/// Returns [`Error::Io`] if it can't be encoded.
pub fn encode_digest(digest: &Digest) -> Result<Vec<u8>, Error> {
    encode(digest, "encode a digest")
}

/// Writes a datagram for one receiver.
///
/// # Errors
///
/// Returns [`Error::Io`] if it can't be encoded.
pub fn encode_datagram(envelope: &Envelope, digest: &[u8]) -> Result<Vec<u8>, Error> {
    let mut bytes = encode(envelope, "encode an envelope")?;
    bytes.extend_from_slice(digest);
    Ok(bytes)
}

/// Reads a datagram.
///
/// # Errors
///
/// Returns [`Error::PeerMessage`] if it can't be read or has another version.
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
