//! Faults of a route, and what they do to the data of its connections.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Effect of a fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Closes connections and refuses new ones.
    Cut,
    /// Delays each chunk of data.
    Delay,
    /// Keeps connections open and holds all data.
    Freeze,
    /// Keeps connections open and holds the data to the client.
    FreezeToClient,
    /// Keeps connections open and holds the data to the target.
    FreezeToTarget,
    /// Holds all data of existing connections permanently; new connections work.
    HalfOpen,
    /// No fault.
    #[default]
    Pass,
}

/// A fault of a route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Fault {
    /// Effect.
    pub mode: FaultMode,
    /// Delay of each chunk of data in milliseconds, for `delay`.
    #[serde(default)]
    pub delay_ms: u64,
    /// Source address of the connections that the fault is limited to; all connections if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<IpAddr>,
}

/// Direction of data through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Direction {
    ToClient,
    ToTarget,
}

/// Whether a chunk of data is forwarded now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ForwardDecision {
    Close,
    Hold,
    Forward,
}

/// The faults of a route.
#[derive(Debug, Default)]
pub(super) struct Faults {
    route_fault: Fault,
    half_opened: Vec<(Instant, Option<IpAddr>)>,
    source_faults: Vec<(IpAddr, Fault)>,
}

impl Faults {
    /// Sets a fault. `pass` without a source clears all faults, but connections silenced by
    /// `half_open` stay silent.
    pub(super) fn set_fault(&mut self, fault: Fault, now: Instant) {
        if fault.mode == FaultMode::HalfOpen {
            self.half_opened.push((now, fault.source));
        }
        match fault.source {
            Some(source) => {
                self.source_faults.retain(|(fault_source, _)| *fault_source != source);
                if fault.mode != FaultMode::Pass {
                    self.source_faults.push((source, fault));
                }
            }
            None => {
                if fault.mode == FaultMode::Pass {
                    self.source_faults.clear();
                }
                self.route_fault = fault;
            }
        }
    }

    /// Decides on the data of a connection from `source` that was opened at `opened_at`.
    pub(super) fn decide(
        &self,
        source: IpAddr,
        opened_at: Instant,
        direction: Direction,
    ) -> ForwardDecision {
        let mode = self.active_fault(source).mode;
        if mode == FaultMode::Cut {
            return ForwardDecision::Close;
        }
        let silenced = self.half_opened.iter().any(|(at, fault_source)| {
            opened_at < *at && fault_source.is_none_or(|fault_source| fault_source == source)
        });
        let frozen = match mode {
            FaultMode::Freeze => true,
            FaultMode::FreezeToClient => direction == Direction::ToClient,
            FaultMode::FreezeToTarget => direction == Direction::ToTarget,
            FaultMode::Cut | FaultMode::Delay | FaultMode::HalfOpen | FaultMode::Pass => false,
        };
        if silenced || frozen { ForwardDecision::Hold } else { ForwardDecision::Forward }
    }

    /// Returns the delay of data from or to `source`.
    pub(super) fn delay(&self, source: IpAddr) -> Duration {
        let fault = self.active_fault(source);
        let delayed = fault.mode == FaultMode::Delay;
        Duration::from_millis(if delayed { fault.delay_ms } else { 0 })
    }

    fn active_fault(&self, source: IpAddr) -> Fault {
        let source_fault =
            self.source_faults.iter().find(|(fault_source, _)| *fault_source == source);
        source_fault.map_or(self.route_fault, |(_, fault)| *fault)
    }
}
