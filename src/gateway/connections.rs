//! The pool of connections to backend servers, and the opening of HTTP connections.

use std::cell::{OnceCell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::gateway::boot_clock::boot_ms;
use crate::gateway::shared_socket::{SharedSocket, SocketObserver};
use crate::name::Name;

/// Longest time to open a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which a connection with unacknowledged data counts as lost (TCP_USER_TIMEOUT), in
/// milliseconds.
const UNACKNOWLEDGED_LIMIT_MS: u64 = 3_000;
/// Longest time for which an idle connection is kept if the backend server announces no timeout,
/// in milliseconds.
const IDLE_LIMIT_MS: u64 = 4_000;
/// Time before the backend server's idle timeout at which a connection expires, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;
/// Maximum number of interim answers (1xx) to one request.
const INTERIM_ANSWER_LIMIT: usize = 100;
/// Longest head of an answer, and the most that a connection buffers of a body, in bytes.
const READ_BUFFER_BYTES: usize = 65_536;
/// Maximum number of idle connections to one backend server.
const IDLE_COUNT_LIMIT: usize = 24;

/// Pool of idle connections to backend servers.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<Vec<IdleConnection>>,
}

struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

/// A connection for one request at a time; dropping it closes it.
pub struct Connection {
    address: SocketAddr,
    backend_server: Name,
    /// Whether no request was sent on it before.
    pub is_new: bool,
    /// Id of the last request sent on it; a second answer to that request would pass for the answer
    /// to another one of that id.
    last_request_id: Name,
    observer: SocketObserver,
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    surplus: Surplus,
    task: AbortHandle,
}

/// Bytes that were read after the last answer, once the connection has ended.
type Surplus = Rc<OnceCell<Bytes>>;

impl Connection {
    /// Returns the bytes that were read after the last answer.
    pub(crate) fn surplus(&self) -> &[u8] {
        self.surplus.get().map(|bytes| &bytes[..]).unwrap_or_default()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connections {
    /// Returns an idle connection to a backend server for one request, or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be opened; nothing was sent then.
    pub async fn acquire(
        &self,
        backend_server: &Name,
        address: SocketAddr,
        request_id: &Name,
    ) -> io::Result<Connection> {
        match self.take_idle(backend_server, address, request_id) {
            Some(mut connection) => {
                connection.last_request_id = request_id.clone();
                Ok(connection)
            }
            None => open(backend_server.clone(), address, request_id.clone()).await,
        }
    }

    /// Returns a connection whose last answer was complete to the pool.
    pub fn release(&self, mut connection: Connection, idle_timeout_ms: Option<u64>) {
        let limit_ms = idle_timeout_ms.unwrap_or(IDLE_LIMIT_MS).min(IDLE_LIMIT_MS * 4);
        let kept_ms = limit_ms.saturating_sub(IDLE_MARGIN_MS);
        if connection.sender.is_closed() || kept_ms == 0 {
            return;
        }
        connection.is_new = false;
        let mut idle = self.idle.borrow_mut();
        let same = idle.iter().filter(|idle| idle.connection.address == connection.address);
        if same.count() < IDLE_COUNT_LIMIT {
            idle.push(IdleConnection { connection, expires_ms: boot_ms() + kept_ms });
        }
    }

    /// Closes idle connections that have expired.
    pub(crate) fn sweep(&self) {
        let now_ms = boot_ms();
        self.idle.borrow_mut().retain(|idle| now_ms < idle.expires_ms && idle.is_open());
    }

    /// Closes the idle connections to a backend server.
    pub(crate) fn close(&self, backend_server: &str) {
        self.idle.borrow_mut().retain(|idle| *idle.connection.backend_server != *backend_server);
    }

    fn take_idle(
        &self,
        backend_server: &Name,
        address: SocketAddr,
        request_id: &Name,
    ) -> Option<Connection> {
        let now_ms = boot_ms();
        let mut idle = self.idle.borrow_mut();
        loop {
            let index = idle.iter().rposition(|idle| {
                idle.connection.address == address
                    && idle.connection.backend_server == *backend_server
                    && idle.connection.last_request_id != *request_id
            })?;
            let candidate = idle.remove(index);
            if now_ms < candidate.expires_ms
                && candidate.is_open()
                && candidate.connection.sender.is_ready()
                && candidate.connection.observer.is_quiet()
            {
                return Some(candidate.connection);
            }
        }
    }
}

impl IdleConnection {
    fn is_open(&self) -> bool {
        !self.connection.sender.is_closed()
    }
}

async fn open(
    backend_server: Name,
    address: SocketAddr,
    last_request_id: Name,
) -> io::Result<Connection> {
    let socket = SharedSocket::new(connect(address).await?);
    let observer = socket.observer();
    let (sender, task, surplus) = start_http(socket).await?;
    let is_new = true;
    Ok(Connection {
        address,
        backend_server,
        is_new,
        last_request_id,
        observer,
        sender,
        surplus,
        task,
    })
}

/// Opens a connection for HTTP requests; it ends when its task is aborted.
///
/// # Errors
///
/// Returns an error if the connection could not be opened.
pub(crate) async fn open_http<B>(address: SocketAddr) -> io::Result<(SendRequest<B>, AbortHandle)>
where
    B: Body<Data = Bytes, Error = Infallible> + Unpin + 'static,
{
    let (sender, task, _) = start_http(connect(address).await?).await?;
    Ok((sender, task))
}

async fn start_http<B, S>(stream: S) -> io::Result<(SendRequest<B>, AbortHandle, Surplus)>
where
    B: Body<Data = Bytes, Error = Infallible> + Unpin + 'static,
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut builder = Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let (sender, mut connection) =
        builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let surplus = Surplus::default();
    let set_surplus = surplus.clone();
    let task = spawn_local(async move {
        // An error of the connection reaches the request that uses it.
        let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
        let _ = set_surplus.set(connection.into_parts().read_buf);
    });
    Ok((sender, task.abort_handle(), surplus))
}

/// Returns whether an address refuses connections, so that no process listens there.
pub(crate) async fn refuses_connections(address: SocketAddr) -> bool {
    let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connect(address).await.is_err_and(refused)
}

/// Limits the interim answers (1xx) to a request; the result is notified if there are more.
pub(crate) fn limit_interim_answers<B>(message: &mut Request<B>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (notified, count) = (too_many.clone(), AtomicUsize::new(0));
    on_informational(message, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == INTERIM_ANSWER_LIMIT {
            notified.notify_one();
        }
    });
    too_many
}

/// Opens a connection that closes if the other end stops acknowledging bytes.
///
/// # Errors
///
/// Returns an error if the connection could not be opened.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
    stream.set_nodelay(true)?;
    let unacknowledged = Duration::from_millis(UNACKNOWLEDGED_LIMIT_MS);
    SockRef::from(&stream).set_tcp_user_timeout(Some(unacknowledged))?;
    Ok(stream)
}
