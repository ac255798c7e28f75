//! The fixed prefix that each part of the program gives its log lines.
//!
//! A part logs with its prefix as target: `log::info!(target: PEER, "The link is open.")`.

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
