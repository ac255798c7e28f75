//! The result of the membership decision on key homes: since when an instance may act as one, or
//! the reason for which it may not.

use crate::now::Now;

/// Whether an instance may act as the home of keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HomeEligibility {
    /// It may grant keys that were minted late enough after `since`.
    Eligible {
        /// End of the first unbroken confirmation window.
        since: Now,
    },
    /// It may grant nothing.
    Ineligible {
        /// The reason.
        reason: IneligibleReason,
    },
}

/// Why an instance may not act as the home of keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IneligibleReason {
    /// An earlier list version is not known to be retired.
    EarlierListInUse {
        /// Lowest such version.
        version: u64,
    },
    /// The list version in force is itself retired; a later one must be fetched.
    ListRetired,
    /// Too few instances confirm it.
    NoMajority {
        /// Number of instances that confirm it, itself included.
        confirmed: usize,
        /// Number of instances in the published list.
        of: usize,
    },
    /// The published list doesn't contain it.
    NotMember,
    /// The process was paused.
    Paused,
    /// A majority confirms it, but not yet for a whole window.
    Settling,
}
