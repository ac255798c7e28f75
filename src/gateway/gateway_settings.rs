//! Settings of one instance that forwards requests by published routes.

use std::net::SocketAddr;

use crate::name::Name;

/// Settings of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Time bounds and budgets that the operators promise to callers.
    pub bounds: Bounds,
    /// Address that takes requests.
    pub caller_address: SocketAddr,
    /// Data centre that the instance stands in.
    pub data_centre: Name,
    /// Name of the instance.
    pub instance: Name,
    /// Address that operators' commands are answered at.
    pub operator_address: SocketAddr,
    /// Address that datagrams from other instances arrive at.
    pub peer_address: SocketAddr,
    /// Address that tells the balancer whether the instance takes requests.
    pub readiness_address: SocketAddr,
    /// Peer addresses of some other instances, which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store that the operators write.
    pub store_address: SocketAddr,
}

/// Time bounds and budgets that hold for all instances together.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after a backend server's notice at which it gets nothing more, in milliseconds.
    pub drain_ms: u64,
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Time after a document's publication at which it is in force, in milliseconds.
    pub publish_ms: u64,
    /// Extra sends of a service in one window that do not count, over all instances.
    pub retry_allowance: u32,
    /// Extra sends of a service in one window, as a share of its requests.
    pub retry_ratio: f64,
    /// Length of a window of extra sends, in milliseconds.
    pub retry_window_ms: u64,
    /// Time after which a key that was taken away lets nothing run, in milliseconds.
    pub revocation_ms: Option<u64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_ms: 2_000,
            grace_ms: 8_000,
            publish_ms: 2_000,
            retry_allowance: 50,
            retry_ratio: 0.2,
            retry_window_ms: 10_000,
            revocation_ms: Some(5_000),
        }
    }
}

impl Bounds {
    /// Returns the shortest time within which news of the store have to be in force, in
    /// milliseconds.
    pub fn shortest_update_ms(&self) -> u64 {
        self.drain_ms.min(self.publish_ms)
    }
}
