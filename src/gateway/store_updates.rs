//! Applies documents and records of backend servers, read from the store or received from a peer,
//! to the state of the gateway.

use std::sync::Arc;

use crate::gateway::backends::RecordChange;
use crate::gateway::evacuation::evacuated_set::SetChange;
use crate::gateway::evacuation::following::{HeardFrom, fault_of};
use crate::gateway::packed_document::KeptDocument;
use crate::gateway::rate_limit::cold::ColdLeft;
use crate::gateway::routing_document::RoutingDocument;
use crate::gateway::routing_table::RoutingTable;
use crate::gateway::state::GatewayState;
use crate::gateway::store_item::{StoreChanges, StoreItem, StorePosition};
use crate::gateway::store_log::StoreUpdate;
use crate::name::Name;

/// A change of the state that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// The state of a backend server changed.
    Backend {
        /// Id of the backend server.
        id: Name,
        /// What changed.
        change: RecordChange,
    },
    /// A document came into force.
    Document {
        /// Its version.
        version: u64,
        /// Version of the previous document.
        before: u64,
    },
    /// Evacuations of data centres began or ended.
    Evacuations {
        /// Time since the first instance learned of it, as far as that is known, in milliseconds.
        age_ms: u64,
        /// What changed.
        change: SetChange,
        /// Where this instance has it from.
        from: HeardFrom,
    },
    /// An item of the store can't be read.
    Unreadable {
        /// Id of the backend server, or `document`.
        item: Name,
        /// Why it can't be read.
        detail: String,
    },
    /// A software version takes no streams that may be resumed for a while.
    VersionHeld {
        /// Name of the service.
        service: Name,
        /// The version.
        software_version: Name,
    },
}

/// Time after which a store that came back from an older copy has the records of all backend
/// servers that are alive, in milliseconds.
const ERA_SETTLE_MS: u64 = 2_500;

impl GatewayState {
    /// Applies changes of the store; nothing newer had been written at `proved_ms`.
    ///
    /// An answer of an earlier era changes and proves nothing.
    pub fn apply_store_changes(
        &mut self,
        now_ms: u64,
        proved_ms: u64,
        changes: StoreChanges,
    ) -> Vec<StateChange> {
        if self.is_of_earlier_era(changes.position) {
            return Vec::new();
        }
        let mut state_changes = self.merge_evacuations(now_ms, &changes);
        state_changes.extend(self.merge_changes(now_ms, changes));
        self.record_proof(proved_ms);
        state_changes
    }

    /// Applies a full listing of the store that was requested at `requested_ms`; backend servers
    /// missing from it are gone.
    ///
    /// A store that has just come back from an older copy may lack some of them, so what the first
    /// listing of an era lacks is gone only if the listing [`ERA_SETTLE_MS`] later lacks it as well.
    pub fn apply_store_listing(
        &mut self,
        now_ms: u64,
        requested_ms: u64,
        listing: StoreChanges,
    ) -> Vec<StateChange> {
        if self.is_of_earlier_era(listing.position) {
            return Vec::new();
        }
        let is_repeated = self.relist_at_ms.is_some() || self.history_lost.is_some();
        let is_new_era = self.store_position.is_some_and(|known| known.era < listing.position.era);
        if is_new_era {
            self.relist_at_ms = Some(now_ms + ERA_SETTLE_MS);
        } else if self.relist_at_ms.is_some_and(|relist_ms| now_ms >= relist_ms) {
            self.relist_at_ms = None;
        }
        let mut state_changes = self.merge_listed_evacuations(now_ms, &listing);
        state_changes.extend(self.merge_listing(now_ms, listing, is_repeated));
        self.history_lost = None;
        self.record_proof(requested_ms);
        state_changes
    }

    /// Applies an update from a peer, which is no proof that the document is the newest.
    pub fn apply_store_update(&mut self, now_ms: u64, update: StoreUpdate) -> Vec<StateChange> {
        let StoreUpdate { document, evacuations, items, position, whole, .. } = update;
        let document = document
            .map(|document| StoreItem::Document(Ok(Box::new(Arc::unwrap_or_clone(document)))));
        let items = items.into_iter().chain(document).collect();
        let changes = StoreChanges { items, position };
        let mut state_changes = match evacuations {
            Some(told) => self.apply_told_evacuations(now_ms, &told, HeardFrom::Update),
            None => Vec::new(),
        };
        state_changes.extend(match whole {
            true => self.merge_listing(now_ms, changes, false),
            false => self.merge_changes(now_ms, changes),
        });
        state_changes
    }

    /// Returns the update for an instance that has the store's changes up to `after` and a document
    /// of this version, or `None` if no revision is known here yet.
    pub fn store_update_since(
        &self,
        after: Option<StorePosition>,
        version: u64,
    ) -> Option<StoreUpdate> {
        let position = self.store_position?;
        let changed = after.and_then(|after| self.store_log.after(after));
        let whole = changed.is_none();
        let items = changed.unwrap_or_else(|| self.backends.items());
        let is_newer = self.table.version() > version;
        let document = is_newer.then(|| self.document.document().clone());
        let evacuations = self.evacuations_for_update();
        Some(StoreUpdate { document, evacuations, items, packed: None, position, whole })
    }

    /// Records that the store can no longer list the changes after the known revision, so that a
    /// full listing is needed.
    pub fn set_history_lost(&mut self) {
        self.history_lost = self.store_position;
    }

    /// Puts a document into force unless the present one is as new or newer.
    pub fn adopt(&mut self, now_ms: u64, document: RoutingDocument) -> Option<StateChange> {
        let before = self.table.version();
        if document.version <= before {
            return None;
        }
        let table = RoutingTable::new(document.clone());
        if table.has_moved_since(&self.table) {
            self.services_moved_ms = Some(now_ms);
            self.tell_own_origins();
        }
        self.origins.set_resumable_ms(table.longest_resumable_ms());
        self.table = table;
        self.update_cold_bounds();
        self.document = KeptDocument::new(document);
        self.limits.set_customers(now_ms, self.table.customers());
        Some(StateChange::Document { version: self.table.version(), before })
    }

    /// Records that the document in force was the newest at this time, in milliseconds of the boot
    /// clock.
    pub fn record_proof(&mut self, proved_ms: u64) {
        if self.table.version() > 0 {
            self.freshness.record_proof(proved_ms);
        }
    }

    fn is_of_earlier_era(&self, position: StorePosition) -> bool {
        self.store_position.is_some_and(|known| position.era < known.era)
    }

    /// Applies changes unless the known position is as new, or none is known yet; they may overlap
    /// with applied ones.
    fn merge_changes(&mut self, now_ms: u64, changes: StoreChanges) -> Vec<StateChange> {
        let StoreChanges { items, position } = changes;
        if self.store_position.is_none_or(|known| position <= known) {
            return Vec::new();
        }
        self.store_position = Some(position);
        self.store_log.push(position, &items);
        self.apply_items(now_ms, items)
    }

    /// Applies a listing unless the known position is newer, or as new and the listing is no
    /// repeated one.
    fn merge_listing(
        &mut self,
        now_ms: u64,
        listing: StoreChanges,
        is_repeated: bool,
    ) -> Vec<StateChange> {
        let StoreChanges { mut items, position } = listing;
        let is_outdated = |known| position < known || (position == known && !is_repeated);
        if self.store_position.is_some_and(is_outdated) {
            return Vec::new();
        }
        self.store_position = Some(position);
        self.store_log.restart(position);
        if self.relist_at_ms.is_some() {
            return self.apply_items(now_ms, items);
        }
        let listed = |item: &StoreItem| match item {
            StoreItem::Backend { id, .. } => Some(id.clone()),
            _ => None,
        };
        let mut listed: Vec<Name> = items.iter().filter_map(listed).collect();
        listed.sort();
        let mut missing = self.backends.present_ids();
        missing.retain(|id| listed.binary_search(id).is_err());
        items.extend(missing.into_iter().map(|id| StoreItem::BackendGone { id }));
        self.apply_items(now_ms, items)
    }

    fn apply_items(&mut self, now_ms: u64, items: Vec<StoreItem>) -> Vec<StateChange> {
        self.note_lacking_evacuations(now_ms);
        let mut state_changes: Vec<_> =
            items.into_iter().filter_map(|item| self.apply_item(now_ms, item)).collect();
        let is_of_backend = |change: &StateChange| matches!(change, StateChange::Backend { .. });
        if self.may_lack_versions(now_ms) || state_changes.iter().any(is_of_backend) {
            state_changes.extend(self.record_software_versions(now_ms));
        }
        if !self.is_behind() {
            self.behind_since_ms = None;
        }
        self.fleet.is_urgent = true;
        state_changes
    }

    fn apply_item(&mut self, now_ms: u64, item: StoreItem) -> Option<StateChange> {
        match item {
            StoreItem::Backend { id, record: Ok(record) } => {
                if let Some(fault) = record.fault(&id) {
                    self.backends.remove(now_ms, &id);
                    return Some(StateChange::Unreadable { item: id, detail: fault.to_owned() });
                }
                let is_unreadable = record.cold_left == ColdLeft::Unreadable;
                let change = self.backends.upsert(now_ms, &id, record);
                if is_unreadable {
                    self.note_unreadable_cold(&id);
                }
                if change == RecordChange::Restarted {
                    self.record_crash(now_ms, &id);
                }
                (change != RecordChange::Unchanged).then_some(StateChange::Backend { id, change })
            }
            StoreItem::Backend { id, record: Err(detail) } => {
                self.backends.remove(now_ms, &id);
                Some(StateChange::Unreadable { item: id, detail })
            }
            StoreItem::BackendGone { id } => {
                self.record_crash(now_ms, &id);
                let change = self.backends.remove(now_ms, &id);
                (change != RecordChange::Unchanged).then_some(StateChange::Backend { id, change })
            }
            StoreItem::Document(Ok(document)) => self.adopt(now_ms, *document),
            StoreItem::Document(Err(detail)) => {
                Some(StateChange::Unreadable { item: "document".into(), detail })
            }
            StoreItem::Evacuated { .. } => fault_of(&item),
            StoreItem::EvacuationEnded { .. } | StoreItem::Unrelated => None,
        }
    }
}
