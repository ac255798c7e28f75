//! The bytes of a connection that runs through another instance.
//!
//! Bytes of the backend server arrive in frames, each after its length, and a frame without bytes
//! ends them. So an end of the other instance does not look like one of the backend server.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of the length of a frame.
pub(crate) const FRAME_HEAD_BYTES: usize = 2;
/// The frame that ends a connection.
pub(crate) const END_FRAME: [u8; FRAME_HEAD_BYTES] = [0; FRAME_HEAD_BYTES];

/// A connection whose received bytes are framed; bytes are sent as they are.
pub(crate) struct RelayedStream<S> {
    /// Bytes that were received before the first frame was awaited.
    early: Bytes,
    has_ended: bool,
    head: [u8; FRAME_HEAD_BYTES],
    head_bytes: usize,
    /// Bytes of the present frame that are still to come.
    left_bytes: usize,
    stream: S,
}

impl<S> RelayedStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    pub(crate) fn new(stream: S, early: Bytes) -> Self {
        Self { early, has_ended: false, head: END_FRAME, head_bytes: 0, left_bytes: 0, stream }
    }

    /// Reads bytes as they were received; an end is an error.
    fn poll_receive(
        &mut self,
        context: &mut Context<'_>,
        space: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.early.has_remaining() {
            let length = space.len().min(self.early.len());
            self.early.copy_to_slice(&mut space[..length]);
            return Poll::Ready(Ok(length));
        }
        let mut buffer = ReadBuf::new(space);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        match buffer.filled().len() {
            0 => Poll::Ready(Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the relayed connection broke off",
            ))),
            length => Poll::Ready(Ok(length)),
        }
    }

    /// Reads the length of the next frame.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.head_bytes < FRAME_HEAD_BYTES {
            let mut space = [0; FRAME_HEAD_BYTES];
            let space = &mut space[self.head_bytes..];
            let length = ready!(self.poll_receive(context, space))?;
            self.head[self.head_bytes..self.head_bytes + length].copy_from_slice(&space[..length]);
            self.head_bytes += length;
        }
        self.head_bytes = 0;
        self.left_bytes = usize::from(u16::from_be_bytes(self.head));
        self.has_ended = self.left_bytes == 0;
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncRead for RelayedStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        if self.left_bytes == 0 && !self.has_ended {
            ready!(self.poll_head(context))?;
        }
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        let most = self.left_bytes.min(buffer.remaining());
        let length = ready!(self.poll_receive(context, buffer.initialize_unfilled_to(most)))?;
        buffer.advance(length);
        self.left_bytes -= length;
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for RelayedStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
