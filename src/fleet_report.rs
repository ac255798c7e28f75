//! The status of all instances of the fleet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::status_report::StatusReport;

/// Status of all instances, sorted by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetReport {
    /// The instances.
    pub instances: Vec<FleetMember>,
}

/// One instance and its status.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetMember {
    /// Address of its interface for callers.
    pub address: SocketAddr,
    /// Reason why the status could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Name.
    pub name: String,
    /// Status that it reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<StatusReport>,
}

impl FleetReport {
    /// Returns whether every instance answered.
    pub fn is_complete(&self) -> bool {
        self.instances.iter().all(|member| member.status.is_some())
    }
}
