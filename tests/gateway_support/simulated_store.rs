//! A store that the instances of a simulated fleet read, and from which some may be cut.

#![allow(dead_code, reason = "each test takes what it needs")]

use std::collections::BTreeMap;

use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::routing_document::RoutingDocument;
use bergamotspan::gateway::store_item::{StoreChanges, StoreItem};
use bergamotspan::name::Name;

use crate::gateway_support::{backend, position};
use crate::simulated_fleet::SimulatedFleet;

/// Time between two reads of an instance, in milliseconds.
const READ_MS: u64 = 200;
/// Time for which an answer of the store is on its way, in milliseconds.
const WAY_MS: u64 = 20;

/// Items of the store, with all changes since its start.
pub struct SimulatedStore {
    /// Whether an instance can't read it.
    pub is_cut: Vec<bool>,
    /// Whether instances that could not read it list it again, instead of reading the changes.
    pub lists_again: bool,
    changes: Vec<StoreItem>,
    document: RoutingDocument,
    records: BTreeMap<Name, BackendRecord>,
    was_cut: Vec<bool>,
}

impl SimulatedStore {
    pub fn new(instances: usize, document: RoutingDocument) -> Self {
        Self {
            is_cut: vec![false; instances],
            lists_again: false,
            changes: Vec::new(),
            document,
            records: BTreeMap::new(),
            was_cut: vec![false; instances],
        }
    }

    pub fn put(&mut self, id: &Name, record: BackendRecord) {
        self.records.insert(id.clone(), record.clone());
        self.changes.push(backend(id, record));
    }

    pub fn remove(&mut self, id: &Name) {
        self.records.remove(id);
        self.changes.push(StoreItem::BackendGone { id: id.clone() });
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64 + 1
    }

    /// Lets the instances read whose turn it is.
    pub fn step(&mut self, fleet: &mut SimulatedFleet) {
        let now_ms = fleet.now_ms;
        for at in 0..self.is_cut.len() {
            let reads = (now_ms + at as u64 * 10).is_multiple_of(READ_MS);
            if self.is_cut[at] {
                self.was_cut[at] = true;
            }
            let reads = reads && !fleet.is_still[at];
            let Some(state) = fleet.states[at].as_mut().filter(|_| reads) else { continue };
            state.set_store_reachable(!self.is_cut[at]);
            if self.is_cut[at] {
                continue;
            }
            let was_cut = std::mem::take(&mut self.was_cut[at]);
            let read_ms = now_ms - WAY_MS;
            let position = position(self.revision());
            match state.store_position() {
                Some(known) if !(was_cut && self.lists_again) => {
                    let items = self.changes[known.revision as usize - 1..].to_vec();
                    state.apply_store_changes(now_ms, read_ms, StoreChanges { items, position });
                }
                known => {
                    if known.is_some() {
                        state.set_history_lost();
                    }
                    let records = self.records.iter();
                    let records = records.map(|(id, record)| backend(id, record.clone()));
                    let document = StoreItem::Document(Ok(Box::new(self.document.clone())));
                    let items = std::iter::once(document).chain(records).collect();
                    state.apply_store_listing(now_ms, read_ms, StoreChanges { items, position });
                }
            }
            fleet.send_outbox(at);
        }
        for (at, from) in std::mem::take(&mut fleet.fetches) {
            let Some(state) = &fleet.states[at] else { continue };
            let (after, version) = (state.store_position(), state.table().version());
            let sender = fleet.states[from].as_ref();
            let update = sender.and_then(|sender| sender.store_update_since(after, version));
            if let (Some(update), Some(state)) = (update, &mut fleet.states[at]) {
                state.apply_store_update(now_ms, update);
                fleet.send_outbox(at);
            }
        }
    }
}
