//! Forwards the events of a started stream to the caller, and resumes it where it breaks off.

use std::io;

use bytes::Bytes;
use hyper::StatusCode;
use log::info;
use tokio::task::yield_now;

use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::exchange::SendFailure;
use crate::gateway::relay::Relay;
use crate::gateway::stream_relay::{
    BackendStream, OpenOutcome, Received, StreamRead, StreamRelay, silence,
};

/// A stream that is forwarded to the caller.
pub(crate) struct CallerStream {
    /// Whether the end of the request is logged.
    end_logged: bool,
    first_chunk: Option<Bytes>,
    /// Whether a backend server had nothing left to resume.
    is_complete: bool,
    stream_relay: StreamRelay,
    backend_stream: Option<BackendStream>,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.end_logged {
            self.stream_relay.log_disconnection();
        }
    }
}

impl CallerStream {
    pub(crate) fn new(
        stream_relay: StreamRelay,
        first_chunk: Bytes,
        backend_stream: BackendStream,
    ) -> Self {
        Self {
            end_logged: false,
            first_chunk: Some(first_chunk),
            is_complete: false,
            stream_relay,
            backend_stream: Some(backend_stream),
        }
    }

    /// Returns the next events; `None` once the stream is complete.
    pub(crate) async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(first_chunk) = self.first_chunk.take() {
                return Some(Ok(first_chunk));
            }
            let backend_stream = self.backend_stream.as_mut()?;
            match self.stream_relay.read_next(backend_stream).await {
                StreamRead::Bytes(bytes) => {
                    match self.stream_relay.receive(backend_stream, &bytes) {
                        Received::Forward(complete) => return Some(Ok(complete)),
                        Received::Nothing => {}
                        Received::Wrong(reason) => {
                            self.resume(&SendFailure::WrongAnswer(reason)).await?;
                        }
                    }
                }
                StreamRead::End => {
                    let backend_stream = self.backend_stream.take()?;
                    self.stream_relay.finish(backend_stream);
                    self.end_logged = true;
                    return None;
                }
                StreamRead::Broken(error) => {
                    self.resume(&SendFailure::ConnectionBroken(error)).await?;
                }
                StreamRead::Wrong(fault) => {
                    self.resume(&SendFailure::WrongAnswer(fault.to_string())).await?;
                }
                StreamRead::Silent if self.may_move_stream() => self.resume(&silence()).await?,
                StreamRead::Silent => {}
                StreamRead::DeadlinePassed => return self.abort("the deadline passed").await,
            }
            if self.is_complete {
                return None;
            }
            if self.backend_stream.is_none() {
                return self.abort("no backend server resumes the stream").await;
            }
        }
    }

    /// Returns whether a silent stream may move to another backend server.
    fn may_move_stream(&self) -> bool {
        let Some(backend_stream) = &self.backend_stream else { return false };
        let Relay { plan, shared, .. } = &self.stream_relay.relay;
        let backend_server = &backend_stream.guard.started_send().backend_server;
        let silence_limit_ms = self.stream_relay.silence_limit_ms();
        shared.state.borrow().may_move_stream(boot_ms(), plan, backend_server, silence_limit_ms)
    }

    /// Resumes the stream at another backend server; without one, `backend_stream` is `None`.
    async fn resume(&mut self, cause: &SendFailure) -> Option<()> {
        let backend_stream = self.backend_stream.take()?;
        let stream_relay = &mut self.stream_relay;
        info!(
            target: "send",
            request = &*stream_relay.relay.plan.request_id,
            backend_server = &*backend_stream.guard.started_send().backend_server,
            cause:%,
            events = stream_relay.summary.events,
            version_need:? = stream_relay.relay.plan.version_need,
            resume_after = stream_relay.resume_after.as_deref(),
            incomplete_event_bytes = backend_stream.splitter.rest_bytes();
            "Stream interrupted."
        );
        if matches!(cause, SendFailure::ConnectionBroken(_)) {
            stream_relay.relay.record_broken_send(&backend_stream.guard);
        }
        stream_relay.record_break(&backend_stream);
        backend_stream.guard.end(SendOutcome::Failed);
        drop(backend_stream.connection);
        let resumable =
            stream_relay.relay.plan.route.resumable && stream_relay.resume_after.is_some();
        if !resumable || !stream_relay.relay.may_retry() {
            return Some(());
        }
        stream_relay.relay.plan.wanted_ms = boot_ms();
        loop {
            match stream_relay.open().await {
                OpenOutcome::Stream(started) => {
                    self.first_chunk = Some(started.first_chunk);
                    self.backend_stream = Some(started.backend_stream);
                    return Some(());
                }
                OpenOutcome::Answer(response) => {
                    self.end_logged = true;
                    self.is_complete = response.status().is_success();
                    return Some(());
                }
                OpenOutcome::TryAnother => {}
            }
        }
    }

    async fn abort(&mut self, cause: &'static str) -> Option<io::Result<Bytes>> {
        self.backend_stream = None;
        if !self.end_logged {
            self.stream_relay.relay.log_end(StatusCode::BAD_GATEWAY, self.stream_relay.summary);
            self.end_logged = true;
        }
        // An error drops what is buffered for the caller; while this waits, it is written.
        yield_now().await;
        Some(Err(io::Error::other(cause)))
    }
}
