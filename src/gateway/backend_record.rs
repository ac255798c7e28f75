//! The record that a backend server publishes about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::gateway::rate_limit::cold::ColdLeft;
use crate::name::Name;

/// Published record of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendRecord {
    /// Address for requests.
    pub address: SocketAddr,
    /// Start of the backend server, in Unix milliseconds, if it is published.
    pub born_ms: Option<u64>,
    /// How long it stays cold.
    #[serde(default)]
    pub cold_left: ColdLeft,
    /// Data centre of the backend server.
    pub data_centre: Name,
    /// Whether it accepts no new requests because it is about to leave.
    pub leaving: bool,
    /// Number of the record since the start of the backend server.
    pub sequence: u64,
    /// Name of its service.
    pub service: Name,
    /// Requests that it can run at once.
    pub slots: usize,
    /// Version of its software; what two versions write does not fit together.
    pub software_version: Name,
}

impl BackendRecord {
    /// Returns whether `other` is a record of the same run of the backend server.
    pub fn is_same_run(&self, other: &BackendRecord) -> bool {
        self.born_ms == other.born_ms
            && self.address == other.address
            && self.service == other.service
            && self.software_version == other.software_version
    }

    /// Returns whether this record was written before `other`; records may arrive out of order.
    pub fn is_older_than(&self, other: &BackendRecord) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(own), Some(known)) if own != known => own < known,
            (Some(_), Some(_)) => self.sequence < other.sequence,
            _ => false,
        }
    }
}
