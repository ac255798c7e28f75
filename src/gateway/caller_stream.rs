//! Forwards the events of a started stream to the caller, and resumes it where it breaks off.

use std::io;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::task::yield_now;

use crate::gateway::backend_stream::{BackendStream, StreamRead};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::exchange::SendFailure;
use crate::gateway::relay::Relay;
use crate::gateway::silent_race::{Race, race_successor};
use crate::gateway::stream_relay::{OpenOutcome, Received, StreamRelay};

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
            match self.read_next().await? {
                StreamRead::Bytes(bytes) => {
                    let backend_stream = self.backend_stream.as_mut()?;
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

    /// Waits for the next bytes of the stream, or until another backend server has taken it over.
    async fn read_next(&mut self) -> Option<StreamRead> {
        let backend_stream = self.backend_stream.as_mut()?;
        match self.stream_relay.read_next(backend_stream).await {
            StreamRead::Silent if self.may_move_stream() => Some(self.replace_silent().await),
            read => Some(read),
        }
    }

    /// Opens the stream at another backend server; its own may go on until that one accepts it.
    async fn replace_silent(&mut self) -> StreamRead {
        let Some(silent) = self.backend_stream.take() else { return StreamRead::Silent };
        let stream_relay = &mut self.stream_relay;
        let tried_before = stream_relay.relay.tried.len();
        stream_relay.record_missing_bytes(&silent);
        match race_successor(stream_relay, silent).await {
            Race::GoesOn(mut silent, events) => {
                stream_relay.relay.record_cancelled(tried_before);
                self.first_chunk =
                    events.map(|events| stream_relay.record_events(&mut silent, events));
                self.keep(silent);
                if self.first_chunk.is_some() { StreamRead::Silent } else { StreamRead::End }
            }
            Race::Kept(silent, failure) => {
                stream_relay.log_kept(&silent, &failure);
                self.keep(silent);
                StreamRead::Silent
            }
            Race::Opened(opened) => {
                self.take_over(opened);
                StreamRead::Silent
            }
        }
    }

    fn keep(&mut self, silent: BackendStream) {
        self.stream_relay.clear_missing_bytes();
        self.backend_stream = Some(silent);
    }

    /// Goes on with what another backend server sends; without a stream, `backend_stream` is `None`.
    fn take_over(&mut self, opened: OpenOutcome) {
        match opened {
            OpenOutcome::Stream(started) => {
                self.first_chunk = Some(started.first_chunk);
                self.backend_stream = Some(started.backend_stream);
            }
            OpenOutcome::Answer(response) => {
                self.end_logged = true;
                self.is_complete = response.status().is_success();
            }
            OpenOutcome::Fail(failure) => {
                self.end_logged = true;
                // The caller has the head of its answer, so only the log tells of the failure.
                drop(self.stream_relay.answer_failure(&failure));
            }
            OpenOutcome::TryAnother => {}
        }
    }

    /// Returns whether a silent stream may move to another backend server.
    fn may_move_stream(&self) -> bool {
        let Some(backend_stream) = &self.backend_stream else { return false };
        if self.stream_relay.resume_after.is_none() {
            return false;
        }
        let Relay { plan, shared, .. } = &self.stream_relay.relay;
        let backend_server = &backend_stream.guard.started_send().backend_server;
        let silence_limit_ms = self.stream_relay.silence_limit_ms();
        shared.state.borrow().may_move_stream(boot_ms(), plan, backend_server, silence_limit_ms)
    }

    /// Resumes the stream at another backend server; without one, `backend_stream` is `None`.
    async fn resume(&mut self, cause: &SendFailure) -> Option<()> {
        let backend_stream = self.backend_stream.take()?;
        let stream_relay = &mut self.stream_relay;
        stream_relay.record_missing_bytes(&backend_stream);
        stream_relay.end_broken(backend_stream, cause);
        let resumable =
            stream_relay.relay.plan.route.resumable && stream_relay.resume_after.is_some();
        if !resumable || !stream_relay.relay.may_retry() {
            return Some(());
        }
        stream_relay.relay.plan.wanted_ms = boot_ms();
        let opened = stream_relay.open_until_decided().await;
        self.take_over(opened);
        Some(())
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
