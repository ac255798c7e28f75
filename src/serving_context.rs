//! The context shared by the threads that serve requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::answer_logs::AnswerLogs;
use crate::clock::Clock;
use crate::control::ControlInput;
use crate::event::Event;
use crate::gateway::answer_budget::AnswerBudget;
use crate::request_id::RequestId;
use crate::runners::Runners;
use crate::settings::Settings;
use crate::telemetry::Telemetry;

/// Context shared by all threads that serve requests.
pub struct ServingContext {
    /// Memory for answers while they arrive.
    pub answer_budget: AnswerBudget,
    /// Answers that other requests may join.
    pub answer_logs: AnswerLogs,
    /// The clock.
    pub clock: Clock,
    /// Inputs of the control thread, which runs the decision core.
    pub control: flume::Sender<ControlInput>,
    /// Threads that serve requests, and their commands.
    pub runners: Runners,
    /// The settings.
    pub settings: Arc<Settings>,
    /// Spans and metrics.
    pub telemetry: Arc<dyn Telemetry>,
    incarnation: u64,
    sequence: AtomicU64,
}

impl ServingContext {
    /// Creates the context.
    pub fn new(
        clock: Clock,
        control: flume::Sender<ControlInput>,
        incarnation: u64,
        settings: Arc<Settings>,
        telemetry: Arc<dyn Telemetry>,
    ) -> Self {
        Self {
            answer_budget: AnswerBudget::new(settings.caller.intake.answer_memory_bytes),
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

    /// Returns the sequence number of a new request.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a request.
    pub fn request_id(&self, sequence: u64) -> RequestId {
        let instance = self.settings.instance.name.clone();
        RequestId { instance, incarnation: self.incarnation, sequence }
    }

    /// Sends an event to the decision core.
    pub fn send_event(&self, event: Event) {
        // The control thread only ends with the process.
        let _ = self.control.send(ControlInput::Event(event));
    }
}
