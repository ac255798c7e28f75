//! The first message that each end sends on a link; it identifies the sender and the link.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Identifies the sender to the other end of a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Whether the sender takes seals of key homes; versions before that don't know the message.
    #[serde(default)]
    pub key_seals: bool,
    /// Number of the link, which rises with each link of the opener; the acceptor echoes it.
    pub link_sequence: u64,
    /// Name of the sender.
    pub name: Name,
}
