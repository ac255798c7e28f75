//! The targets of the log lines of the adapters, one for each part of the program. The decision
//! core names the targets of its own lines.
//!
//! Example: `log::info!(target: PEER, "Link opened.")`.

/// The interface for callers.
pub const CALLER: &str = "caller";
/// Adoption of published configuration.
pub const CONFIG: &str = "config";
/// Connections to backend servers.
pub const DISPATCH: &str = "dispatch";
/// Idempotency keys.
pub const KEYS: &str = "keys";
/// Links to other instances.
pub const PEER: &str = "peer";
/// The platform's service.
pub const PLATFORM: &str = "platform";
/// Quarantine of requests.
pub const QUARANTINE: &str = "quarantine";
/// Choice of backend servers.
pub const SCHEDULER: &str = "scheduler";
/// Planned stops.
pub const SHUTDOWN: &str = "shutdown";
/// Traces and metrics.
pub const TELEMETRY: &str = "telemetry";
