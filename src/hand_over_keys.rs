//! Sends what this instance knows of granted keys to the homes that come after it.

use crate::core::Core;
use crate::key_handover::KeySeal;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::{KeyRecord, PeerMessage};
use crate::request_id::RequestId;

/// Maximum number of records in one message, so that it fits the message size limit of a link.
pub(crate) const HANDOVER_LIMIT_RECORDS: usize = 2_000;

impl Core {
    /// Hands all keys over to the successors when this instance stops.
    pub(crate) fn hand_over_keys(&mut self, now: Now) {
        let records = self.key_home.hand_over();
        self.key_handover.observe(&self.membership.eligibility(now));
        let seals = self.key_handover.stop_seals(
            self.membership.retired_version(),
            &self.key_home,
            |peer| self.seal_takers.binary_search(peer).is_ok(),
        );
        let mut sealed_to: Vec<Name> = seals.iter().map(|(peer, _)| peer.clone()).collect();
        sealed_to.dedup();
        self.send_key_seals(seals);
        self.hand_over_records(records, &sealed_to);
    }

    /// Sends the seals of the list that was left, once they are due.
    pub(crate) fn send_seals(&mut self, now: Now) {
        self.key_handover.observe(&self.membership.eligibility(now));
        let seals = self.key_handover.due_seals(
            self.membership.retired_version(),
            &self.key_home,
            |peer| self.seal_takers.binary_search(peer).is_ok(),
        );
        self.send_key_seals(seals);
    }

    /// Records whether a peer takes seals, and sends them again on its new link.
    pub(crate) fn set_seal_taker(&mut self, peer: &Name, key_seals: bool) {
        match (self.seal_takers.binary_search(peer), key_seals) {
            (Err(index), true) => self.seal_takers.insert(index, peer.clone()),
            (Ok(index), false) => drop(self.seal_takers.remove(index)),
            _ => {}
        }
        self.key_handover.link_up(peer);
    }

    /// Releases a key, here and at its home if it was handed over since its grant.
    pub(crate) fn receive_release(&mut self, key: Name, request: RequestId) {
        let was_held = self.key_home.release(&key, &request);
        let home = self.view.home(&key);
        if was_held && home != self.own_name() {
            self.send(&home, PeerMessage::KeyRelease { key, request });
        }
    }

    fn send_key_seals(&mut self, seals: Vec<(Name, KeySeal)>) {
        for (peer, seal) in seals {
            self.send(&peer, PeerMessage::KeySeal(seal));
        }
    }

    /// Hands records over without a seal, to the successors that got none.
    fn hand_over_records(&mut self, records: Vec<KeyRecord>, sealed_to: &[Name]) {
        let own_name = self.own_name();
        let mut handovers: Vec<(Name, Vec<KeyRecord>)> = Vec::new();
        for record in records {
            let Some(successor) = self.view.successor(&record.key, &own_name) else { continue };
            if sealed_to.contains(&successor) {
                continue;
            }
            match handovers.binary_search_by(|(name, _)| name.cmp(&successor)) {
                Ok(index) => handovers[index].1.push(record),
                Err(index) => handovers.insert(index, (successor, vec![record])),
            }
        }
        for (successor, records) in handovers {
            for chunk in records.chunks(HANDOVER_LIMIT_RECORDS) {
                self.send(&successor, PeerMessage::KeyHandover(chunk.to_vec()));
            }
        }
    }
}
