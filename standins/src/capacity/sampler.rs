//! Resource usage rates of an instance over a window of time.

use std::net::SocketAddr;
use std::time::Instant;

use serde_json::Value;

use super::usage::Usage;
use crate::fleet::{Fleet, FleetError, get_json};

/// Resource usage of an instance at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    taken_at: Instant,
    peer_bytes: u64,
    usage: Usage,
}

/// Resource usage of an instance between two samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsageRates {
    /// Processor time of control, in microseconds per second.
    pub control_us_per_s: f64,
    /// Bytes of peer messages, sent and received, per second.
    pub peer_bytes_per_s: f64,
    /// Resident memory at the end, in kilobytes.
    pub resident_kb: f64,
    /// Threads at the end.
    pub threads: f64,
    /// Processor time of all threads, in microseconds per second.
    pub total_us_per_s: f64,
}

impl Sample {
    /// Takes a sample of the instance at an index of the fleet.
    pub(super) fn take(fleet: &Fleet, index: usize) -> Result<Self, FleetError> {
        let instance = &fleet.instances[index];
        let peer_bytes = peer_bytes(instance.caller_address)?;
        let usage = Usage::read(instance.process.id());
        Ok(Self { taken_at: Instant::now(), peer_bytes, usage })
    }

    /// Returns the usage between this sample and a later one.
    pub(super) fn rates_until(&self, later: &Self) -> UsageRates {
        let elapsed_s = later.taken_at.duration_since(self.taken_at).as_secs_f64();
        let per_s = |from: u64, to: u64| to.saturating_sub(from) as f64 / elapsed_s;
        UsageRates {
            control_us_per_s: per_s(self.usage.control_ns, later.usage.control_ns) / 1_000.0,
            peer_bytes_per_s: per_s(self.peer_bytes, later.peer_bytes),
            resident_kb: later.usage.resident_kb as f64,
            threads: later.usage.threads as f64,
            total_us_per_s: per_s(self.usage.total_ns, later.usage.total_ns) / 1_000.0,
        }
    }
}

fn peer_bytes(address: SocketAddr) -> Result<u64, FleetError> {
    let status: Value = get_json(address, "/status")?;
    let traffic = &status["peer_traffic"];
    let bytes = |name: &str| traffic[name].as_u64().unwrap_or(0);
    Ok(bytes("received_bytes") + bytes("sent_bytes"))
}
