//! Decides which instance of a cell reads the store, and when.
//!
//! In each cell one instance that the store answers watches it, named by the coordinators; the others
//! receive changes and proofs from them, and read the store themselves only if these fail to arrive.
//! So the number of calls to the store grows with the cells and not with their instances.

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::state::GatewayState;
use crate::gateway::store_item::StorePosition;
use crate::gateway::update_fetch::UpdateFetch;

/// Time that a watch waits for a change, as a share of the shortest update bound.
const WATCH_SHARE: f64 = 0.5;
/// Age of the proof at which an instance that does not watch reads the store, as a share of the
/// shortest update bound.
const READ_SHARE: f64 = 0.65;
/// Time over which the instances of a cell spread such reads, so that one read serves all, as a share
/// of the shortest update bound.
const STAGGER_SHARE: f64 = 0.1;
/// Time after its start for which an instance waits to receive the state from others before it lists
/// the store, in milliseconds.
const START_WAIT_MS: u64 = 300;
/// Time for which a peer may be ahead before this instance reads the store, in milliseconds.
const BEHIND_LIMIT_MS: u64 = 250;

/// Next read of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreRead {
    /// Read the changes after a position.
    Changes {
        /// The position.
        after: StorePosition,
        /// Time for which the store waits for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Read a full listing.
    List,
    /// Read the changes after a position again, for the evacuations among them.
    Missed {
        /// The position.
        after: StorePosition,
    },
    /// Read nothing for this time, in milliseconds.
    Nothing(u64),
}

impl GatewayState {
    /// Returns the next read of the store.
    pub fn next_store_read(&self, now_ms: u64) -> StoreRead {
        let Some(after) = self.store_position else { return self.first_read(now_ms) };
        if self.history_lost.is_some_and(|lost| after <= lost)
            || self.relist_at_ms.is_some_and(|relist_ms| now_ms >= relist_ms)
        {
            return StoreRead::List;
        }
        let lacking_ms = match self.read_for_evacuations(now_ms) {
            Ok(read) => return read,
            Err(wait_ms) => wait_ms,
        };
        let bound_ms = self.settings.bounds.shortest_update_ms() as f64;
        if self.fleet.is_reader(now_ms, self.store_reachable) {
            return StoreRead::Changes { after, wait_ms: (bound_ms * WATCH_SHARE) as u64 };
        }
        let stagger_ms = (bound_ms * STAGGER_SHARE) as u64;
        let stagger_ms = xxh3_64(self.settings.instance.as_bytes()) % stagger_ms.max(1);
        let read_ms = (bound_ms * READ_SHARE) as u64 + stagger_ms;
        let proof_left_ms = read_ms.saturating_sub(self.proof_age_ms(now_ms).unwrap_or(read_ms));
        let behind_left_ms = self
            .behind_since_ms
            // The store would send the same again, over the same link.
            .filter(|_| !self.update_fetch.is_under_way())
            .map(|since_ms| (since_ms + BEHIND_LIMIT_MS).saturating_sub(now_ms))
            .unwrap_or(u64::MAX);
        match proof_left_ms.min(behind_left_ms) {
            0 => StoreRead::Changes { after, wait_ms: 1 },
            left_ms => StoreRead::Nothing(left_ms.min(lacking_ms)),
        }
    }

    /// Returns the first read: seeds list the store, the others wait for their update for a while.
    fn first_read(&self, now_ms: u64) -> StoreRead {
        let waits_until_ms = self.started_ms + START_WAIT_MS;
        if self.fleet.roster().is_seed(&self.settings.seeds) || now_ms >= waits_until_ms {
            return StoreRead::List;
        }
        StoreRead::Nothing(waits_until_ms - now_ms)
    }

    /// Returns the position up to which changes of the store are applied.
    pub fn store_position(&self) -> Option<StorePosition> {
        self.store_position
    }

    /// Records whether the store answered the last call.
    pub fn set_store_reachable(&mut self, store_reachable: bool) {
        self.fleet.is_urgent |= self.store_reachable != store_reachable;
        self.store_reachable = store_reachable;
    }

    /// Records the position and document version reported by another instance.
    pub(crate) fn record_peer_versions(
        &mut self,
        now_ms: u64,
        position: StorePosition,
        version: u64,
    ) {
        self.peer_position = self.peer_position.max(position);
        self.peer_version = self.peer_version.max(version);
        if self.is_behind() {
            self.behind_since_ms.get_or_insert(now_ms);
        }
    }

    /// Records that the store was read; the time for which a peer is ahead starts anew.
    pub(crate) fn record_store_read(&mut self, now_ms: u64) {
        // Its proof is worth passing on before others read the store as well.
        self.fleet.is_urgent |= !self.fleet.is_reader(now_ms, self.store_reachable);
        self.behind_since_ms = self.is_behind().then_some(now_ms);
        self.update_fetch.record_store_read();
    }

    /// Returns the fetches of updates from other instances.
    pub fn update_fetch_mut(&mut self) -> &mut UpdateFetch {
        &mut self.update_fetch
    }

    /// Returns the newest version of the document that this instance or another one has.
    pub fn newest_version(&self) -> u64 {
        self.peer_version.max(self.table.version())
    }

    /// Returns whether a peer has reported a newer document, or one of the own cell a newer
    /// position.
    pub fn is_behind(&self) -> bool {
        !self.is_up_to_date() || self.peer_position > self.store_position.unwrap_or_default()
    }
}
