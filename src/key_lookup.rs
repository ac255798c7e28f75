//! Queries the home of a key for the request that holds it, for a caller that joins or cancels.

use crate::core::Core;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;

/// Time after which a lookup expires and a reply of the home is ignored, in milliseconds.
const LOOKUP_LIMIT_MS: u64 = 3_000;

/// A query to the home of a key that has no reply yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KeyLookup {
    /// Monotonic time of the query, in milliseconds.
    pub queried_ms: u64,
    /// The key.
    pub key: Name,
}

impl Core {
    /// Queries the home of a key for its holder.
    pub(crate) fn query_key_home(&mut self, now: Now, sequence: u64, key: Name) {
        let home = self.view.home(&key);
        let lookup = KeyLookup { queried_ms: now.monotonic_ms, key: key.clone() };
        self.key_lookups.insert(sequence, lookup);
        if home == self.own_name() {
            let holder = self.key_home.holder(&key);
            self.receive_holder(sequence, &key, holder);
            return;
        }
        self.send(&home, PeerMessage::KeyQuery { key, sequence });
    }

    /// Removes the pending lookup of this key under this number, and returns whether there was one.
    ///
    /// A reply to an earlier incarnation may carry a number that belongs to another caller by now.
    pub(crate) fn take_lookup(&mut self, sequence: u64, key: &Name) -> bool {
        let is_pending = self.key_lookups.get(&sequence).is_some_and(|lookup| lookup.key == *key);
        if is_pending {
            self.key_lookups.remove(&sequence);
        }
        is_pending
    }

    pub(crate) fn expire_lookups(&mut self, now: Now) {
        self.key_lookups.retain(|_, lookup| lookup.queried_ms + LOOKUP_LIMIT_MS > now.monotonic_ms);
    }
}
