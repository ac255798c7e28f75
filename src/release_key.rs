//! Releases a key at its home when its request did not run and never will.

use crate::core::Core;
use crate::name::Name;
use crate::peer_message::PeerMessage;

impl Core {
    pub(crate) fn release_key(&mut self, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        let Some(key) = request.arrival.key.clone() else { return };
        let home = self.view.home(&key);
        self.release_key_at(&home, &key, sequence);
    }

    pub(crate) fn release_key_at(&mut self, home: &Name, key: &Name, sequence: u64) {
        let request = self.request_id(sequence);
        if *home == self.own_name() {
            self.receive_release(key.clone(), request);
            return;
        }
        self.send(home, PeerMessage::KeyRelease { key: key.clone(), request });
    }
}
