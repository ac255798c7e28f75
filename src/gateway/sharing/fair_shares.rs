//! Decides whose turn it is within one rank: start-time fair queueing by cost.
//!
//! The load it answers: a customer that sends many times its usual, for a moment or for good. Each
//! request begins, in virtual time, where the one before it of the same sharer ended, or now; the
//! earliest begin is served first. A sharer that wanted nothing has no credit, and one that used idle
//! room has no debt beyond its last request.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::sharing::sharer::Sharer;

/// The accounts of the sharers of one rank.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// Virtual end of the last request of those that are ahead of the virtual time.
    accounts: BTreeMap<Sharer, u64>,
    by_end: BTreeSet<(u64, Sharer)>,
    virtual_us: u64,
}

impl FairShares {
    /// Returns when the next request of a sharer begins, in virtual time.
    pub fn begin_us(&self, sharer: &Sharer) -> u64 {
        self.accounts.get(sharer).copied().unwrap_or_default().max(self.virtual_us)
    }

    /// Returns by how much a sharer is ahead of the virtual time, in microseconds of an engine.
    pub fn lead_us(&self, sharer: &Sharer) -> u64 {
        self.begin_us(sharer) - self.virtual_us
    }

    /// Charges a request that gets a place to its sharer.
    pub fn charge(&mut self, sharer: &Sharer, cost_us: u64) {
        let begin_us = self.begin_us(sharer);
        let end_us = begin_us.saturating_add(cost_us);
        if let Some(before_us) = self.accounts.insert(sharer.clone(), end_us) {
            self.by_end.remove(&(before_us, sharer.clone()));
        }
        self.by_end.insert((end_us, sharer.clone()));
        self.virtual_us = begin_us;
        self.forget_settled();
    }

    /// Returns the number of accounts that are kept.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account is ahead of the virtual time.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn forget_settled(&mut self) {
        while let Some((end_us, _)) = self.by_end.first()
            && *end_us <= self.virtual_us
            && let Some((_, sharer)) = self.by_end.pop_first()
        {
            self.accounts.remove(&sharer);
        }
    }
}
