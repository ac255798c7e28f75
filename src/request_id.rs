//! The identity of one send of a request.

use std::fmt::{self, Display, Formatter};

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;

/// Identifies one send of a request, unique over all instances and their restarts.
#[derive(
    Clone, Debug, Deserialize_tuple, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize_tuple,
)]
pub struct RequestId {
    /// Instance that received the request.
    pub instance: Name,
    /// Incarnation of that instance.
    pub incarnation: u64,
    /// Number of the request in this incarnation.
    pub sequence: u64,
}

impl Display for RequestId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:x}-{}", self.instance, self.incarnation, self.sequence)
    }
}
