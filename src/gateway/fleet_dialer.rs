//! Opens connections to backend servers directly, or through other instances where that fails.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use futures_util::future::{Either, select};
use log::{info, warn};
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::gateway::boot_clock::boot_ms;
use crate::gateway::dialer::{CONNECT_TIMEOUT_MS, Dial, Dialed, connect};
use crate::gateway::engine_paths::{PathNotice, RoundStep, Way};
use crate::gateway::relay_request::{RelayError, RelayTarget, open_relayed};
use crate::gateway::relayed_stream::RelayedStream;
use crate::gateway::shared::Shared;
use crate::name::Name;

/// Time after which another way is tried beside a direct connection, in milliseconds.
const HEAD_START_MS: u64 = 60;
/// Silence of a backend server with a request after which the way to it is probed, in milliseconds.
const SILENCE_MS: u64 = 250;
/// Longest time to open a connection that probes the way, in milliseconds.
const PROBE_LIMIT_MS: u64 = 150;
/// Longest time to open a connection through other instances, in milliseconds.
const RELAYED_LIMIT_MS: u64 = CONNECT_TIMEOUT_MS - HEAD_START_MS;
/// Longest time to open a connection through one other instance, in milliseconds.
const INSTANCE_LIMIT_MS: u64 = 180;
/// Other instances that are asked for one connection.
const INSTANCE_LIMIT: usize = 3;

/// Other instances that are considered for one connection.
const SAMPLED_INSTANCES: usize = 12;

/// Opens the connections of an instance that knows others.
pub(crate) struct FleetDialer {
    shared: Weak<Shared>,
}

impl FleetDialer {
    pub(crate) fn new(shared: Weak<Shared>) -> Self {
        Self { shared }
    }
}

#[async_trait(?Send)]
impl Dial for FleetDialer {
    async fn dial(&self, backend_server: &Name, address: SocketAddr) -> io::Result<Dialed> {
        let shared = self.shared.upgrade().ok_or(io::ErrorKind::NotConnected)?;
        let way = shared.paths.borrow_mut().way(boot_ms(), backend_server);
        if way == Way::Relayed
            && let Some(dialed) = dial_relayed(&shared, backend_server).await
        {
            return Ok(dialed);
        }
        match way {
            Way::DirectFirst => dial_directly_first(&shared, backend_server, address).await,
            Way::Relayed => dial_direct(&shared, backend_server, address, HEAD_START_MS)
                .await
                .map(Dialed::Direct),
        }
    }

    fn may_reuse(&self, backend_server: &Name) -> bool {
        let shared = self.shared.upgrade();
        shared.is_some_and(|shared| shared.paths.borrow().is_direct(backend_server))
    }
}

/// Returns whether a backend server refuses connections, also those of another instance if there is
/// one, so that no process listens at its address.
pub(crate) async fn refuses_connections(
    shared: &Rc<Shared>,
    backend_server: &Name,
    address: SocketAddr,
) -> bool {
    let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    if !connect(address, CONNECT_TIMEOUT_MS).await.is_err_and(refused) {
        return false;
    }
    if !shared.state.borrow().fleet().roster().has_others() {
        return true;
    }
    let target = target(shared, backend_server);
    for (_, instance) in instances_to_ask(shared) {
        match open_through(instance, &target).await {
            Ok(_) => return false,
            Err(RelayError::Refused) if reaches_another(shared, instance, backend_server).await => {
                return true;
            }
            Err(_) => {}
        }
    }
    false
}

/// Returns whether an instance reaches a backend server other than this one: it may be cut off
/// itself without knowing it yet.
async fn reaches_another(shared: &Rc<Shared>, instance: SocketAddr, backend_server: &Name) -> bool {
    let others: Vec<Name> = {
        let state = shared.state.borrow();
        let others = state
            .backends()
            .usable()
            .filter(|known| known.id != *backend_server && state.may_send_to(&known.id));
        others.map(|known| known.id.clone()).collect()
    };
    let Some(other) = others.choose(&mut rand::rng()) else { return false };
    open_through(instance, &target(shared, other)).await.is_ok()
}

/// Finds out while a request is unanswered whether the direct way to a backend server is cut: its
/// open connections may just be silent.
pub(crate) async fn watch_silence(
    shared: &Rc<Shared>,
    backend_server: &Name,
    address: SocketAddr,
) -> Infallible {
    loop {
        sleep(Duration::from_millis(SILENCE_MS)).await;
        let now_ms = boot_ms();
        let is_silent = {
            let state = shared.state.borrow();
            let known = state.backends().get(backend_server);
            known.is_some_and(|known| known.is_silent(now_ms, SILENCE_MS))
        };
        if is_silent && shared.paths.borrow_mut().take_probe(now_ms, backend_server) {
            probe(shared, backend_server, address).await;
        }
    }
}

async fn probe(shared: &Rc<Shared>, backend_server: &Name, address: SocketAddr) {
    let Err(error) = dial_direct(shared, backend_server, address, PROBE_LIMIT_MS).await else {
        return;
    };
    let relayed = dial_relayed(shared, backend_server).await;
    if bypass(shared, backend_server, relayed, error).is_ok() {
        shared.connections.close(backend_server);
    }
}

async fn dial_directly_first(
    shared: &Rc<Shared>,
    backend_server: &Name,
    address: SocketAddr,
) -> io::Result<Dialed> {
    let begun_ms = boot_ms();
    let mut direct = pin!(dial_direct(shared, backend_server, address, CONNECT_TIMEOUT_MS));
    let head_start = Duration::from_millis(HEAD_START_MS);
    let first = timeout(head_start, direct.as_mut()).await.ok();
    let error = match first {
        Some(Ok(stream)) => return Ok(Dialed::Direct(stream)),
        Some(Err(error)) => error,
        None => {
            let relayed = pin!(dial_round(shared, backend_server, begun_ms));
            match select(direct, relayed).await {
                Either::Left((Ok(stream), _)) => return Ok(Dialed::Direct(stream)),
                Either::Left((Err(error), relayed)) => {
                    return bypass(shared, backend_server, relayed.await, error);
                }
                Either::Right((Some(dialed), _)) => {
                    return bypass(shared, backend_server, Some(dialed), timed_out());
                }
                Either::Right((None, direct)) => return direct.await.map(Dialed::Direct),
            }
        }
    };
    let relayed = dial_round(shared, backend_server, begun_ms).await;
    bypass(shared, backend_server, relayed, error)
}

/// Opens a connection through another instance if nothing speaks against a cut; `None` otherwise, or
/// if that is not possible.
async fn dial_round(shared: &Rc<Shared>, backend_server: &Name, begun_ms: u64) -> Option<Dialed> {
    loop {
        let step = shared.paths.borrow().round_step(boot_ms(), begun_ms);
        match step {
            RoundStep::GiveUp => return None,
            RoundStep::GoRound => return dial_relayed(shared, backend_server).await,
            RoundStep::Wait(wait_ms) => sleep(Duration::from_millis(wait_ms)).await,
        }
    }
}

/// Records that only a relayed connection succeeded, or returns the error of the direct one.
fn bypass(
    shared: &Rc<Shared>,
    backend_server: &Name,
    relayed: Option<Dialed>,
    error: io::Error,
) -> io::Result<Dialed> {
    let dialed = relayed.ok_or(error)?;
    shared.paths.borrow_mut().record_bypassed(boot_ms(), backend_server);
    apply_notices(shared);
    Ok(dialed)
}

fn timed_out() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "connecting timed out")
}

async fn dial_direct(
    shared: &Rc<Shared>,
    backend_server: &Name,
    address: SocketAddr,
    limit_ms: u64,
) -> io::Result<TcpStream> {
    let stream = connect(address, limit_ms).await?;
    shared.paths.borrow_mut().record_direct(boot_ms(), backend_server);
    apply_notices(shared);
    Ok(stream)
}

/// Opens a connection through one of several other instances; `None` if that is not possible.
async fn dial_relayed(shared: &Rc<Shared>, backend_server: &Name) -> Option<Dialed> {
    let instances = instances_to_ask(shared);
    if instances.is_empty() {
        return None;
    }
    let target = target(shared, backend_server);
    let limit = Duration::from_millis(RELAYED_LIMIT_MS);
    let dialed = timeout(limit, ask_in_turn(shared, instances, &target)).await.ok().flatten();
    let event = if dialed.is_some() { "opened" } else { "failed" };
    shared.counters.record_relayed_connection(event);
    dialed
}

async fn ask_in_turn(
    shared: &Rc<Shared>,
    instances: Vec<(Name, SocketAddr)>,
    target: &RelayTarget,
) -> Option<Dialed> {
    let mut without_way = Vec::new();
    for (via, instance) in instances {
        match open_through(instance, target).await {
            Ok(stream) => {
                let mut paths = shared.paths.borrow_mut();
                for other in without_way {
                    paths.leave_out(boot_ms(), other);
                }
                return Some(Dialed::Relayed { via, stream });
            }
            Err(RelayError::Refused | RelayError::Unreachable) => without_way.push(instance),
            Err(RelayError::NotAble | RelayError::NoAnswer(_)) => {
                shared.paths.borrow_mut().leave_out(boot_ms(), instance);
            }
        }
    }
    None
}

async fn open_through(
    instance: SocketAddr,
    target: &RelayTarget,
) -> Result<RelayedStream<TcpStream>, RelayError> {
    let limit = Duration::from_millis(INSTANCE_LIMIT_MS);
    timeout(limit, open_relayed(instance, target, INSTANCE_LIMIT_MS))
        .await
        .unwrap_or_else(|_| Err(RelayError::NoAnswer(timed_out().to_string())))
}

fn target(shared: &Shared, backend_server: &Name) -> RelayTarget {
    let state = shared.state.borrow();
    let born_ms = state.backends().get(backend_server).and_then(|known| known.record.born_ms);
    RelayTarget { backend_server: backend_server.clone(), born_ms }
}

/// Returns the names and operators' addresses of a few instances at random, without those that lately
/// did not help unless there are no others.
fn instances_to_ask(shared: &Shared) -> Vec<(Name, SocketAddr)> {
    let now_ms = boot_ms();
    let state = shared.state.borrow();
    let paths = shared.paths.borrow();
    let port = state.settings().operator_address.port();
    let sampled = state.fleet().roster().sample(&mut rand::rng(), SAMPLED_INSTANCES);
    let (mut instances, left_out): (Vec<_>, Vec<_>) = sampled
        .into_iter()
        .map(|known| (known.name.clone(), SocketAddr::new(known.address.ip(), port)))
        .partition(|(_, address)| paths.may_ask(now_ms, *address));
    if instances.is_empty() {
        instances = left_out;
    }
    instances.truncate(INSTANCE_LIMIT);
    instances
}

/// Logs changes of the ways, and closes connections that may be cut.
pub(crate) fn apply_notices(shared: &Shared) {
    let notices = shared.paths.borrow_mut().take_notices();
    for notice in notices {
        match notice {
            PathNotice::CutOff { bypassed } => {
                warn!(
                    target: "paths",
                    bypassed:? = bypassed;
                    "Cut off from backend servers."
                );
                shared.connections.close_all();
            }
            PathNotice::Restored { after_ms, backend_server } => info!(
                target: "paths",
                after_ms,
                backend_server = &*backend_server;
                "Backend servers reached directly again."
            ),
        }
    }
}
