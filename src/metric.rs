//! The counts and measurements that an instance records as metrics, and the attributes of each.

use crate::final_answer::Outcome;
use crate::intake::body_reader::BodyFault;
use crate::intake::closing_cause::ClosingCause;
use crate::name::Name;
use crate::scheduling::RefusalReason;

/// A monotonic counter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Counter {
    /// Requests of which no whole body was read.
    BodyFaults {
        /// What was wrong.
        fault: BodyFault,
    },
    /// Connections of callers that were closed for a limit.
    ClosedConnections {
        /// The limit.
        cause: ClosingCause,
    },
    /// Decisions by the control thread.
    ControlDecisions,
    /// Answers that were given up for their length.
    EndlessAnswers,
    /// Grants by coordinators.
    Grants,
    /// Bytes received from other instances.
    PeerReceivedBytes,
    /// Bytes sent to other instances.
    PeerSentBytes,
    /// Reads of the platform's service.
    PlatformReads,
    /// Prompt tokens that engines computed.
    PrefillTokens,
    /// Refusals by coordinators.
    Refusals {
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// Final answers.
    Requests {
        /// Outcome of the request.
        outcome: Outcome,
        /// Its tier.
        tier: Name,
    },
}

/// A quantity that is recorded as a histogram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Quantity {
    /// Processor time of one decision, in microseconds.
    ControlDecisionUs,
    /// Time from the caller's request to the first token, in milliseconds.
    FirstTokenMs {
        /// Tier of the request.
        tier: Name,
    },
}
