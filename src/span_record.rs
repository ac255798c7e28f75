//! A finished span, and the hop of a request that it covers.

use crate::name::Name;
use crate::trace_context::TraceContext;

/// Hop of a request that a span covers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Hop {
    /// From the grant request to the coordinator's answer.
    GrantRequest,
    /// From the caller's request to its final answer.
    Caller,
    /// From the connection to the end of the backend server's answer.
    Dispatch,
    /// From dispatch to the first token.
    FirstToken,
    /// The grant, from its arrival to its use.
    Grant,
    /// From the claim of a key to its verdict.
    KeyClaim,
    /// One message to another instance and its answer.
    PeerHop,
}

impl Hop {
    /// Returns the name of the span.
    pub fn name(self) -> &'static str {
        match self {
            Self::GrantRequest => "bid",
            Self::Caller => "caller",
            Self::Dispatch => "dispatch",
            Self::FirstToken => "first_token",
            Self::Grant => "grant",
            Self::KeyClaim => "key_claim",
            Self::PeerHop => "peer_hop",
        }
    }
}

/// One finished span.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpanRecord {
    /// Attributes.
    pub attributes: Vec<(&'static str, Name)>,
    /// Trace context of the span.
    pub context: TraceContext,
    /// End, in milliseconds since the Unix epoch.
    pub end_wall_clock_ms: u64,
    /// Hop that it covers.
    pub hop: Hop,
    /// Parent span; `None` for the root of a trace.
    pub parent_span_id: Option<u64>,
    /// Start, in milliseconds since the Unix epoch.
    pub start_wall_clock_ms: u64,
}
