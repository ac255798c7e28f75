//! The log of recent changes of the store, from which other instances receive what they lack.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::gateway::fleet::additions::ToldEvacuations;
use crate::gateway::routing_document::RoutingDocument;
use crate::gateway::store_item::{StoreItem, StorePosition};

/// Maximum number of changes that are kept; an instance that lacks more receives all backend
/// servers.
const CHANGE_LIMIT: usize = 256;

/// Changes from one answer of the store, up to a position.
#[derive(Clone, Debug)]
struct Change {
    items: Vec<StoreItem>,
    position: StorePosition,
}

/// Recent changes of the store, in the order of positions.
#[derive(Clone, Debug, Default)]
pub struct StoreLog {
    changes: VecDeque<Change>,
    /// Position after which the log is complete.
    complete_since: StorePosition,
}

/// Update for another instance: the changes that it lacks, or all backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreUpdate {
    /// The document in force, if the other instance has an older one.
    pub document: Option<Arc<RoutingDocument>>,
    /// The same in packed form, in place of it for an instance that asks for that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<ByteBuf>,
    /// Changes of backend servers, in order.
    #[serde(rename = "facts")]
    pub items: Vec<StoreItem>,
    /// The evacuated data centres; `None` from a build that does not know them.
    #[serde(default)]
    pub evacuations: Option<ToldEvacuations>,
    /// Position of the store up to which the rest of the update is complete.
    pub position: StorePosition,
    /// Whether the items list all backend servers rather than changes.
    pub whole: bool,
}

impl StoreLog {
    /// Clears the log after a full listing at a position.
    pub fn restart(&mut self, position: StorePosition) {
        self.changes.clear();
        self.complete_since = position;
    }

    /// Adds the changes up to a position, except documents, which are sent from the state.
    pub fn push(&mut self, position: StorePosition, items: &[StoreItem]) {
        let is_kept = |item: &&StoreItem| {
            matches!(item, StoreItem::Backend { .. } | StoreItem::BackendGone { .. })
        };
        let items: Vec<_> = items.iter().filter(is_kept).cloned().collect();
        if items.is_empty() {
            return;
        }
        self.changes.push_back(Change { items, position });
        if self.changes.len() > CHANGE_LIMIT
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_since = oldest.position;
        }
    }

    /// Returns the changes after a position, or `None` if the log does not reach back that far.
    pub fn after(&self, position: StorePosition) -> Option<Vec<StoreItem>> {
        if position < self.complete_since {
            return None;
        }
        let missing = self.changes.iter().filter(|change| change.position > position);
        Some(missing.flat_map(|change| change.items.iter().cloned()).collect())
    }
}
