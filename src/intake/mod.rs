//! Limits on what callers may hold of an instance: memory for request bodies.
//!
//! [`body_ledger`] decides, without a clock or a socket; the other modules bring its decisions to the
//! tasks of connections.

pub mod body_budget;
pub mod body_ledger;
pub mod body_reader;
pub mod intake_limits;
pub mod log_limit;
