//! The settings of one instance, as read from its settings file.

use std::net::SocketAddr;

use crate::intake::intake_limits::IntakeLimits;
use crate::name::Name;

/// Settings of one instance, one field per section of the settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The interface for callers.
    pub caller: CallerSettings,
    /// Connections to backend servers.
    pub dispatch: DispatchSettings,
    /// The instance itself.
    pub instance: InstanceSettings,
    /// Idempotency keys.
    pub keys: KeySettings,
    /// Logs.
    pub log: LogSettings,
    /// Links to other instances.
    pub peer: PeerSettings,
    /// The platform's configuration service.
    pub platform: PlatformSettings,
    /// Planned stops.
    pub shutdown: ShutdownSettings,
    /// Traces and metrics.
    pub telemetry: TelemetrySettings,
}

/// Section `[caller]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerSettings {
    /// Longest answer that is kept while it arrives, in bytes.
    pub answer_limit_bytes: usize,
    /// Largest accepted request body, in bytes.
    pub body_limit_bytes: u64,
    /// Longest time until the next request head of a connection has arrived, in milliseconds.
    pub head_timeout_ms: u64,
    /// What callers may hold of the instance.
    pub intake: IntakeLimits,
    /// Address to listen on; port 0 selects any free port.
    pub listen_address: SocketAddr,
}

/// Section `[dispatch]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchSettings {
    /// Timeout for a connection to a backend server, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without data after which a stream is resumed on a new connection, in milliseconds.
    pub idle_limit_ms: u64,
    /// Time between two polls of a model engine's load and cache events, in milliseconds.
    pub load_interval_ms: u64,
    /// How a backend server is chosen for a request.
    pub policy: Policy,
    /// Consecutive attempts to resume a stream, without a new token, before its request fails.
    pub resume_limit: u32,
}

/// Section `[instance]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceSettings {
    /// Data centre of this instance.
    pub data_centre: Name,
    /// Name of this instance.
    pub name: Name,
}

/// Section `[keys]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeySettings {
    /// Maximum number of remembered keys.
    pub capacity: u32,
    /// Largest skew between the wall clocks of two instances, in milliseconds.
    pub clock_margin_ms: u64,
    /// Longest time from a claim to its verdict, in milliseconds; a later grant is released.
    pub grant_limit_ms: u64,
    /// Time for which a key is remembered, in milliseconds.
    pub lifetime_ms: u64,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    Text,
}

/// Section `[log]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of each line.
    pub format: LogFormat,
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Name,
}

/// Section `[peer]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Time for which a confirmation of a key home is valid, in milliseconds.
    pub confirmation_window_ms: u64,
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Address to listen on; port 0 selects any free port.
    pub listen_address: SocketAddr,
}

/// How a backend server is chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Baseline: each instance chooses the backend server with the smallest sum of its own requests
    /// in progress and the requests in the last load report.
    LeastOutstanding,
    /// Baseline: each instance chooses the backend servers in turn.
    RoundRobin,
    /// The coordinator of the service decides for all instances.
    Coordinator,
}

/// Section `[platform]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's service.
    pub address: SocketAddr,
    /// Longest time that one watch waits, in milliseconds.
    pub watch_timeout_ms: u64,
}

/// Section `[shutdown]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShutdownSettings {
    /// Time limit for running requests to finish, in milliseconds.
    pub drain_limit_ms: u64,
    /// Shortest time from the start of a stop to its end, in milliseconds, so that the load
    /// balancer notices the stop even if no requests are running.
    pub notice_ms: u64,
}

/// Section `[telemetry]`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TelemetrySettings {
    /// Time between two exports of metrics, in milliseconds.
    pub export_interval_ms: u64,
    /// Base address of an OTLP collector over HTTP; nothing is exported if absent.
    pub otlp_address: Option<SocketAddr>,
}
