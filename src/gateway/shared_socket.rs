//! A socket that the task of a connection reads and writes, and that others may look at.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A socket that closes when its one owner is dropped.
pub(crate) struct SharedSocket(Rc<RefCell<TcpStream>>);

/// Looks at a socket without owning it.
pub(crate) struct SocketObserver(Weak<RefCell<TcpStream>>);

impl SharedSocket {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(stream)))
    }

    pub(crate) fn observer(&self) -> SocketObserver {
        SocketObserver(Rc::downgrade(&self.0))
    }
}

impl SocketObserver {
    /// Returns whether the socket is open and holds nothing to be read, neither bytes nor an end.
    ///
    /// Its task learns of them only when the runtime polls for events, so this asks the system.
    pub(crate) fn is_quiet(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return false };
        let stream = stream.borrow();
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns once the socket can be read or is closed; an owner in the same task is woken as before.
    pub(crate) fn poll_readable(&self, context: &mut Context<'_>) -> Poll<()> {
        match self.0.upgrade() {
            Some(stream) => stream.borrow().poll_read_ready(context).map(|_| ()),
            None => Poll::Ready(()),
        }
    }

    /// Returns whether the other end has reset the socket; one that only sends no more has not.
    pub(crate) fn is_reset(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        let stream = stream.borrow();
        let ready = stream.ready(Interest::WRITABLE).now_or_never();
        ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_write_closed()))
    }

    /// Returns whether the other end has closed the socket, also while bytes before its end are unread.
    pub(crate) fn is_closed(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        let stream = stream.borrow();
        let ready = stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(context, buffer)
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(context)
    }
}
