//! The items of the store as typed values, independent of the platform's keys and formats.

use serde::{Deserialize, Serialize};

use crate::gateway::backend_record::BackendRecord;
use crate::gateway::routing_document::RoutingDocument;
use crate::name::Name;

/// One item of the store, or its removal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreItem {
    /// A record of a backend server.
    Backend {
        /// Id of the backend server.
        id: Name,
        /// The record, or why it can't be read.
        record: Result<BackendRecord, String>,
    },
    /// The record of a backend server was removed.
    BackendGone {
        /// Id of the backend server.
        id: Name,
    },
    /// A routing document, or why it can't be read.
    Document(Result<Box<RoutingDocument>, String>),
    /// An item that is irrelevant to the gateway.
    Unrelated,
}

/// Page of a listing.
#[derive(Clone, Debug, PartialEq)]
pub struct StorePage {
    /// Items of the page.
    pub items: Vec<StoreItem>,
    /// Key after which the next page starts, if there is one.
    pub next_after: Option<String>,
    /// Revision of the store when the page was read.
    pub revision: u64,
}

/// Changes after a revision, or a full listing.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreChanges {
    /// Items in order.
    pub items: Vec<StoreItem>,
    /// Revision from which to continue.
    pub revision: u64,
}
