//! Limits on what callers may hold of an instance: memory for request bodies, and connections.
//!
//! [`body_ledger`] and [`connection_table`] decide, without a clock or a socket; the other modules
//! bring their decisions to the tasks of connections.

pub mod body_budget;
pub mod body_ledger;
pub mod body_reader;
pub mod closing_cause;
pub mod connection_gate;
pub mod connection_table;
pub mod intake_limits;
pub mod log_limit;
