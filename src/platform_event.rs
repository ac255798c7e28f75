//! The events that the watch of the platform reports to the control thread.

use serde::{Deserialize, Serialize};

use crate::config_event::ConfigDocument;
use crate::name::Name;

/// One entry of the platform's list, which may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ListedInstance {
    /// Name of an instance or a backend server.
    pub name: Name,
    /// Its state.
    pub state: ListedState,
}

/// State of an entry of the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is leaving.
    Leaving,
    /// It is live.
    Live,
}

/// A result of a read from the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformEvent {
    /// A document was read; it may be older than the one in force.
    Document(ConfigDocument),
    /// The list was read, sorted by name.
    Instances(Vec<ListedInstance>),
    /// A read failed.
    Unreachable,
}

/// Receives the events of the watch.
pub trait PlatformSink: Send + Sync {
    /// Receives one event. It is called on the threads of the watch.
    fn deliver(&self, event: PlatformEvent);
}
