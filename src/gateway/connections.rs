//! The pool of connections to backend servers, and the opening of HTTP connections.

use std::cell::{OnceCell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};

use crate::gateway::boot_clock::boot_ms;
use crate::gateway::dialer::{CONNECT_TIMEOUT_MS, Dial, Dialed, DirectDialer, connect};
use crate::gateway::shared_socket::{SharedSocket, SocketObserver};
use crate::name::Name;

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
pub struct Connections {
    dialer: Box<dyn Dial>,
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
    /// `None` if it runs through another instance.
    observer: Option<SocketObserver>,
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    surplus: Surplus,
    task: AbortHandle,
    via: Option<Name>,
}

/// Bytes that were read after the last answer, once the connection has ended.
type Surplus = Rc<OnceCell<Bytes>>;

impl Connection {
    /// Returns the instance that it runs through.
    pub(crate) fn via(&self) -> Option<&Name> {
        self.via.as_ref()
    }

    fn is_quiet(&self) -> bool {
        self.observer.as_ref().is_some_and(SocketObserver::is_quiet)
    }

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

impl Default for Connections {
    fn default() -> Self {
        Self::new(Box::new(DirectDialer))
    }
}

impl Connections {
    /// Returns an empty pool of connections that the dialer opens.
    pub(crate) fn new(dialer: Box<dyn Dial>) -> Self {
        Self { dialer, idle: RefCell::default() }
    }

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
            None => {
                let dialed = self.dialer.dial(backend_server, address).await?;
                open(backend_server.clone(), address, request_id.clone(), dialed).await
            }
        }
    }

    /// Returns a connection whose last answer was complete to the pool.
    pub fn release(&self, mut connection: Connection, idle_timeout_ms: Option<u64>) {
        let limit_ms = idle_timeout_ms.unwrap_or(IDLE_LIMIT_MS).min(IDLE_LIMIT_MS * 4);
        let kept_ms = limit_ms.saturating_sub(IDLE_MARGIN_MS);
        if connection.sender.is_closed()
            || kept_ms == 0
            || connection.via.is_some()
            || !self.dialer.may_reuse(&connection.backend_server)
        {
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

    /// Closes all idle connections.
    pub(crate) fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(
        &self,
        backend_server: &Name,
        address: SocketAddr,
        request_id: &Name,
    ) -> Option<Connection> {
        if !self.dialer.may_reuse(backend_server) {
            return None;
        }
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
                && candidate.connection.is_quiet()
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
    dialed: Dialed,
) -> io::Result<Connection> {
    let ((sender, task, surplus), observer, via) = match dialed {
        Dialed::Direct(stream) => {
            let socket = SharedSocket::new(stream);
            let observer = socket.observer();
            (start_http(socket).await?, Some(observer), None)
        }
        Dialed::Relayed { via, stream } => (start_http(stream).await?, None, Some(via)),
    };
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
        via,
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
    let (sender, task, _) = start_http(connect(address, CONNECT_TIMEOUT_MS).await?).await?;
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
