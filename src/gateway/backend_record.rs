//! The record that a backend server publishes about itself.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::gateway::rate_limit::cold::ColdLeft;
use crate::name::Name;

/// Most slots of a backend server; a record with more is not of one.
const MAX_SLOTS: usize = 1_000_000;
/// Longest name in a record, in bytes.
const NAME_LIMIT_BYTES: usize = 200;

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
    /// Returns why this can't be the record of a backend server with this id, if it can't.
    pub fn fault(&self, id: &str) -> Option<&'static str> {
        let names = [id, &self.data_centre, &self.service, &self.software_version];
        let ip = self.address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        // The id is sent as a header.
        let is_header_value = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_graphic());
        let faults = [
            (!is_header_value, "the id is no header value"),
            (names.iter().any(|name| name.len() > NAME_LIMIT_BYTES), "a name is too long"),
            (self.address.port() == 0 || ip.is_unspecified(), "the address is incomplete"),
            (ip.is_multicast() || is_broadcast, "the address is not of one machine"),
            (self.slots > MAX_SLOTS, "the number of slots is too large"),
        ];
        faults.into_iter().find_map(|(is_fault, text)| is_fault.then_some(text))
    }

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
