//! The settings of one gateway instance, and the time bounds and budgets of the whole deployment.

use std::net::SocketAddr;

use crate::name::Name;

/// Settings of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Time bounds and budgets that operators guarantee to callers.
    pub bounds: Bounds,
    /// Share of a processor that the instance has, in thousandths.
    pub capacity: u32,
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Name of the instance.
    pub instance: Name,
    /// Address for operators' commands.
    pub operator_address: SocketAddr,
    /// Address for datagrams from other instances.
    pub peer_address: SocketAddr,
    /// Address of the readiness check of the balancer.
    pub readiness_address: SocketAddr,
    /// Peer addresses of some other instances; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store that operators write to.
    pub store_address: SocketAddr,
}

/// Time bounds and budgets for all instances together.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time from a backend server's announcement that it leaves until no request is sent to it, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Time from the publication of a document until it is in force, in milliseconds.
    pub publish_ms: u64,
    /// Retries of a service in one window that are always allowed, over all instances.
    pub retry_allowance: u32,
    /// Further retries of a service in one window, as a share of its requests.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Time from the revocation of a key until it no longer works, in milliseconds; `None` if it is
    /// not bounded.
    pub revocation_ms: Option<u64>,
    /// Share by which the limit of a customer may be exceeded in one window, over all instances.
    pub usage_excess: f64,
    /// Units by which it may be exceeded besides.
    pub usage_slack_units: u64,
    /// Length of the window in which units are counted, in milliseconds.
    pub usage_window_ms: u64,
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
            usage_excess: 0.0,
            usage_slack_units: 0,
            usage_window_ms: 8_000,
        }
    }
}

impl Bounds {
    /// Returns the shortest time in which changes of the store must be in force, in milliseconds.
    pub fn shortest_update_ms(&self) -> u64 {
        self.drain_ms.min(self.publish_ms)
    }
}
