//! The main task of the thread of the links: accepts, opens and closes links by command.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use crate::back_off::BackOff;
use crate::log_target::PEER;
use crate::name::Name;
use crate::peer_hello::Hello;
use crate::peer_link::{Socket, read_hello, run_link, socket_config, write_hello};
use crate::peer_registry::PeerRegistry;

const ACCEPT_PAUSE_MS: u64 = 50;
const MAX_BACK_OFF_MS: u64 = 1_000;
const MIN_BACK_OFF_MS: u64 = 50;
const OPEN_TIMEOUT_MS: u64 = 1_000;
const STOP_LIMIT_MS: u64 = 500;

/// A command to the thread of the links.
pub(crate) enum Command {
    /// Keep links to these peers and no others.
    SetPeers(Vec<(Name, SocketAddr)>),
    /// Write the queued messages, then end.
    Stop,
}

/// The task that keeps a link to one peer open.
struct Opener {
    address: SocketAddr,
    peer: Name,
    task: JoinHandle<()>,
}

/// Serves commands until [`Command::Stop`].
pub(crate) async fn supervise(
    registry: Rc<PeerRegistry>,
    listener: TcpListener,
    commands: flume::Receiver<Command>,
) {
    let acceptor = spawn_local(accept_links(registry.clone(), listener));
    let mut openers = Vec::new();
    while let Ok(Command::SetPeers(peers)) = commands.recv_async().await {
        set_peers(&registry, &mut openers, peers);
    }
    acceptor.abort();
    stop(&registry).await;
}

async fn stop(registry: &PeerRegistry) {
    registry.stopping.set(true);
    registry.outboxes.finish_all();
    let all_closed = async {
        while !registry.is_empty() {
            registry.closed.notified().await;
        }
    };
    if timeout(Duration::from_millis(STOP_LIMIT_MS), all_closed).await.is_err() {
        warn!(target: PEER, "Some links did not close within {STOP_LIMIT_MS} ms.");
    }
}

fn set_peers(
    registry: &Rc<PeerRegistry>,
    openers: &mut Vec<Opener>,
    mut peers: Vec<(Name, SocketAddr)>,
) {
    peers.retain(|(name, _)| *name != registry.settings.name);
    peers.sort();
    peers.dedup_by(|later, earlier| later.0 == earlier.0);
    registry.set_peers(peers.clone());
    openers.retain(|opener| retain_opener(registry, opener, &peers));
    for (name, address) in peers {
        if !openers.iter().any(|opener| opener.peer == name) {
            let task = spawn_local(open_links(registry.clone(), name.clone(), address));
            openers.push(Opener { address, peer: name, task });
        }
    }
}

fn retain_opener(registry: &PeerRegistry, opener: &Opener, peers: &[(Name, SocketAddr)]) -> bool {
    let keep =
        peers.iter().any(|(name, address)| *name == opener.peer && *address == opener.address);
    if !keep {
        opener.task.abort();
        registry.outboxes.close_link(&opener.peer);
    }
    keep
}

async fn accept_links(registry: Rc<PeerRegistry>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Err(error) => return warn!(target: PEER, "Starting to accept links failed: {error}."),
        Ok(listener) => listener,
    };
    loop {
        match listener.accept().await {
            Err(error) => {
                warn!(target: PEER, "Accepting a link failed: {error}.");
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
            Ok((stream, _)) => {
                spawn_local(serve_accepted(registry.clone(), stream));
            }
        }
    }
}

async fn serve_accepted(registry: Rc<PeerRegistry>, stream: TcpStream) {
    let handshake =
        timeout(Duration::from_millis(OPEN_TIMEOUT_MS), accept_handshake(&registry, stream));
    let Ok(Some((socket, hello))) = handshake.await else { return };
    run_link(&registry, socket, hello).await;
}

async fn accept_handshake(registry: &PeerRegistry, stream: TcpStream) -> Option<(Socket, Hello)> {
    stream.set_nodelay(true).ok()?;
    let mut socket = accept_async_with_config(stream, Some(socket_config())).await.ok()?;
    let hello = read_hello(&mut socket).await?;
    let is_opener = hello.name < registry.settings.name || !registry.has_list();
    if !registry.is_peer(&hello.name) || !is_opener {
        debug!(
            target: PEER,
            "Link from '{}' rejected: it is not listed, or this instance opens the link.",
            hello.name
        );
        return None;
    }
    write_hello(&mut socket, &own_hello(registry, hello.link_sequence)).await?;
    Some((socket, hello))
}

/// Keeps a link to a peer open.
///
/// Of two instances, the first by name opens their link. While there is none, the other tries as
/// well, since the first may not have a list of instances yet; with a list, the first rejects it.
async fn open_links(registry: Rc<PeerRegistry>, peer: Name, address: SocketAddr) {
    let is_first = registry.settings.name < peer;
    let shortest_ms = if is_first { MIN_BACK_OFF_MS } else { MAX_BACK_OFF_MS };
    let mut back_off = BackOff::new(shortest_ms, MAX_BACK_OFF_MS);
    if !is_first {
        sleep(Duration::from_millis(back_off.next_wait_ms())).await;
    }
    while !registry.stopping.get() {
        if !registry.has_link(&peer) && open_once(&registry, &peer, address).await {
            back_off.reset();
        }
        sleep(Duration::from_millis(back_off.next_wait_ms())).await;
    }
}

/// Opens a link and exchanges messages until it ends; returns whether it was ever the current one.
async fn open_once(registry: &PeerRegistry, peer: &Name, address: SocketAddr) -> bool {
    let opening = timeout(Duration::from_millis(OPEN_TIMEOUT_MS), open(registry, peer, address));
    match opening.await {
        Ok(Some((socket, hello))) => run_link(registry, socket, hello).await,
        _ => false,
    }
}

async fn open(
    registry: &PeerRegistry,
    peer: &Name,
    address: SocketAddr,
) -> Option<(Socket, Hello)> {
    let stream = connect(registry.settings.listen_address, address).await.ok()?;
    let url = format!("ws://{address}/");
    let (mut socket, _) =
        client_async_with_config(url, stream, Some(socket_config())).await.ok()?;
    write_hello(&mut socket, &own_hello(registry, registry.next_link_id())).await?;
    let hello = read_hello(&mut socket).await?;
    if hello.name != *peer {
        warn!(target: PEER, "The instance at {address} is '{}', not '{peer}'.", hello.name);
        return None;
    }
    Some((socket, hello))
}

async fn connect(own: SocketAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if own.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(own.ip(), 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn own_hello(registry: &PeerRegistry, link_sequence: u64) -> Hello {
    let settings = &registry.settings;
    Hello {
        incarnation: settings.incarnation,
        key_seals: true,
        link_sequence,
        name: settings.name.clone(),
    }
}
