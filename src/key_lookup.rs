//! Asks the home of a key which request holds it, for a caller that joins or cancels.

use crate::core::Core;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::PeerMessage;

/// Time after which an answer of the home is of no use any more, in milliseconds.
const LOOKUP_LIMIT_MS: u64 = 3_000;

/// A question to the home of a key that has no answer yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KeyLookup {
    /// Monotonic time of the question, in milliseconds.
    pub queried_ms: u64,
    /// The key.
    pub key: Name,
}

impl Core {
    /// Asks for the holder of a key.
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

    /// Returns whether a question about this key waits under this number, and ends it.
    ///
    /// The answer to a question of an earlier incarnation comes with a number that may stand for
    /// another caller by now.
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
