//! A socket that tells whether its caller takes bytes, and when an answer is written.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::gateway::shared_socket::SharedSocket;
use crate::intake::connection_gate::ConnectionSlot;
use crate::intake::connection_table::ConnectionStage;

/// What a connection is at.
pub(super) struct ConnectionState {
    in_progress: Arc<AtomicUsize>,
    is_answering: Cell<bool>,
    /// Whether all of an answer is in the connection's buffer.
    is_flushing: Cell<bool>,
    is_idle: Cell<bool>,
    pub(super) slot: ConnectionSlot,
}

impl ConnectionState {
    pub(super) fn new(slot: ConnectionSlot, in_progress: Arc<AtomicUsize>) -> Self {
        Self {
            in_progress,
            is_answering: Cell::new(false),
            is_flushing: Cell::new(false),
            is_idle: Cell::new(true),
            slot,
        }
    }

    /// Counts a request as in progress until its answer is written.
    pub(super) fn begin_answer(&self) {
        self.is_flushing.set(false);
        if !self.is_answering.replace(true) {
            self.in_progress.fetch_add(1, Ordering::AcqRel);
        }
        self.slot.set_stage(ConnectionStage::Body);
    }

    pub(super) fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// Records that the connection has the end of the answer in its buffer.
    pub(super) fn begin_flush(&self) {
        self.is_flushing.set(true);
    }

    fn end_answer(&self) {
        if self.is_answering.replace(false) {
            self.in_progress.fetch_sub(1, Ordering::AcqRel);
        }
    }

    fn record_read(&self, bytes: usize) {
        if self.is_idle.replace(false) {
            self.slot.set_stage(ConnectionStage::Head);
        }
        self.slot.record_bytes(bytes);
    }

    fn record_flush(&self) {
        if self.is_flushing.replace(false) {
            self.end_answer();
            self.is_idle.set(true);
            self.slot.set_stage(ConnectionStage::Idle);
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.end_answer();
    }
}

/// A socket whose reads and writes its connection's state records.
pub(super) struct CountedStream {
    pub(super) state: Rc<ConnectionState>,
    pub(super) stream: SharedSocket,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let poll = Pin::new(&mut this.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - before;
        if read_bytes > 0 {
            this.state.record_read(read_bytes);
        }
        poll
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.state.slot.record_write(poll.is_pending());
        poll
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.state.slot.record_write(poll.is_pending());
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.stream).poll_flush(context);
        if matches!(poll, Poll::Ready(Ok(()))) {
            this.state.record_flush();
        }
        poll
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
