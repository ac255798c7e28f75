//! Opens connections to backend servers for other instances, which can't reach these themselves.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, UPGRADE};
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use log::warn;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::gateway::boot_clock::boot_ms;
use crate::gateway::dialer::{connect, set_options};
use crate::gateway::engine_paths::Way;
use crate::gateway::fleet_dialer::apply_notices;
use crate::gateway::relay_request::{
    NOT_ABLE_STATUS, REFUSED_STATUS, RELAY_PROTOCOL, RelayTarget, UNREACHABLE_STATUS,
};
use crate::gateway::relayed_stream::{END_FRAME, FRAME_HEAD_BYTES};
use crate::gateway::shared::Shared;

/// Most connections that an instance relays at the same time.
const RELAYED_LIMIT: usize = 256;
/// Longest time to connect to a backend server, in milliseconds; the other instance waits longer.
const CONNECT_LIMIT_MS: u64 = 140;
/// Bytes that are copied at once.
const COPY_BYTES: usize = 8_192;
/// Time after the end of a backend server's bytes within which the other instance closes, in
/// milliseconds.
const CLOSE_LIMIT_MS: u64 = 1_000;
/// Time between two checks whether the other instance has closed while bytes from it wait, in
/// milliseconds.
const CLOSE_CHECK_INTERVAL_MS: u64 = 50;

/// Counts a relayed connection until it is dropped.
struct RelayedGuard(Rc<Shared>);

impl RelayedGuard {
    /// Returns `None` if the instance may not relay a further connection.
    fn begin(shared: &Rc<Shared>) -> Option<Self> {
        if shared.stop_by_ms.get().is_some() || shared.relayed.get() >= RELAYED_LIMIT {
            return None;
        }
        shared.relayed.set(shared.relayed.get() + 1);
        shared.in_progress.set(shared.in_progress.get() + 1);
        Some(Self(shared.clone()))
    }
}

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        self.0.relayed.set(self.0.relayed.get() - 1);
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Answers a request for a connection; once that stands, bytes are copied both ways.
pub(crate) async fn answer(
    shared: &Rc<Shared>,
    request: &mut Request<Incoming>,
) -> Response<Full<Bytes>> {
    match open(shared, request.uri().query().unwrap_or_default()).await {
        Ok((guard, backend_server)) => {
            shared.counters.record_relayed_connection("served");
            spawn_local(relay(guard, hyper::upgrade::on(request), backend_server));
            let mut response = empty(StatusCode::SWITCHING_PROTOCOLS);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("upgrade"));
            response.headers_mut().insert(UPGRADE, RELAY_PROTOCOL);
            response
        }
        Err(status) => empty(status),
    }
}

/// Connects to the backend server that a query names.
async fn open(shared: &Rc<Shared>, query: &str) -> Result<(RelayedGuard, TcpStream), StatusCode> {
    let target = RelayTarget::parse(query).ok_or(StatusCode::BAD_REQUEST)?;
    let known = shared.state.borrow().backends().get(&target.backend_server).map(|known| {
        let is_same_run = target.born_ms.is_none() || target.born_ms == known.record.born_ms;
        (known.record.address, is_same_run)
    });
    let Some((address, true)) = known else { return Err(StatusCode::NOT_FOUND) };
    if shared.paths.borrow_mut().way(boot_ms(), &target.backend_server) == Way::Relayed {
        return Err(UNREACHABLE_STATUS);
    }
    let guard = RelayedGuard::begin(shared).ok_or(NOT_ABLE_STATUS)?;
    match connect(address, CONNECT_LIMIT_MS).await {
        Ok(stream) => {
            shared.paths.borrow_mut().record_direct(boot_ms(), &target.backend_server);
            apply_notices(shared);
            // One that asks now does not know yet.
            match shared.state.borrow().may_send_to(&target.backend_server) {
                true => Ok((guard, stream)),
                false => Err(StatusCode::NOT_FOUND),
            }
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Err(REFUSED_STATUS),
        Err(_) => Err(UNREACHABLE_STATUS),
    }
}

async fn relay(guard: RelayedGuard, upgrade: OnUpgrade, mut backend_server: TcpStream) {
    // The other instance may have left before the answer reached it.
    let Ok(upgraded) = upgrade.await else { return };
    let Some((mut instance, early)) = stream_of(upgraded) else { return };
    if let Err(error) = set_options(&instance) {
        warn!(target: "paths", error:%; "Options could not be set on a relayed connection.");
    }
    let (from_instance, to_instance) = instance.split();
    let (from_server, to_server) = backend_server.split();
    // Either end may break off; both connections close then.
    tokio::select! {
        () = send_on(from_instance, early, to_server) => {}
        _ = send_back(from_server, to_instance) => {}
    }
    drop(guard);
}

fn stream_of(upgraded: Upgraded) -> Option<(TcpStream, Bytes)> {
    let parts = upgraded.downcast::<TokioIo<TcpStream>>().ok()?;
    Some((parts.io.into_inner(), parts.read_buf))
}

/// Copies bytes to the backend server until the other instance closes.
async fn send_on(mut from: ReadHalf<'_>, early: Bytes, mut to: WriteHalf<'_>) {
    let mut is_open = to.write_all(&early).await.is_ok();
    let mut buffer = vec![0; COPY_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        // What its sender has given up does not reach the backend server.
        if is_closed(&from) {
            return;
        }
        // An answer may still arrive from a backend server that takes no more bytes.
        if is_open {
            is_open = tokio::select! {
                written = to.write_all(&buffer[..length]) => written.is_ok(),
                () = closed(&from) => return,
            };
        }
    }
}

/// Waits until the other end has closed a connection, with bytes of it still unread.
async fn closed(from: &ReadHalf<'_>) {
    loop {
        sleep(Duration::from_millis(CLOSE_CHECK_INTERVAL_MS)).await;
        if is_closed(from) {
            return;
        }
    }
}

fn is_closed(from: &ReadHalf<'_>) -> bool {
    let ready = from.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
}

/// Copies bytes of the backend server in frames, and its end.
async fn send_back(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> io::Result<()> {
    let mut buffer = vec![0; FRAME_HEAD_BYTES + COPY_BYTES];
    loop {
        let length = from.read(&mut buffer[FRAME_HEAD_BYTES..]).await?;
        if length == 0 {
            break;
        }
        buffer[..FRAME_HEAD_BYTES].copy_from_slice(&(length as u16).to_be_bytes());
        to.write_all(&buffer[..FRAME_HEAD_BYTES + length]).await?;
    }
    to.write_all(&END_FRAME).await?;
    to.shutdown().await?;
    // To close with bytes of the other instance unread would take the last frames from it.
    sleep(Duration::from_millis(CLOSE_LIMIT_MS)).await;
    Ok(())
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
