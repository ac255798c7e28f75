//! The first message on each link.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Tells who is at the other end of a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Counts the links that the opener opened to this peer; the acceptor echoes it.
    pub link_sequence: u64,
    /// Name of the sender.
    pub name: Name,
}
