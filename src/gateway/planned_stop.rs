//! A requested stop of the process, and which requests come too late for it.

use crate::gateway::request_metadata::PromptShape;
use crate::gateway::state::GatewayState;

/// Time after which a stopping instance admits no new request, in milliseconds; the balancer has
/// noticed the stop by then.
const STOP_ADMISSION_MS: u64 = 3_000;
/// Factor on the typical duration of an answer when a stopping instance decides on admission.
const STOP_DURATION_FACTOR: f64 = 2.0;

/// A requested stop of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    /// When the process ends, in milliseconds of the boot clock.
    ends_ms: u64,
    /// When the stop was requested, in milliseconds of the boot clock.
    requested_ms: u64,
}

impl GatewayState {
    /// Records that a stop was requested and that the process ends at `ends_ms`.
    pub fn stop(&mut self, now_ms: u64, ends_ms: u64) {
        self.stop = Some(PlannedStop { ends_ms, requested_ms: now_ms });
        self.fleet.stopping = true;
        self.fleet.is_urgent = true;
    }

    /// Returns whether the process is stopping and a request that arrives now comes too late: it
    /// would probably outlast the process, or the time for new requests is over.
    pub(crate) fn would_outlast_process(
        &self,
        now_ms: u64,
        service: &str,
        prompt: Option<&PromptShape>,
    ) -> bool {
        let Some(stop) = self.stop else { return false };
        let answer_ms = match prompt {
            Some(prompt) => self.backends.typical_stream_ms(service, prompt),
            None => self.backends.typical_reply_ms(service),
        };
        let answer_ms = answer_ms * STOP_DURATION_FACTOR;
        now_ms >= stop.requested_ms + STOP_ADMISSION_MS || now_ms + answer_ms as u64 >= stop.ends_ms
    }
}
