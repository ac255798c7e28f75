//! What the threads that serve requests share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::answer_logs::AnswerLogs;
use crate::clock::Clock;
use crate::control::ControlInput;
use crate::event::Event;
use crate::request_id::RequestId;
use crate::runners::Runners;
use crate::settings::Settings;
use crate::telemetry::Telemetry;

/// What the threads that serve requests share.
pub struct ServingContext {
    /// Answers that others may read.
    pub answer_logs: AnswerLogs,
    /// The clock.
    pub clock: Clock,
    /// The way to the decision core.
    pub control: flume::Sender<ControlInput>,
    /// Commands to the threads.
    pub runners: Runners,
    /// The settings.
    pub settings: Arc<Settings>,
    /// Spans and metrics.
    pub telemetry: Arc<dyn Telemetry>,
    incarnation: u64,
    sequence: AtomicU64,
}

impl ServingContext {
    /// Builds the shared part.
    pub fn new(
        clock: Clock,
        control: flume::Sender<ControlInput>,
        incarnation: u64,
        settings: Arc<Settings>,
        telemetry: Arc<dyn Telemetry>,
    ) -> Self {
        Self {
            answer_logs: AnswerLogs::default(),
            clock,
            control,
            runners: Runners::default(),
            settings,
            telemetry,
            incarnation,
            sequence: AtomicU64::new(1),
        }
    }

    /// Returns the number of the next request.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a request.
    pub fn request_id(&self, sequence: u64) -> RequestId {
        let instance = self.settings.instance.name.clone();
        RequestId { instance, incarnation: self.incarnation, sequence }
    }

    /// Tells the decision core.
    pub fn send_event(&self, event: Event) {
        // The core only goes away when the process ends.
        let _ = self.control.send(ControlInput::Event(event));
    }
}
