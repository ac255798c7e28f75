//! The OpenTelemetry instruments of the metrics.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter as OtelCounter, Histogram, Meter};

use crate::final_answer::Outcome;
use crate::metric::{Counter, Quantity};
use crate::scheduling::RefusalReason;

/// One instrument for each metric.
pub(crate) struct OtlpMetrics {
    body_faults: OtelCounter<u64>,
    closed_connections: OtelCounter<u64>,
    control_decision_us: Histogram<u64>,
    control_decisions: OtelCounter<u64>,
    endless_answers: OtelCounter<u64>,
    first_token_ms: Histogram<u64>,
    grants: OtelCounter<u64>,
    peer_received_bytes: OtelCounter<u64>,
    peer_sent_bytes: OtelCounter<u64>,
    platform_reads: OtelCounter<u64>,
    prefill_tokens: OtelCounter<u64>,
    refusals: OtelCounter<u64>,
    requests: OtelCounter<u64>,
}

impl OtlpMetrics {
    /// Creates the instruments.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| meter.u64_histogram(name).build();
        Self {
            body_faults: counter("bergamotspan.body_faults"),
            closed_connections: counter("bergamotspan.closed_connections"),
            control_decision_us: histogram("bergamotspan.control_decision_us"),
            control_decisions: counter("bergamotspan.control_decisions"),
            endless_answers: counter("bergamotspan.endless_answers"),
            first_token_ms: histogram("bergamotspan.first_token_ms"),
            grants: counter("bergamotspan.grants"),
            peer_received_bytes: counter("bergamotspan.peer_received_bytes"),
            peer_sent_bytes: counter("bergamotspan.peer_sent_bytes"),
            platform_reads: counter("bergamotspan.platform_reads"),
            prefill_tokens: counter("bergamotspan.prefill_tokens"),
            refusals: counter("bergamotspan.refusals"),
            requests: counter("bergamotspan.requests"),
        }
    }

    /// Adds to a counter.
    pub(crate) fn count(&self, counter: Counter, amount: u64) {
        match counter {
            Counter::BodyFaults { fault } => {
                self.body_faults.add(amount, &[KeyValue::new("reason", fault.name())]);
            }
            Counter::ClosedConnections { cause } => {
                self.closed_connections.add(amount, &[KeyValue::new("cause", cause.name())]);
            }
            Counter::ControlDecisions => self.control_decisions.add(amount, &[]),
            Counter::EndlessAnswers => self.endless_answers.add(amount, &[]),
            Counter::Grants => self.grants.add(amount, &[]),
            Counter::PeerReceivedBytes => self.peer_received_bytes.add(amount, &[]),
            Counter::PeerSentBytes => self.peer_sent_bytes.add(amount, &[]),
            Counter::PlatformReads => self.platform_reads.add(amount, &[]),
            Counter::PrefillTokens => self.prefill_tokens.add(amount, &[]),
            Counter::Refusals { reason } => {
                self.refusals.add(amount, &[KeyValue::new("reason", reason_name(reason))]);
            }
            Counter::Requests { outcome, tier } => {
                let outcome = KeyValue::new("outcome", outcome_name(outcome));
                self.requests.add(amount, &[outcome, KeyValue::new("tier", tier)]);
            }
        }
    }

    /// Records one value of a quantity.
    pub(crate) fn measure(&self, quantity: Quantity, value: u64) {
        match quantity {
            Quantity::ControlDecisionUs => self.control_decision_us.record(value, &[]),
            Quantity::FirstTokenMs { tier } => {
                self.first_token_ms.record(value, &[KeyValue::new("tier", tier)]);
            }
        }
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}

fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::CannotFinishInTime => "cannot_finish_in_time",
        RefusalReason::NoBackendServer => "no_backend_server",
        RefusalReason::NoRoom => "no_room",
        RefusalReason::Quarantined => "quarantined",
    }
}
