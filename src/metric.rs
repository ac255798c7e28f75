//! The counts and measurements that an instance records as metrics, and the attributes of each.

use crate::final_answer::Outcome;
use crate::name::Name;
use crate::scheduling::RefusalReason;

/// A monotonic counter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Counter {
    /// Decisions by the control thread.
    ControlDecisions,
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
