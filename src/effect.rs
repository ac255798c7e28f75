//! The effects that the decision core returns, to be carried out by its adapter.

use std::net::SocketAddr;

use crate::final_answer::FinalAnswer;
use crate::metric::{Counter, Quantity};
use crate::name::Name;
use crate::peer_message::PeerMessage;
use crate::span_record::Hop;

/// One effect of a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the final answer of a request.
    Answer {
        /// The answer.
        answer: FinalAnswer,
        /// The request.
        sequence: u64,
    },
    /// Cancel a dispatched request and free its slot at the backend server.
    Cancel {
        /// The request.
        sequence: u64,
    },
    /// Answer a caller that the request of its key is being cancelled.
    Cancelling {
        /// Number of the caller's connection.
        sequence: u64,
    },
    /// Add to a metric.
    Count {
        /// What is added.
        amount: u64,
        /// The metric.
        counter: Counter,
    },
    /// Send a request to a backend server, unless the grant has expired before the first byte.
    Dispatch(Dispatch),
    /// Join or cancel at the instance that holds the key, and relay its answer.
    JoinPeer {
        /// Caller address of that instance.
        address: SocketAddr,
        /// Id of the request that holds the key.
        holder: Name,
        /// The key.
        key: Name,
        /// The request, or the number of the caller's connection.
        sequence: u64,
    },
    /// Send the running or kept answer of another request of this instance.
    JoinLocal {
        /// The request that holds the key.
        holder: u64,
        /// The request.
        sequence: u64,
    },
    /// Remove the kept answer of a request.
    RemoveAnswer {
        /// The request.
        sequence: u64,
    },
    /// Record a span for an ended hop of a request.
    Hop {
        /// Monotonic time of its end, in milliseconds.
        ended_ms: u64,
        /// The hop.
        hop: Hop,
        /// The request.
        sequence: u64,
        /// Monotonic time of its start, in milliseconds.
        started_ms: u64,
    },
    /// Write a line to the log.
    Log {
        /// Log target.
        part: &'static str,
        /// The message.
        text: String,
    },
    /// Record a value of a metric.
    Measure {
        /// The metric.
        quantity: Quantity,
        /// The value.
        value: u64,
    },
    /// Poll these model engines, and no others, for load and cache events.
    PollLoad(Vec<PollTarget>),
    /// Send a message to another instance.
    SendPeer {
        /// The message.
        message: PeerMessage,
        /// The instance.
        to: Name,
    },
    /// Keep links to these instances and no others.
    SetPeers(Vec<(Name, SocketAddr)>),
    /// The planned stop is complete.
    Stopped,
    /// Watch the platform for a document newer than this version.
    WatchAfter {
        /// The version.
        version: u64,
    },
}

/// A request to send to a backend server, with its time limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Name of the backend server.
    pub backend_server: Name,
    /// Monotonic time after which the answer is late, in milliseconds.
    pub deadline_ms: u64,
    /// Monotonic time after which the first byte may no longer be sent, in milliseconds.
    pub expires_ms: u64,
    /// Monotonic time of the grant, in milliseconds.
    pub granted_ms: u64,
    /// Whether the backend server streams tokens.
    pub model: bool,
    /// Path below the service.
    pub path: Name,
    /// Identity of the request, for the backend server.
    pub request: String,
    /// The request.
    pub sequence: u64,
}

/// One model engine that is polled for its load.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PollTarget {
    /// Name of the engine.
    pub backend_server: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its service.
    pub service: Name,
}
