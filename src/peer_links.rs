//! The links to all other instances, which run on a thread of their own.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

use crate::error::Error;
use crate::name::Name;
use crate::peer_event::PeerSink;
use crate::peer_links_settings::PeerLinksSettings;
use crate::peer_message::PeerMessage;
use crate::peer_outboxes::PeerOutboxes;
use crate::peer_registry::{PeerBytes, PeerRegistry};
use crate::peer_supervisor::{Command, supervise};

const LISTEN_BACKLOG: i32 = 128;
const THREAD_NAME: &str = "peer-links";

/// Bytes of messages received and sent over all links since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerTraffic {
    /// Received bytes.
    pub received_bytes: u64,
    /// Sent bytes.
    pub sent_bytes: u64,
}

/// The links to all other instances.
///
/// A link on which nothing arrives for three heartbeat intervals is closed; each end pings the
/// other after an interval without an outgoing message. Dropping this writes the queued messages
/// and closes all links.
pub struct PeerLinks {
    bytes: Arc<PeerBytes>,
    commands: flume::Sender<Command>,
    listen_address: SocketAddr,
    outboxes: Arc<PeerOutboxes>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl PeerLinks {
    /// Starts to listen and starts the thread; opens no link before [`PeerLinks::set_peers`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the address can't be listened on or the thread can't start.
    pub fn start(settings: PeerLinksSettings, sink: Arc<dyn PeerSink>) -> Result<Self, Error> {
        let address = settings.listen_address;
        let listener = listen(address).map_err(|source| {
            Error::io(format!("Listening for instances on {address} failed"), source)
        })?;
        let listen_address = listener.local_addr().map_err(|source| {
            Error::io("Reading the address of the peer listener failed", source)
        })?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| Error::io("Starting the runtime of the peer links failed", source))?;
        let (commands, receiver) = flume::unbounded();
        let (bytes, outboxes) = (Arc::default(), Arc::default());
        let links = Self { bytes, commands, listen_address, outboxes, thread: Mutex::default() };
        let (bytes, outboxes) = (links.bytes.clone(), links.outboxes.clone());
        let thread = thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || {
                let registry = PeerRegistry::new(settings, sink, outboxes, bytes);
                serve(&runtime, registry, listener, receiver);
            })
            .map_err(|source| Error::io("Starting the thread of the peer links failed", source))?;
        *links.lock_thread() = Some(thread);
        Ok(links)
    }

    /// Closes the current link to a peer at once; it is reopened while the peer is listed.
    pub fn close(&self, peer: &Name) {
        self.outboxes.close_link(peer);
    }

    /// Returns the listen address.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Queues a message without blocking.
    ///
    /// Without a link the message is dropped. A full queue closes the link.
    pub fn send(&self, to: &Name, message: PeerMessage) {
        self.outboxes.send(to, message);
    }

    /// Opens links to new peers and closes those to peers that are not listed.
    ///
    /// Before the first call, links from all other instances are accepted, so that an instance
    /// that starts while the platform is down can get the configuration from them.
    pub fn set_peers(&self, peers: Vec<(Name, SocketAddr)>) {
        let _ = self.commands.send(Command::SetPeers(peers));
    }

    /// Writes the queued messages, within a time limit, and closes all links.
    pub fn stop(&self) {
        // The thread may have ended already.
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.lock_thread().take() {
            let _ = thread.join();
        }
    }

    /// Returns the bytes received and sent over all links.
    pub fn traffic(&self) -> PeerTraffic {
        PeerTraffic {
            received_bytes: self.bytes.received_bytes.load(Ordering::Relaxed),
            sent_bytes: self.bytes.sent_bytes.load(Ordering::Relaxed),
        }
    }

    fn lock_thread(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        self.thread.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PeerLinks {
    fn drop(&mut self) {
        self.stop();
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn serve(
    runtime: &Runtime,
    registry: PeerRegistry,
    listener: TcpListener,
    commands: flume::Receiver<Command>,
) {
    let tasks = LocalSet::new();
    tasks.block_on(runtime, supervise(Rc::new(registry), listener, commands));
}
