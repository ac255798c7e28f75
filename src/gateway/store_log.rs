//! What the store told of late, kept for instances that have not heard it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::gateway::routing_document::RoutingDocument;
use crate::gateway::store_item::StoreItem;

/// Most changes that are kept; an instance that lacks more reads the store itself.
const CHANGE_LIMIT: usize = 256;

/// Changes of one answer of the store; they end at a revision.
#[derive(Clone, Debug)]
struct Change {
    items: Vec<StoreItem>,
    revision: u64,
}

/// What the store told of late, in the order of its revisions.
#[derive(Clone, Debug, Default)]
pub struct StoreLog {
    changes: VecDeque<Change>,
    /// Revision after which nothing is missing.
    complete_since: u64,
}

/// What another instance lacks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreUpdate {
    /// The document in force, if the other instance has an older one.
    pub document: Option<RoutingDocument>,
    /// What changed of backend servers, in order.
    #[serde(rename = "facts")]
    pub items: Vec<StoreItem>,
    /// Revision of the store up to which this tells all.
    pub revision: u64,
    /// Whether these are all backend servers rather than changes.
    pub whole: bool,
}

impl StoreLog {
    /// Begins anew after a whole listing.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.complete_since = revision;
    }

    /// Adds what the store told up to a revision; documents are kept elsewhere.
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

    /// Returns what changed after a revision, unless that is no longer known.
    pub fn after(&self, revision: u64) -> Option<Vec<StoreItem>> {
        if revision < self.complete_since {
            return None;
        }
        let missing = self.changes.iter().filter(|change| change.revision > revision);
        Some(missing.flat_map(|change| change.items.iter().cloned()).collect())
    }
}
