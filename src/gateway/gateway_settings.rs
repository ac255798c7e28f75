//! The settings of one gateway instance, and the time bounds and budgets of the whole deployment.

use std::net::SocketAddr;

use crate::intake::intake_limits::IntakeLimits;
use crate::name::Name;

/// Share of what a cold backend server may get in one second that is planned for.
const COLD_SHARE: f64 = 0.6;

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
    /// Limits on what callers may hold of the instance.
    pub intake: IntakeLimits,
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
    /// Share of what a cold backend server bears that all instances together may send it in a second.
    pub cold_over: f64,
    /// Further requests that it may get in a second.
    pub cold_slack: f64,
    /// Time from a backend server's announcement that it leaves until no request is sent to it, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time from the request to evacuate a data centre until no request is sent to its backend
    /// servers, in milliseconds.
    pub evacuation_ms: u64,
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
            cold_over: 1.5,
            cold_slack: 5.0,
            drain_ms: 2_000,
            evacuation_ms: 5_000,
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
    /// Returns the rate at which a cold backend server that bears `millirequests_per_s` gets requests,
    /// in thousandths of a request a second: what it bears, and so little of what it may get in one
    /// second that sends which arrive together, or from two coordinators for a while, fit in.
    pub fn cold_millirequests_per_s(&self, millirequests_per_s: u64) -> u64 {
        let most = millirequests_per_s as f64 * self.cold_over + self.cold_slack * 1_000.0;
        let planned = (most * COLD_SHARE).max(1.0) as u64;
        millirequests_per_s.min(planned)
    }

    /// Returns the shortest time in which changes of the store must be in force, in milliseconds.
    pub fn shortest_update_ms(&self) -> u64 {
        self.drain_ms.min(self.publish_ms).min(self.evacuation_ms)
    }
}
