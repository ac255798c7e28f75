//! The guard of one send to a backend server; records the outcome of the send when it is dropped.

use std::rc::Rc;

use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::dispatching::StartedSend;
use crate::gateway::shared::Shared;

/// A running send to one backend server; its slot is released when the guard is dropped.
pub(crate) struct SendGuard {
    outcome: SendOutcome,
    started_send: StartedSend,
    sent_ms: u64,
    shared: Rc<Shared>,
    prefill_pending: bool,
}

impl SendGuard {
    pub(crate) fn new(shared: Rc<Shared>, started_send: StartedSend) -> Self {
        shared.changed.notify_one();
        let outcome = SendOutcome::Abandoned;
        Self { outcome, started_send, sent_ms: boot_ms(), shared, prefill_pending: true }
    }

    pub(crate) fn started_send(&self) -> &StartedSend {
        &self.started_send
    }

    pub(crate) fn sent_ms(&self) -> u64 {
        self.sent_ms
    }

    /// Records the first event of the stream.
    pub(crate) fn record_first_event(&mut self, now_ms: u64) {
        self.prefill_pending = false;
        let elapsed_ms = now_ms.saturating_sub(self.sent_ms) as f64;
        let mut state = self.shared.state.borrow_mut();
        if let Some(backend) = state.backends_mut().get_mut(&self.started_send.backend_server) {
            let StartedSend { tokens_ahead, unread_tokens, .. } = self.started_send;
            backend.record_first_event(unread_tokens, tokens_ahead, elapsed_ms);
        }
        drop(state);
        self.shared.changed.notify_one();
    }

    /// Ends the send with an outcome; without this call a dropped send counts as abandoned.
    pub(crate) fn end(mut self, outcome: SendOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let unread_tokens = if self.prefill_pending { self.started_send.unread_tokens } else { 0 };
        let backend_server = &self.started_send.backend_server;
        let mut state = self.shared.state.borrow_mut();
        state.end_send(boot_ms(), backend_server, unread_tokens, self.outcome);
        drop(state);
        self.shared.changed.notify_one();
        self.shared.dispatch_waiting();
    }
}
