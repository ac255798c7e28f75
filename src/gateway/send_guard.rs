//! The guard of one send to a backend server; records how the send ended when it is dropped.

use std::rc::Rc;

use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::dispatching::{SendEnd, StartedSend};
use crate::gateway::shared::Shared;

/// A running send to one backend server; its place is given back when the guard is dropped.
pub(crate) struct SendGuard {
    end: SendEnd,
    sent_ms: u64,
    shared: Rc<Shared>,
    started_send: StartedSend,
}

impl SendGuard {
    pub(crate) fn new(shared: Rc<Shared>, started_send: StartedSend) -> Self {
        Self { end: SendEnd::unused(), sent_ms: boot_ms(), shared, started_send }
    }

    pub(crate) fn started_send(&self) -> &StartedSend {
        &self.started_send
    }

    pub(crate) fn sent_ms(&self) -> u64 {
        self.sent_ms
    }

    /// Returns whether an event of the stream has arrived.
    pub(crate) fn has_started(&self) -> bool {
        self.end.prompt_was_read
    }

    /// Records the first event of the stream.
    pub(crate) fn record_first_event(&mut self, now_ms: u64) {
        self.end.prompt_was_read = true;
        let elapsed_ms = now_ms.saturating_sub(self.sent_ms);
        let mut state = self.shared.state.borrow_mut();
        state.record_first_event(now_ms, &self.started_send, elapsed_ms);
        drop(state);
        self.shared.flush();
    }

    /// Records the time between tokens of the stream, in milliseconds.
    pub(crate) fn record_token_ms(&mut self, token_ms: Option<f32>) {
        self.end.place.token_ms = token_ms;
    }

    /// Records for how long the backend server asks to be left alone, in milliseconds.
    pub(crate) fn record_pause(&mut self, pause_ms: Option<u64>) {
        self.end.place.pause_ms = pause_ms;
    }

    /// Ends a send that was answered completely.
    pub(crate) fn end_answered(mut self) {
        self.end.place.slot_ms = Some(boot_ms().saturating_sub(self.sent_ms));
        self.end.place.outcome = SendOutcome::Answered;
    }

    /// Ends a send whose connection was refused.
    pub(crate) fn end_refused(mut self) {
        self.end = SendEnd::refused_connection();
    }

    /// Ends the send with an outcome; without this call a dropped send counts as abandoned.
    pub(crate) fn end(mut self, outcome: SendOutcome) {
        self.end.place.outcome = outcome;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().end_send(boot_ms(), &self.started_send, &self.end);
        self.shared.dispatch_waiting();
    }
}
