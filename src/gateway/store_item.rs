//! The items of the store as typed values, independent of the platform's keys and formats.

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::backend_record::BackendRecord;
use crate::gateway::routing_document::RoutingDocument;
use crate::name::Name;

/// Position in the changes of the store.
///
/// A store that comes back from an older copy starts a new era, in which revisions go back and are
/// given out again; so positions are compared by era first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize_tuple, Eq, Ord, PartialEq, PartialOrd, Serialize_tuple,
)]
pub struct StorePosition {
    /// Number of times that the store has come back from an older copy.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

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
    /// New work must keep away from a data centre; not sent to builds that do not know it.
    Evacuated {
        /// Name of the data centre.
        data_centre: Name,
    },
    /// A data centre is no longer evacuated; not sent to builds that do not know it.
    EvacuationEnded {
        /// Name of the data centre.
        data_centre: Name,
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
    /// Position of the store when the page was read.
    pub position: StorePosition,
}

/// Changes after a revision, or a full listing.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreChanges {
    /// Items in order.
    pub items: Vec<StoreItem>,
    /// Position from which to continue.
    pub position: StorePosition,
}
