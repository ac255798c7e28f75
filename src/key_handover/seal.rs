//! The message in which a former home says what it granted under a list that it has left.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;
use crate::peer_message::KeyRecord;

/// One part of the seal of a list by one instance: it grants and confirms nothing under that list
/// any more.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct KeySeal {
    /// Number of the attempt to send this seal; the parts of one attempt have the same.
    pub attempt: u64,
    /// Wall-clock time in milliseconds: of the keys minted later, the sender knows all that any
    /// home granted under this list or an earlier one, if it was their home by this list. Without
    /// it the sender can't tell.
    pub floor_ms: Option<u64>,
    /// Incarnation of the sender.
    pub from_incarnation: u64,
    /// Version of the sealed list.
    pub list_version: u64,
    /// Members of the sealed list, sorted.
    pub members: Vec<Name>,
    /// Index of this part.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Records of keys whose home is the receiver from now on.
    pub records: Vec<KeyRecord>,
    /// Whether the sender has heard no other incarnation of the receiver under the following list.
    pub sole: bool,
    /// Wall-clock time at which the sender started, in milliseconds.
    pub started_ms: u64,
    /// Homes that stopped under the sealed list, handed their keys over to the sender, and started
    /// no other incarnation that the sender confirmed under it.
    pub stopped: Vec<StoppedHome>,
    /// Whether the sender seals because it stops; then it may start again.
    pub stopping: bool,
    /// Incarnation of the receiver.
    pub to_incarnation: u64,
}

/// A home that stopped, as one of its successors knows it.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct StoppedHome {
    /// Floor in its seal, if the whole seal has arrived.
    pub floor_ms: Option<u64>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its name.
    pub name: Name,
}
