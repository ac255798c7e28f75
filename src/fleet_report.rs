//! What all instances say of themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::status_report::StatusReport;

/// What all instances say of themselves, sorted by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetReport {
    /// The instances.
    pub instances: Vec<FleetMember>,
}

/// One instance and what it says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetMember {
    /// Address of its interface for callers.
    pub address: SocketAddr,
    /// Why there is no status.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Name.
    pub name: String,
    /// What it says of itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<StatusReport>,
}

impl FleetReport {
    /// Whether every instance answered.
    pub fn is_complete(&self) -> bool {
        self.instances.iter().all(|member| member.status.is_some())
    }
}
