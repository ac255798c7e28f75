//! The stream that one backend server sends.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use log::info;

use crate::gateway::answer_budget::{BudgetShare, BufferFull};
use crate::gateway::backend::SendOutcome;
use crate::gateway::connections::Connection;
use crate::gateway::event_splitter::{
    CompleteEvents, EVENT_LIMIT_BYTES, EventSplitter, SplitEvents, StreamFault,
};
use crate::gateway::exchange::SendFailure;
use crate::gateway::send_guard::SendGuard;

/// A stream that one backend server sends.
pub(crate) struct BackendStream {
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) events: u32,
    /// When the first event arrived, in milliseconds of the boot clock.
    pub(crate) first_ms: u64,
    pub(crate) idle_timeout_ms: Option<u64>,
    pub(crate) guard: SendGuard,
    /// Covers the buffer of the splitter.
    pub(crate) share: BudgetShare,
    /// Holds what has arrived of an incomplete event; another send starts with an empty one.
    pub(crate) splitter: EventSplitter,
}

/// What bytes add to a stream.
pub(crate) enum Split {
    /// These events are complete.
    Events(CompleteEvents),
    /// An event is incomplete.
    Nothing,
    /// The answer is wrong, for this reason.
    Wrong(String),
}

/// Result of reading a stream once.
pub(crate) enum StreamRead {
    Bytes(Bytes),
    Broken(String),
    End,
    Silent,
    DeadlinePassed,
    /// What follows the last event is not part of the answer.
    Wrong(StreamFault),
}

impl BackendStream {
    /// Waits for the next bytes, without a limit.
    pub(crate) async fn read(&mut self) -> StreamRead {
        match self.body.frame().await {
            None if self.splitter.is_inside_event() => {
                StreamRead::Broken("the stream ended inside an event".to_owned())
            }
            None => StreamRead::End,
            Some(Err(error)) => StreamRead::Broken(error.to_string()),
            Some(Ok(frame)) => StreamRead::Bytes(frame.into_data().unwrap_or_default()),
        }
    }

    /// Adds received bytes.
    pub(crate) fn split(&mut self, bytes: &[u8]) -> Split {
        match self.splitter.push(bytes) {
            SplitEvents::Complete(events) => Split::Events(events),
            SplitEvents::Incomplete if self.share.resize(self.splitter.capacity_bytes()) => {
                Split::Nothing
            }
            SplitEvents::Incomplete => Split::Wrong(BufferFull::BudgetUsedUp.to_string()),
            SplitEvents::TooLong => {
                Split::Wrong(format!("an event is longer than {EVENT_LIMIT_BYTES} bytes"))
            }
        }
    }

    /// Ends a send that broke off while another one was being opened; returns whether bytes of it are
    /// missing.
    pub(crate) fn end_interrupted(self, request_id: &str, cause: &SendFailure) -> bool {
        info!(
            target: "send",
            request = request_id,
            backend_server = &*self.guard.started_send().backend_server,
            cause:%,
            events = self.events,
            incomplete_event_bytes = self.splitter.rest_bytes();
            "Stream interrupted."
        );
        let lacks_bytes = self.lacks_bytes();
        self.guard.end(SendOutcome::Failed);
        lacks_bytes
    }

    /// Ends the send to a silent backend server whose stream another one has; returns whether bytes of
    /// it are missing.
    pub(crate) fn release_silent(self, request_id: &str) -> bool {
        info!(
            target: "send",
            request = request_id,
            backend_server = &*self.guard.started_send().backend_server,
            events = self.events;
            "Silent stream moved to another backend server."
        );
        let lacks_bytes = self.lacks_bytes();
        self.guard.end(SendOutcome::Failed);
        lacks_bytes
    }

    /// Returns whether bytes of an event or of its length are missing.
    pub(crate) fn lacks_bytes(&self) -> bool {
        let lacks_length = self.body.size_hint().lower() > 0;
        match self.splitter.fault() {
            // What is left belongs to another answer, as does the whole if no event came before.
            Some(StreamFault::FallingIds) => self.events > 0 && lacks_length,
            _ => self.splitter.is_inside_event() || lacks_length,
        }
    }
}
