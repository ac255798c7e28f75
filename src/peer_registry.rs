//! The registry of open links, which the thread of the links owns.
//!
//! It delivers all events, on that one thread, so that no event of a link follows its `Down`.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use log::info;
use tokio::sync::Notify;

use crate::log_target::PEER;
use crate::name::Name;
use crate::peer_event::{PeerEvent, PeerSink};
use crate::peer_hello::Hello;
use crate::peer_links_settings::PeerLinksSettings;
use crate::peer_message::PeerMessage;
use crate::peer_outboxes::{OutboxReceiver, PeerOutboxes};

/// Bytes received and sent over all links.
#[derive(Debug, Default)]
pub(crate) struct PeerBytes {
    /// Bytes of received messages.
    pub(crate) received_bytes: AtomicU64,
    /// Bytes of sent messages.
    pub(crate) sent_bytes: AtomicU64,
}

/// One open link.
struct OpenLink {
    hello: Hello,
    link_id: u64,
}

/// Outcome of the registration of a link.
pub(crate) enum Registration {
    /// It is the current link to its peer.
    Current {
        /// Queue of messages to write.
        outbox: OutboxReceiver,
        /// Id of the link.
        link_id: u64,
    },
    /// Its peer is not listed, or a link at least as new of the same incarnation is open.
    Refused,
}

/// The open links.
pub(crate) struct PeerRegistry {
    /// Bytes received and sent over all links.
    pub(crate) bytes: Arc<PeerBytes>,
    /// Notified when a link closes.
    pub(crate) closed: Notify,
    /// Queues of outgoing messages.
    pub(crate) outboxes: Arc<PeerOutboxes>,
    /// Settings of the links.
    pub(crate) settings: PeerLinksSettings,
    /// Whether the links are stopping, so that no further one is opened.
    pub(crate) stopping: Cell<bool>,
    links: RefCell<Vec<OpenLink>>,
    next_link_id: Cell<u64>,
    peers: RefCell<Option<Vec<(Name, SocketAddr)>>>,
    sink: Arc<dyn PeerSink>,
}

impl PeerRegistry {
    /// Creates a registry without links.
    pub(crate) fn new(
        settings: PeerLinksSettings,
        sink: Arc<dyn PeerSink>,
        outboxes: Arc<PeerOutboxes>,
        bytes: Arc<PeerBytes>,
    ) -> Self {
        Self {
            bytes,
            closed: Notify::new(),
            links: RefCell::default(),
            next_link_id: Cell::new(1),
            outboxes,
            peers: RefCell::default(),
            settings,
            sink,
            stopping: Cell::new(false),
        }
    }

    /// Counts received bytes, and delivers the message if its link is the current one.
    pub(crate) fn deliver(
        &self,
        hello: &Hello,
        link_id: u64,
        size_bytes: usize,
        message: PeerMessage,
    ) {
        self.bytes.received_bytes.fetch_add(size_bytes as u64, Ordering::Relaxed);
        if !self.is_current(&hello.name, link_id) {
            return;
        }
        self.sink.deliver(PeerEvent::Message {
            incarnation: hello.incarnation,
            message,
            peer: hello.name.clone(),
        });
    }

    /// Returns whether a link to a peer is open.
    pub(crate) fn has_link(&self, peer: &Name) -> bool {
        self.find(peer).is_ok()
    }

    /// Returns whether a list of peers was set.
    pub(crate) fn has_list(&self) -> bool {
        self.peers.borrow().is_some()
    }

    /// Returns whether no link is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.links.borrow().is_empty()
    }

    /// Returns whether an instance is on the list of peers; before a list is set, each one is.
    pub(crate) fn is_peer(&self, name: &Name) -> bool {
        let peers = self.peers.borrow();
        peers
            .as_ref()
            .is_none_or(|peers| peers.binary_search_by(|(peer, _)| peer.cmp(name)).is_ok())
    }

    /// Returns a new link id, which is higher than all earlier ones.
    pub(crate) fn next_link_id(&self) -> u64 {
        let link_id = self.next_link_id.get();
        self.next_link_id.set(link_id + 1);
        link_id
    }

    /// Registers a link after the hello of its peer arrived.
    pub(crate) fn register(&self, hello: &Hello) -> Registration {
        if !self.is_peer(&hello.name) || self.is_outdated(hello) {
            return Registration::Refused;
        }
        let link_id = self.next_link_id();
        let outbox = self.outboxes.open(&hello.name, link_id, self.settings.queue_limit_messages);
        self.set_current(OpenLink { hello: hello.clone(), link_id });
        info!(target: PEER, "Link to '{}' opened.", hello.name);
        let (peer, incarnation, key_seals) =
            (hello.name.clone(), hello.incarnation, hello.key_seals);
        self.sink.deliver(PeerEvent::Up { incarnation, key_seals, peer });
        Registration::Current { outbox, link_id }
    }

    /// Replaces the list of peers, which is sorted by name, and closes links to unlisted ones.
    pub(crate) fn set_peers(&self, peers: Vec<(Name, SocketAddr)>) {
        self.peers.replace(Some(peers));
        for open in self.links.borrow().iter().filter(|open| !self.is_peer(&open.hello.name)) {
            self.outboxes.close_link(&open.hello.name);
        }
    }

    /// Removes a link that ended, and reports it as down if it was the current one.
    pub(crate) fn unregister(&self, peer: &Name, link_id: u64) {
        self.outboxes.remove(peer, link_id);
        let index = self.find(peer);
        match index {
            Ok(index) if self.links.borrow()[index].link_id == link_id => {
                self.links.borrow_mut().remove(index);
            }
            _ => return,
        }
        self.report_down(peer);
        self.closed.notify_one();
    }

    fn find(&self, peer: &Name) -> Result<usize, usize> {
        self.links.borrow().binary_search_by(|open| open.hello.name.cmp(peer))
    }

    fn is_outdated(&self, hello: &Hello) -> bool {
        self.find(&hello.name).is_ok_and(|index| {
            let current = &self.links.borrow()[index].hello;
            current.incarnation == hello.incarnation && current.link_sequence >= hello.link_sequence
        })
    }

    fn is_current(&self, peer: &Name, link_id: u64) -> bool {
        self.find(peer).is_ok_and(|index| self.links.borrow()[index].link_id == link_id)
    }

    fn set_current(&self, open: OpenLink) {
        let peer = open.hello.name.clone();
        match self.find(&peer) {
            Err(index) => self.links.borrow_mut().insert(index, open),
            Ok(index) => {
                self.links.borrow_mut()[index] = open;
                self.report_down(&peer);
            }
        }
    }

    fn report_down(&self, peer: &Name) {
        info!(target: PEER, "Link to '{peer}' closed.");
        self.sink.deliver(PeerEvent::Down { peer: peer.clone() });
    }
}
