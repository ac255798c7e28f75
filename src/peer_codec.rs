//! Encodes and decodes messages between instances: a version byte, then one CBOR value.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::peer_message::PEER_PROTOCOL_VERSION;

/// Largest encoded message, in bytes.
pub const PEER_FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Decodes a message from instance `peer`.
///
/// # Errors
///
/// Returns [`Error::PeerMessage`] if the bytes are empty, too many, of another version, or not
/// exactly one message.
pub fn decode<T>(peer: &str, bytes: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    check_size(peer, bytes.len())?;
    let mut body = match bytes.split_first() {
        None => return Err(message_error(peer, "it is empty".into())),
        Some((&PEER_PROTOCOL_VERSION, body)) => body,
        Some((version, _)) => {
            return Err(message_error(
                peer,
                format!("it has version {version}, and {PEER_PROTOCOL_VERSION} is known"),
            ));
        }
    };
    let message = ciborium::from_reader(&mut body)
        .map_err(|_| message_error(peer, "it is not a known message".into()))?;
    if !body.is_empty() {
        return Err(message_error(peer, format!("{} bytes follow it", body.len())));
    }
    Ok(message)
}

/// Encodes a message for instance `peer`.
///
/// # Errors
///
/// Returns [`Error::PeerMessage`] if the message is larger than [`PEER_FRAME_LIMIT_BYTES`].
pub fn encode<T>(peer: &str, message: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let mut bytes = vec![PEER_PROTOCOL_VERSION];
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| message_error(peer, format!("it can't be encoded: {error}")))?;
    check_size(peer, bytes.len())?;
    Ok(bytes)
}

fn check_size(peer: &str, size_bytes: usize) -> Result<(), Error> {
    if size_bytes <= PEER_FRAME_LIMIT_BYTES {
        return Ok(());
    }
    Err(message_error(
        peer,
        format!("it has {size_bytes} bytes, and {PEER_FRAME_LIMIT_BYTES} are allowed"),
    ))
}

fn message_error(peer: &str, detail: String) -> Error {
    Error::PeerMessage { detail, peer: peer.to_owned() }
}
