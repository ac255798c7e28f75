//! What the log says of a stream after its first event.

use log::info;

use crate::gateway::backend::SendOutcome;
use crate::gateway::backend_stream::BackendStream;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::exchange::SendFailure;
use crate::gateway::relay::{FinalFailure, Relay};
use crate::gateway::stream_relay::StreamRelay;

impl StreamRelay {
    /// Ends a send that broke off after its first event.
    pub(crate) fn end_broken(&self, backend_stream: BackendStream, cause: &SendFailure) {
        info!(
            target: "send",
            request = &*self.relay.plan.request_id,
            backend_server = &*backend_stream.guard.started_send().backend_server,
            cause:%,
            events = self.summary.events,
            version_need:? = self.relay.plan.version_need,
            resume_after = self.resume_after.as_deref(),
            incomplete_event_bytes = backend_stream.splitter.rest_bytes();
            "Stream interrupted."
        );
        if matches!(cause, SendFailure::ConnectionBroken(_)) {
            self.relay.record_broken_send(&backend_stream.guard);
        }
        backend_stream.guard.end(SendOutcome::Failed);
    }

    /// Logs that a silent backend server keeps its stream.
    pub(crate) fn log_kept(&self, silent: &BackendStream, failure: &FinalFailure) {
        info!(
            target: "send",
            request = &*self.relay.plan.request_id,
            backend_server = &*silent.guard.started_send().backend_server,
            cause = failure.cause(),
            events = self.summary.events,
            silent_ms = boot_ms().saturating_sub(self.last_event_ms);
            "Silent stream kept, since no other backend server takes it."
        );
    }

    /// Logs that the caller disconnected before the end of its answer.
    pub(crate) fn log_disconnection(&self) {
        let Relay { plan, sends, .. } = &self.relay;
        info!(
            target: "end",
            request = &*plan.request_id,
            route = &*plan.route.name,
            sends,
            events = self.summary.events,
            longest_gap_ms = self.summary.longest_gap_ms,
            silent_ms = boot_ms().saturating_sub(self.last_event_ms),
            elapsed_ms = boot_ms().saturating_sub(plan.arrived_ms);
            "Caller disconnected before the end of its answer."
        );
    }
}
