//! Decides which instance of a cell reads the store, and when.
//!
//! In each cell the first instance by name whose calls are answered watches the store; the others
//! receive changes and proofs from it, and read the store themselves only if these fail to arrive.
//! So the number of calls to the store does not grow with the instances of a cell.

use crate::gateway::peer_digest::Digest;
use crate::gateway::state::GatewayState;

/// Time that a watch waits for a change, as a share of the shortest update bound.
const WATCH_SHARE: f64 = 0.5;
/// Age of the proof at which an instance that does not watch reads the store, as a share of the
/// shortest update bound.
const READ_SHARE: f64 = 0.65;
/// Time by which each further instance of a cell reads later, so that one read serves all, in
/// milliseconds.
const STAGGER_MS: u64 = 25;
/// Time for which a peer may be ahead before this instance reads the store, in milliseconds.
const BEHIND_LIMIT_MS: u64 = 250;

/// Next read of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreRead {
    /// Read the changes after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// Time for which the store waits for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Read a full listing.
    List,
    /// Read nothing for this time, in milliseconds.
    Nothing(u64),
}

impl GatewayState {
    /// Returns the next read of the store.
    pub fn next_store_read(&self, now_ms: u64) -> StoreRead {
        let Some(after) = self.store_revision else { return StoreRead::List };
        if self.history_lost.is_some_and(|lost| after <= lost) {
            return StoreRead::List;
        }
        let bound_ms = self.settings.bounds.shortest_update_ms() as f64;
        let readers_before = self.peers.readers_before(now_ms, &self.settings.instance);
        let reads_elsewhere = readers_before > 0 || self.peers.has_reader(now_ms);
        if readers_before == 0 && (self.store_reachable || !reads_elsewhere) {
            return StoreRead::Changes { after, wait_ms: (bound_ms * WATCH_SHARE) as u64 };
        }
        let read_ms = (bound_ms * READ_SHARE) as u64 + readers_before as u64 * STAGGER_MS;
        let proof_left_ms = read_ms.saturating_sub(self.proof_age_ms(now_ms).unwrap_or(read_ms));
        let behind_left_ms = self
            .behind_since_ms
            .map(|since_ms| (since_ms + BEHIND_LIMIT_MS).saturating_sub(now_ms))
            .unwrap_or(u64::MAX);
        match proof_left_ms.min(behind_left_ms) {
            0 => StoreRead::Changes { after, wait_ms: 1 },
            left_ms => StoreRead::Nothing(left_ms),
        }
    }

    /// Returns the revision up to which changes of the store are applied.
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }

    /// Records whether the store answered the last call.
    pub fn set_store_reachable(&mut self, store_reachable: bool) {
        self.store_reachable = store_reachable;
    }

    /// Records the revision and document version reported by another instance.
    pub(crate) fn record_peer_versions(&mut self, now_ms: u64, revision: u64, version: u64) {
        self.peer_revision = self.peer_revision.max(revision);
        self.peer_version = self.peer_version.max(version);
        if self.is_behind() {
            self.behind_since_ms.get_or_insert(now_ms);
        }
    }

    /// Records that the store was read; the time for which a peer is ahead starts anew.
    pub(crate) fn record_store_read(&mut self, now_ms: u64) {
        self.behind_since_ms = self.is_behind().then_some(now_ms);
    }

    /// Returns whether this instance lacks something that the sender of the digest has: a newer
    /// document, or a newer revision within the own cell.
    pub fn lacks(&self, digest: &Digest) -> bool {
        digest.document_version > self.table.version()
            || (digest.store_revision > self.store_revision.unwrap_or_default()
                && self.peers.is_in_own_cell(&digest.instance))
    }

    /// Returns whether a peer has reported a newer document, or one of the own cell a newer
    /// revision.
    pub fn is_behind(&self) -> bool {
        !self.is_up_to_date() || self.peer_revision > self.store_revision.unwrap_or_default()
    }
}
