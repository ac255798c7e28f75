//! The metrics of one instance.

use crate::final_answer::Outcome;
use crate::name::Name;
use crate::scheduling::RefusalReason;

/// A sum that only rises.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Counter {
    /// Decisions of the control thread.
    ControlDecisions,
    /// Grants by coordinators.
    Grants,
    /// Bytes received from other instances.
    PeerReceivedBytes,
    /// Bytes sent to other instances.
    PeerSentBytes,
    /// Reads of the platform's service.
    PlatformReads,
    /// Tokens of prompts that engines computed.
    PrefillTokens,
    /// Refusals by coordinators.
    Refusals {
        /// Why.
        reason: RefusalReason,
    },
    /// Final answers.
    Requests {
        /// How the request ended.
        outcome: Outcome,
        /// Its tier.
        tier: Name,
    },
}

/// A quantity whose distribution is kept.
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
