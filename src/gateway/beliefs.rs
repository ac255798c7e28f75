//! What an instance believes of documents and backend servers, from the store or another instance.

use std::sync::Arc;

use crate::gateway::backends::RecordChange;
use crate::gateway::routing_document::RoutingDocument;
use crate::gateway::routing_table::RoutingTable;
use crate::gateway::state::State;
use crate::gateway::store_fact::{StoreChanges, StoreFact};
use crate::gateway::store_log::StoreNews;
use crate::name::Name;

/// A change of belief that is worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Belief {
    /// A record of a backend server changed what is known of it.
    Backend {
        /// Id of the backend server.
        id: Name,
        /// What changed.
        change: RecordChange,
    },
    /// A document is in force.
    Document {
        /// Its version.
        version: u64,
        /// The version before.
        before: u64,
    },
    /// Something of the store can't be read.
    Unreadable {
        /// What it is.
        item: Name,
        /// What is wrong with it.
        detail: String,
    },
}

impl State {
    /// Takes in what changed in the store; nothing newer had been written at `proved_ms`.
    pub fn learn(&mut self, now_ms: u64, proved_ms: u64, changes: StoreChanges) -> Vec<Belief> {
        let beliefs = self.take_changes(now_ms, changes);
        self.prove(proved_ms);
        beliefs
    }

    /// Takes in a whole listing, asked for at `asked_ms`: backend servers that it does not name are
    /// gone.
    pub fn learn_all(&mut self, now_ms: u64, asked_ms: u64, listing: StoreChanges) -> Vec<Belief> {
        let beliefs = self.take_listing(now_ms, listing);
        self.history_lost = None;
        self.prove(asked_ms);
        beliefs
    }

    /// Takes in what another instance knew more.
    pub fn learn_news(&mut self, now_ms: u64, news: StoreNews) -> Vec<Belief> {
        let StoreNews { document, facts, revision, whole } = news;
        let document = document.map(|document| StoreFact::Document(Ok(Box::new(document))));
        let facts = facts.into_iter().chain(document).collect();
        let changes = StoreChanges { facts, revision };
        if whole { self.take_listing(now_ms, changes) } else { self.take_changes(now_ms, changes) }
    }

    /// Returns what an instance lacks that knows the store up to `after` and has a document of this
    /// version.
    pub fn news_after(&self, after: Option<u64>, version: u64) -> Option<StoreNews> {
        let revision = self.store_revision?;
        let changed = after.and_then(|after| self.store_log.after(after));
        let whole = changed.is_none();
        let facts = changed.unwrap_or_else(|| self.backends.facts());
        let is_newer = self.table.version() > version;
        let document = is_newer.then(|| (*self.document).clone());
        Some(StoreNews { document, facts, revision, whole })
    }

    /// Notes that the store no longer tells what changed after the known revision, so that it has
    /// to be listed.
    pub fn lose_history(&mut self) {
        self.history_lost = self.store_revision;
    }

    /// Takes in a document; an older one than that in force is left out.
    pub fn adopt(&mut self, now_ms: u64, document: RoutingDocument) -> Option<Belief> {
        let before = self.table.version();
        if document.version <= before {
            return None;
        }
        self.table = RoutingTable::new(document.clone());
        self.document = Arc::new(document);
        self.limits.set_customers(now_ms, self.table.customers());
        Some(Belief::Document { version: self.table.version(), before })
    }

    fn prove(&mut self, proved_ms: u64) {
        if self.table.version() > 0 {
            self.freshness.prove(proved_ms);
        }
    }

    /// Takes in changes unless what is known is as new; they may begin before it.
    fn take_changes(&mut self, now_ms: u64, changes: StoreChanges) -> Vec<Belief> {
        let StoreChanges { facts, revision } = changes;
        if self.store_revision.is_none_or(|known| revision <= known) {
            return Vec::new();
        }
        self.store_revision = Some(revision);
        self.store_log.push(revision, &facts);
        self.take_facts(now_ms, facts)
    }

    fn take_listing(&mut self, now_ms: u64, listing: StoreChanges) -> Vec<Belief> {
        let StoreChanges { mut facts, revision } = listing;
        if self.store_revision.is_some_and(|known| revision <= known) {
            return Vec::new();
        }
        self.store_revision = Some(revision);
        self.store_log.restart(revision);
        let named = |fact: &StoreFact| match fact {
            StoreFact::Backend { id, .. } => Some(id.clone()),
            _ => None,
        };
        let mut named: Vec<Name> = facts.iter().filter_map(named).collect();
        named.sort();
        let mut missing = self.backends.present_ids();
        missing.retain(|id| named.binary_search(id).is_err());
        facts.extend(missing.into_iter().map(|id| StoreFact::BackendGone { id }));
        self.take_facts(now_ms, facts)
    }

    fn take_facts(&mut self, now_ms: u64, facts: Vec<StoreFact>) -> Vec<Belief> {
        let beliefs = facts.into_iter().filter_map(|fact| self.take_fact(now_ms, fact)).collect();
        if !self.is_behind() {
            self.behind_since_ms = None;
        }
        beliefs
    }

    fn take_fact(&mut self, now_ms: u64, fact: StoreFact) -> Option<Belief> {
        match fact {
            StoreFact::Backend { id, record: Ok(record) } => {
                let change = self.backends.publish(&id, record);
                if change == RecordChange::Restarted {
                    self.found_dead(now_ms, &id);
                }
                (change != RecordChange::Unchanged).then_some(Belief::Backend { id, change })
            }
            StoreFact::Backend { id, record: Err(detail) } => {
                self.backends.remove(now_ms, &id);
                Some(Belief::Unreadable { item: id, detail })
            }
            StoreFact::BackendGone { id } => {
                self.found_dead(now_ms, &id);
                let change = self.backends.remove(now_ms, &id);
                (change != RecordChange::Unchanged).then_some(Belief::Backend { id, change })
            }
            StoreFact::Document(Ok(document)) => self.adopt(now_ms, *document),
            StoreFact::Document(Err(detail)) => {
                Some(Belief::Unreadable { item: "document".into(), detail })
            }
            StoreFact::Unrelated => None,
        }
    }
}
