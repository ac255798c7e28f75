//! What instances know of each other, and how they share engines, usage limits and the store.
//!
//! Instances are grouped into cells by a stable hash of their names. In each cell the first two by
//! rank coordinate: every member reports to both what it runs and spends, and asks the one that leads
//! for a place at a backend server; the other takes over when that one stops or falls silent, and
//! `succession` keeps the lead from changing more often. Coordinators
//! exchange sums of their cells, so that no message goes from each instance to each other one.
//!
//! A datagram is decoded in [`message`], recorded in [`roster`] and merged into the state in
//! [`receiving`]; what is due is built in [`reporting`] and encoded by the socket that sends it.
//! Places are asked for in [`placing`], granted in `granting` and counted in [`leases`]; [`origin_homes`] finds by
//! which software version a stream was begun. All of it is without sockets and clocks; `peer_socket`
//! moves the datagrams.

pub mod additions;
pub mod cells;
pub mod cold_servers;
pub mod coordinators;
pub mod counter_feed;
pub mod failed_paths;
mod granting;
pub mod handover;
pub mod leases;
pub mod membership;
pub mod message;
pub mod origin_homes;
pub mod origin_message;
pub mod part_evidence;
pub mod pending_ask;
pub mod pending_origin;
pub mod placing;
pub mod receiving;
pub mod reporting;
pub mod roster;
pub mod server_limits;
pub(crate) mod succession;
pub mod suspect_feed;
pub mod usage_book;
