//! Which instance reads the store, and when.
//!
//! In each cell the first instance by name whose calls are answered watches the store; the others
//! hear of changes and proofs from it, and read the store themselves only if these stay away. So
//! the calls to the store do not grow with the instances of a cell.

use crate::gateway::peer_digest::Digest;
use crate::gateway::state::GatewayState;

/// Time that a watch waits for a change, as a share of the shortest bound on news.
const WATCH_SHARE: f64 = 0.5;
/// Age of the proof at which an instance that does not watch reads the store, as a share of the
/// shortest bound on news.
const READ_SHARE: f64 = 0.65;
/// By how much later each further instance of a cell reads, so that one read serves all, in
/// milliseconds.
const STAGGER_MS: u64 = 25;
/// Time for which another instance may know more before this one reads the store, in milliseconds.
const BEHIND_LIMIT_MS: u64 = 250;

/// What to ask of the store now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreRead {
    /// What changed after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long the store waits for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Everything.
    List,
    /// Nothing for this long, in milliseconds.
    Nothing(u64),
}

impl GatewayState {
    /// Returns what to ask of the store now.
    pub fn next_store_read(&self, now_ms: u64) -> StoreRead {
        let Some(after) = self.store_revision else { return StoreRead::List };
        if self.history_lost.is_some_and(|lost| after <= lost) {
            return StoreRead::List;
        }
        let bound_ms = self.settings.bounds.shortest_update_ms() as f64;
        let before = self.peers.readers_before(now_ms, &self.settings.instance);
        let reads_elsewhere = before > 0 || self.peers.has_reader(now_ms);
        if before == 0 && (self.store_reachable || !reads_elsewhere) {
            return StoreRead::Changes { after, wait_ms: (bound_ms * WATCH_SHARE) as u64 };
        }
        let read_ms = (bound_ms * READ_SHARE) as u64 + before as u64 * STAGGER_MS;
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

    /// Returns the revision up to which the store is known.
    pub fn store_revision(&self) -> Option<u64> {
        self.store_revision
    }

    /// Notes whether the last call to the store was answered.
    pub fn set_store_reachable(&mut self, store_reachable: bool) {
        self.store_reachable = store_reachable;
    }

    /// Notes that another instance knows of this revision and this version.
    pub(crate) fn record_peer_versions(&mut self, now_ms: u64, revision: u64, version: u64) {
        self.peer_revision = self.peer_revision.max(revision);
        self.peer_version = self.peer_version.max(version);
        if self.is_behind() {
            self.behind_since_ms.get_or_insert(now_ms);
        }
    }

    /// Notes that the store was asked; what is still missing counts from now.
    pub(crate) fn record_store_read(&mut self, now_ms: u64) {
        self.behind_since_ms = self.is_behind().then_some(now_ms);
    }

    /// Returns whether an instance knows something that is not known here.
    pub fn lacks(&self, digest: &Digest) -> bool {
        digest.document_version > self.table.version()
            || (digest.store_revision > self.store_revision.unwrap_or_default()
                && self.peers.is_in_own_cell(&digest.instance))
    }

    /// Returns whether another instance has told of something that is not known here.
    pub fn is_behind(&self) -> bool {
        !self.is_up_to_date() || self.peer_revision > self.store_revision.unwrap_or_default()
    }
}
