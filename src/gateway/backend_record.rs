//! What a backend server publishes of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One published record of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendRecord {
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Start of the backend server, in Unix milliseconds, if it says so.
    pub born_ms: Option<u64>,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Whether it takes no new work since it is about to leave.
    pub leaving: bool,
    /// Number of the record since the start of the backend server.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Name,
    /// Requests that it runs at once.
    pub slots: usize,
}

impl BackendRecord {
    /// Returns whether `other` tells of the same run of the backend server.
    pub fn is_same_run(&self, other: &BackendRecord) -> bool {
        self.born_ms == other.born_ms
            && self.address == other.address
            && self.service == other.service
    }

    /// Returns whether this record was written before `other`, though it may arrive later.
    pub fn is_older_than(&self, other: &BackendRecord) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(own), Some(known)) if own != known => own < known,
            (Some(_), Some(_)) => self.sequence < other.sequence,
            _ => false,
        }
    }
}
