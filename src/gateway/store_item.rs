//! What the store tells: typed facts in place of keys and bytes.

use serde::{Deserialize, Serialize};

use crate::gateway::backend_record::BackendRecord;
use crate::gateway::routing_document::RoutingDocument;
use crate::name::Name;

/// One item of the store, or its removal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StoreItem {
    /// A record of a backend server; an error tells why it can't be read.
    Backend {
        /// Id of the backend server.
        id: Name,
        /// The record.
        record: Result<BackendRecord, String>,
    },
    /// A backend server's record is no longer there.
    BackendGone {
        /// Id of the backend server.
        id: Name,
    },
    /// A routing document; an error tells why it can't be read.
    Document(Result<Box<RoutingDocument>, String>),
    /// An item that says nothing to an instance.
    Unrelated,
}

/// One page of a listing.
#[derive(Clone, Debug, PartialEq)]
pub struct StorePage {
    /// Items of the page.
    pub items: Vec<StoreItem>,
    /// Key after which the next page begins, if there is one.
    pub next_after: Option<String>,
    /// Revision of the store when the page was read.
    pub revision: u64,
}

/// What changed after a revision, or all that there is.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreChanges {
    /// Items in order.
    pub items: Vec<StoreItem>,
    /// Revision to continue from.
    pub revision: u64,
}
