//! Accepts callers' connections, closes them after timeouts and counts requests in progress.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use log::warn;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use crate::gateway::boot_clock::boot_ms;
use crate::gateway::caller_phase::{CallerPhase, Overdue};
use crate::gateway::forward::forward;
use crate::gateway::reply::ReplyBody;
use crate::gateway::shared::Shared;
use crate::gateway::shared_socket::{SharedSocket, SocketObserver};
use crate::intake::closing_cause::ClosingCause;
use crate::intake::connection_gate::ConnectionSlot;
use crate::intake::connection_table::ConnectionStage;

/// Name of the callers' address in logs and metrics.
const CALLERS: &str = "callers";
/// Smallest buffer for a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;
/// Time between two checks of a connection's timeouts, in milliseconds.
const TIMEOUT_CHECK_INTERVAL_MS: u64 = 500;
/// Time between two checks whether the caller has left while bytes of it are unread, in milliseconds.
const DEPARTURE_CHECK_INTERVAL_MS: u64 = 50;

/// State of a connection that its timeout check reads.
struct ConnectionState {
    close: Notify,
    /// Whether the end of the answer waits in the connection's buffer.
    is_flushing: Cell<bool>,
    observer: SocketObserver,
    phase: Cell<CallerPhase>,
    shared: Rc<Shared>,
    slot: ConnectionSlot,
}

impl ConnectionState {
    fn new(shared: Rc<Shared>, observer: SocketObserver, slot: ConnectionSlot) -> Self {
        let phase = CallerPhase::idle(boot_ms(), shared.state.borrow().table().limits());
        let (close, is_flushing, phase) = (Notify::new(), Cell::new(false), Cell::new(phase));
        Self { close, is_flushing, observer, phase, shared, slot }
    }

    fn record_bytes(&self, bytes: usize) {
        if !matches!(self.phase.get(), CallerPhase::Idle { .. }) {
            return self.slot.record_bytes(bytes);
        }
        self.slot.set_stage(ConnectionStage::Head);
        let state = self.shared.state.borrow();
        self.phase.set(self.phase.get().after_bytes(boot_ms(), state.table().limits()));
    }

    /// Counts a request as in progress, unless the answer before it still counts.
    fn begin_answer(&self) {
        if self.phase.get() != CallerPhase::Answering {
            self.shared.in_progress.set(self.shared.in_progress.get() + 1);
        }
        self.is_flushing.set(false);
        self.phase.set(CallerPhase::Answering);
        self.slot.set_stage(ConnectionStage::Body);
    }

    /// Ends an answer of which all bytes are written.
    fn record_flush(&self) {
        if self.is_flushing.replace(false) {
            self.end_answer();
            let state = self.shared.state.borrow();
            self.phase.set(CallerPhase::idle(boot_ms(), state.table().limits()));
            self.slot.set_stage(ConnectionStage::Idle);
        }
    }

    fn end_answer(&self) {
        self.shared.in_progress.set(self.shared.in_progress.get().saturating_sub(1));
    }

    /// Waits until the caller has closed its connection before the end of its answer. The HTTP
    /// connection notices that itself only if it has read nothing beyond the request.
    async fn departure(&self) {
        loop {
            poll_fn(|context| match self.phase.get() {
                CallerPhase::Answering => self.observer.poll_readable(context),
                _ => Poll::Pending,
            })
            .await;
            if self.observer.is_closed() {
                return;
            }
            sleep(Duration::from_millis(DEPARTURE_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Returns the timeout that the connection has exceeded; none while it holds bytes that were not
    /// read yet, which may be a whole request.
    fn overdue(&self) -> Overdue {
        let now_ms = boot_ms();
        if self.slot.blocked_ms() > self.shared.state.borrow().settings().intake.unread_ms {
            return Overdue::Unread;
        }
        self.phase.set(self.phase.get().under(self.shared.state.borrow().table().limits()));
        let overdue = match self.phase.get() {
            CallerPhase::Idle { .. } if self.shared.closes_idle_connections(now_ms) => {
                Overdue::Idle
            }
            phase => phase.overdue(now_ms),
        };
        if overdue == Overdue::No || self.observer.is_quiet() { overdue } else { Overdue::No }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        if self.phase.get() == CallerPhase::Answering {
            self.end_answer();
        }
    }
}

/// Accepts connections until the process ends.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(slot) = shared.accept(&shared.caller_gate, CALLERS) {
                    spawn_local(serve_connection(shared.clone(), stream, slot));
                }
                // A connection that was replaced closes before the next one is accepted.
                yield_now().await;
            }
            Err(error) => {
                warn!(target: "callers", error:%; "A connection could not be accepted.");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, slot: ConnectionSlot) {
    if let Err(error) = stream.set_nodelay(true) {
        warn!(target: "callers", error:%; "TCP_NODELAY could not be set on a connection.");
    }
    let socket = SharedSocket::new(stream);
    let connection = Rc::new(ConnectionState::new(shared.clone(), socket.observer(), slot));
    let io = TokioIo::new(TrackedStream { connection: connection.clone(), socket });
    let service = service_fn(|request| answer(shared.clone(), connection.clone(), request));
    let head_bytes = shared.state.borrow().table().limits().header_bytes.max(MIN_HEAD_BYTES);
    let http_connection =
        http1::Builder::new().max_buf_size(head_bytes).serve_connection(io, service);
    let mut http_connection = pin!(http_connection);
    let mut departure = pin!(connection.departure());
    let mut replaced = pin!(connection.slot.replaced());
    loop {
        let timeout_check = sleep(Duration::from_millis(TIMEOUT_CHECK_INTERVAL_MS));
        tokio::select! {
            biased;
            // Callers may disconnect at any time.
            _ = http_connection.as_mut() => return,
            () = &mut departure => return,
            () = &mut replaced => return,
            () = connection.close.notified() => http_connection.as_mut().graceful_shutdown(),
            () = timeout_check => match connection.overdue() {
                Overdue::No => {}
                Overdue::Idle => http_connection.as_mut().graceful_shutdown(),
                Overdue::Head => return,
                Overdue::Unread => return shared.record_closing(&shared.caller_gate, CALLERS, ClosingCause::Unread),
            },
        }
    }
}

async fn answer(
    shared: Rc<Shared>,
    connection: Rc<ConnectionState>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    let guard = AnswerGuard::begin(connection.clone());
    let mut response = forward(shared.clone(), &connection.slot, request).await;
    if shared.stop_by_ms.get().is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| GuardedBody { _guard: guard, body }))
}

/// Marks a connection as answering until its answer is read to the end or dropped; what the
/// connection has in its buffer then is still to be written.
struct AnswerGuard(Rc<ConnectionState>);

impl AnswerGuard {
    fn begin(connection: Rc<ConnectionState>) -> Self {
        connection.begin_answer();
        Self(connection)
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.is_flushing.set(true);
    }
}

/// A body whose connection is answering until the body is dropped.
struct GuardedBody {
    _guard: AnswerGuard,
    body: ReplyBody,
}

impl Body for GuardedBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<bytes::Bytes>>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that records when the first byte of a request head arrives, whether the caller takes
/// bytes, and when all bytes of an answer are written: it is flushed once the connection's buffer
/// is empty.
struct TrackedStream {
    connection: Rc<ConnectionState>,
    socket: SharedSocket,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let poll = Pin::new(&mut this.socket).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - before;
        if read_bytes > 0 {
            this.connection.record_bytes(read_bytes);
        }
        poll
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.socket).poll_write(context, bytes);
        this.connection.slot.record_write(poll.is_pending());
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.socket).poll_flush(context);
        if matches!(poll, Poll::Ready(Ok(()))) {
            this.connection.record_flush();
        }
        poll
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.socket).poll_write_vectored(context, slices);
        this.connection.slot.record_write(poll.is_pending());
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
