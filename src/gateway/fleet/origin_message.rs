//! What instances tell and ask each other about the origins of streams.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::name::Name;

/// By which software version a stream was begun.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct ToldOrigin {
    /// Number of the stream.
    pub stream: u64,
    /// Service that began it.
    pub service: Name,
    /// Version of the software.
    pub software_version: Name,
}

/// Asks by which software version a stream was begun.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct OriginAsk {
    /// Number of the question at the asking instance.
    pub number: u64,
    /// Service that would go on with it.
    pub service: Name,
    /// Number of the stream; `None` if its caller did not name it.
    pub stream: Option<u64>,
}

/// Answers a question for the origin of a stream.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct OriginAnswer {
    /// Number of the question at the asking instance.
    pub number: u64,
    /// The origin, if it is known.
    pub origin: Option<ToldOrigin>,
    /// Whether it is that of all streams of the service, and not known of this one.
    pub is_only: bool,
}
