//! The settings of the links to other instances.

use std::net::{Ipv4Addr, SocketAddr};

use crate::name::Name;

const HEARTBEAT_INTERVAL_DEFAULT_MS: u64 = 200;
const QUEUE_LIMIT_DEFAULT_MESSAGES: usize = 4_096;
const SILENCE_LIMIT_HEARTBEATS: u64 = 3;

/// Settings of the links to other instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerLinksSettings {
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Incarnation of this instance.
    pub incarnation: u64,
    /// Address to listen on; port 0 selects any free port.
    pub listen_address: SocketAddr,
    /// Name of this instance.
    pub name: Name,
    /// Maximum number of messages that are queued for one link.
    pub queue_limit_messages: usize,
}

impl PeerLinksSettings {
    /// Returns a builder with the defaults.
    pub fn builder(name: Name, incarnation: u64) -> PeerLinksSettingsBuilder {
        PeerLinksSettingsBuilder {
            settings: Self {
                heartbeat_interval_ms: HEARTBEAT_INTERVAL_DEFAULT_MS,
                incarnation,
                listen_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
                name,
                queue_limit_messages: QUEUE_LIMIT_DEFAULT_MESSAGES,
            },
        }
    }

    /// Returns the silence after which a link is closed, in milliseconds.
    pub fn silence_limit_ms(&self) -> u64 {
        self.heartbeat_interval_ms.saturating_mul(SILENCE_LIMIT_HEARTBEATS)
    }
}

/// Builds [`PeerLinksSettings`].
#[derive(Clone, Debug)]
pub struct PeerLinksSettingsBuilder {
    settings: PeerLinksSettings,
}

impl PeerLinksSettingsBuilder {
    /// Returns the settings.
    pub fn build(self) -> PeerLinksSettings {
        self.settings
    }

    /// Sets the time between two heartbeats, in milliseconds.
    pub fn heartbeat_interval_ms(mut self, heartbeat_interval_ms: u64) -> Self {
        self.settings.heartbeat_interval_ms = heartbeat_interval_ms;
        self
    }

    /// Sets the address to listen on.
    pub fn listen_address(mut self, listen_address: SocketAddr) -> Self {
        self.settings.listen_address = listen_address;
        self
    }

    /// Sets the maximum number of messages that are queued for one link.
    pub fn queue_limit_messages(mut self, queue_limit_messages: usize) -> Self {
        self.settings.queue_limit_messages = queue_limit_messages;
        self
    }
}
