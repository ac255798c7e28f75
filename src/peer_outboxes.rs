//! The queues of outgoing messages, one per link, shared between the thread of the links and the
//! sending threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::warn;
use tokio::sync::Notify;

use crate::log_target::PEER;
use crate::name::Name;
use crate::peer_message::PeerMessage;

/// The sending side of one link's queue.
struct Outbox {
    close_signal: Arc<Notify>,
    link_id: u64,
    messages: flume::Sender<PeerMessage>,
    peer: Name,
}

/// The receiving side of one link's queue.
pub(crate) struct OutboxReceiver {
    /// Notified when the link must be closed at once.
    pub(crate) close_signal: Arc<Notify>,
    /// Messages to write.
    pub(crate) messages: flume::Receiver<PeerMessage>,
}

/// The queues of all open links, sorted by peer.
#[derive(Default)]
pub(crate) struct PeerOutboxes {
    sorted: Mutex<Vec<Outbox>>,
}

impl PeerOutboxes {
    /// Ends all queues, so that each link writes its queued messages and then ends.
    pub(crate) fn finish_all(&self) {
        self.lock().clear();
    }

    /// Opens the queue of a link, and closes an older link to the same peer.
    pub(crate) fn open(&self, peer: &Name, link_id: u64, limit_messages: usize) -> OutboxReceiver {
        let (sender, receiver) = flume::bounded(limit_messages);
        let close_signal = Arc::new(Notify::new());
        let outbox = Outbox {
            close_signal: close_signal.clone(),
            link_id,
            messages: sender,
            peer: peer.clone(),
        };
        let mut sorted = self.lock();
        match find(&sorted, peer) {
            Err(index) => sorted.insert(index, outbox),
            Ok(index) => {
                let old = std::mem::replace(&mut sorted[index], outbox);
                old.close_signal.notify_one();
            }
        }
        OutboxReceiver { close_signal, messages: receiver }
    }

    /// Closes the current link to a peer at once.
    pub(crate) fn close_link(&self, peer: &Name) {
        let mut sorted = self.lock();
        if let Ok(index) = find(&sorted, peer) {
            sorted.remove(index).close_signal.notify_one();
        }
    }

    /// Removes the queue of one link, unless a newer link to the peer replaced it.
    pub(crate) fn remove(&self, peer: &Name, link_id: u64) {
        let mut sorted = self.lock();
        if let Ok(index) = find(&sorted, peer)
            && sorted[index].link_id == link_id
        {
            sorted.remove(index);
        }
    }

    /// Queues a message; a full queue closes its link, and without a link the message is dropped.
    pub(crate) fn send(&self, peer: &Name, message: PeerMessage) {
        let mut sorted = self.lock();
        let Ok(index) = find(&sorted, peer) else { return };
        if sorted[index].messages.try_send(message).is_ok() {
            return;
        }
        sorted.remove(index).close_signal.notify_one();
        warn!(target: PEER, "Closing the link to '{peer}': its queue is full.");
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Outbox>> {
        self.sorted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(sorted: &[Outbox], peer: &Name) -> Result<usize, usize> {
    sorted.binary_search_by(|outbox| outbox.peer.cmp(peer))
}
