//! Counts, by customer and rank, who got the room and who was refused.

use std::collections::BTreeMap;

use crate::gateway::admission::Rank;
use crate::gateway::sharing::sharer::Sharer;
use crate::name::Name;

/// Number of customers of a service that are counted by name; the others are counted together.
const NAMED_LIMIT: usize = 32;
/// Name of all others.
const OTHERS: &str = "others";

/// What one customer got and did not get at one rank.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareCount {
    /// Requests that were taken out of the queue for others, or waited in vain.
    pub displaced: u64,
    /// Places granted.
    pub granted: u64,
    /// Expected use of these places, in microseconds of an engine.
    pub granted_us: u64,
    /// Requests that were refused at once.
    pub refused: u64,
    /// Time for which requests waited, in milliseconds.
    pub waited_ms: u64,
}

/// The counts of one service.
#[derive(Clone, Debug, Default)]
pub struct ShareTally {
    counts: BTreeMap<(Rank, Name), ShareCount>,
    named: Vec<Name>,
}

impl ShareTally {
    /// Returns the counts of a sharer at a rank, to be raised.
    pub fn entry(&mut self, rank: Rank, sharer: &Sharer) -> &mut ShareCount {
        let label = sharer.label();
        let name = match self.named.binary_search_by(|known| (**known).cmp(label)) {
            Ok(index) => self.named[index].clone(),
            Err(index) if self.named.len() < NAMED_LIMIT => {
                let name = Name::from(label);
                self.named.insert(index, name.clone());
                name
            }
            Err(_) => Name::from(OTHERS),
        };
        self.counts.entry((rank, name)).or_default()
    }

    /// Returns all counts, by rank and name.
    pub fn iter(&self) -> impl Iterator<Item = (Rank, &Name, &ShareCount)> {
        self.counts.iter().map(|((rank, name), count)| (*rank, name, count))
    }
}
