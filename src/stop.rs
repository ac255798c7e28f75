//! Planned stop: refuses new requests, lets running ones finish and hands the keys over.

use crate::answers;
use crate::core::{Core, StopState};
use crate::effect::Effect;
use crate::now::Now;
use crate::request::Request;

impl Core {
    pub(crate) fn begin_stop(&mut self, now: Now) {
        if self.stop.is_some() {
            return;
        }
        let limit_ms = now.monotonic_ms + self.settings.shutdown.drain_limit_ms;
        let earliest_ms = now.monotonic_ms + self.settings.shutdown.notice_ms;
        self.stop = Some(StopState { earliest_ms, limit_ms, reported: false });
        self.log("stop", "Stopping: new requests are refused.");
        self.hand_over_keys(now);
        self.move_grant_requests(now, None);
    }

    pub(crate) fn continue_stop(&mut self, now: Now) {
        let Some(stop) = self.stop else { return };
        if stop.reported {
            return;
        }
        if now.monotonic_ms >= stop.limit_ms {
            self.reject_waiting(now);
            self.abort_running();
        }
        let is_empty = self.requests.active().next().is_none();
        let notice_passed = now.monotonic_ms >= stop.earliest_ms;
        if !(is_empty && notice_passed) && now.monotonic_ms < stop.limit_ms {
            return;
        }
        self.stop = Some(StopState { reported: true, ..stop });
        self.log("stop", "All requests have ended.");
        self.effects.push(Effect::Stopped);
    }

    /// Answers running requests; each is ended when the progress of its run arrives.
    fn abort_running(&mut self) {
        for sequence in self.requests.sequences_where(Request::is_running) {
            let answer = answers::drain_limit_passed();
            self.effects.push(Effect::Answer { answer, sequence });
        }
    }

    fn reject_waiting(&mut self, now: Now) {
        let is_waiting = |request: &Request| !request.is_running();
        for sequence in self.requests.sequences_where(is_waiting) {
            self.withdraw_waiting(now, sequence);
            self.end_with(now, sequence, answers::stopping());
        }
    }
}
