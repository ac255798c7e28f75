//! The log of recent changes of the store, from which other instances receive what they lack.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::gateway::routing_document::RoutingDocument;
use crate::gateway::store_item::StoreItem;

/// Maximum number of changes that are kept; an instance that lacks more receives all backend
/// servers.
const CHANGE_LIMIT: usize = 256;

/// Changes from one answer of the store, up to a revision.
#[derive(Clone, Debug)]
struct Change {
    items: Vec<StoreItem>,
    revision: u64,
}

/// Recent changes of the store, in the order of revisions.
#[derive(Clone, Debug, Default)]
pub struct StoreLog {
    changes: VecDeque<Change>,
    /// Revision after which the log is complete.
    complete_since: u64,
}

/// Update for another instance: the changes that it lacks, or all backend servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreUpdate {
    /// The document in force, if the other instance has an older one.
    pub document: Option<RoutingDocument>,
    /// Changes of backend servers, in order.
    #[serde(rename = "facts")]
    pub items: Vec<StoreItem>,
    /// Revision of the store up to which the update is complete.
    pub revision: u64,
    /// Whether the items list all backend servers rather than changes.
    pub whole: bool,
}

impl StoreLog {
    /// Clears the log after a full listing at a revision.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.complete_since = revision;
    }

    /// Adds the changes up to a revision, except documents, which are sent from the state.
    pub fn push(&mut self, revision: u64, items: &[StoreItem]) {
        let is_kept = |item: &&StoreItem| {
            matches!(item, StoreItem::Backend { .. } | StoreItem::BackendGone { .. })
        };
        let items: Vec<_> = items.iter().filter(is_kept).cloned().collect();
        if items.is_empty() {
            return;
        }
        self.changes.push_back(Change { items, revision });
        if self.changes.len() > CHANGE_LIMIT
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_since = oldest.revision;
        }
    }

    /// Returns the changes after a revision, or `None` if the log does not reach back that far.
    pub fn after(&self, revision: u64) -> Option<Vec<StoreItem>> {
        if revision < self.complete_since {
            return None;
        }
        let missing = self.changes.iter().filter(|change| change.revision > revision);
        Some(missing.flat_map(|change| change.items.iter().cloned()).collect())
    }
}
