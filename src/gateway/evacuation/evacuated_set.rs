//! The evacuated data centres as far as they are known, without sockets and clocks.
//!
//! The set is always a whole one: what it does not name is not evacuated as of its position. So sets
//! can be merged in any order, and the end of an evacuation is only ever taken from the store's word
//! that the item is gone, never from silence.

use crate::gateway::fleet::additions::ToldEvacuations;
use crate::gateway::store_item::{StoreItem, StorePosition};
use crate::name::Name;

/// Time after which a store that came back from an older copy is listed again before an evacuation
/// that it lacks ends, in milliseconds.
const SETTLE_MS: u64 = 2_500;
/// The same for an instance that heard of the older copy from another one, which lists it sooner.
const SETTLE_TOLD_MS: u64 = 2 * SETTLE_MS;

/// How far the set is known.
///
/// Of one era, a set that was settled precedes one that still holds evacuations of the era before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Extent {
    era: u64,
    is_settled: bool,
    revision: u64,
}

impl Extent {
    fn new(position: StorePosition, is_settled: bool) -> Self {
        Self { era: position.era, is_settled, revision: position.revision }
    }

    fn position(self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }
}

/// Evacuations that began or ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SetChange {
    /// Data centres that are evacuated from now on.
    pub begun: Vec<Name>,
    /// Data centres that are no longer evacuated.
    pub ended: Vec<Name>,
}

impl SetChange {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// What of the set an instance lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lack {
    /// It needs a full listing.
    All,
    /// It needs the changes after this position.
    ChangesAfter(StorePosition),
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedSet {
    changed_ms: u64,
    /// Sorted by name.
    data_centres: Vec<Name>,
    /// `None` until anything is known.
    extent: Option<Extent>,
    /// When the store is listed again, since it came back from an older copy that lacks evacuations.
    settle_at_ms: Option<u64>,
}

impl EvacuatedSet {
    /// Returns the evacuated data centres, sorted by name.
    pub fn data_centres(&self) -> &[Name] {
        &self.data_centres
    }

    /// Returns when the set last changed, in milliseconds of the boot clock.
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Returns the position up to which the set is known.
    pub fn position(&self) -> Option<StorePosition> {
        self.extent.map(Extent::position)
    }

    /// Returns what is lacking to know the set up to a position.
    pub fn lack(&self, position: StorePosition) -> Option<Lack> {
        match self.extent.map(Extent::position) {
            None => Some(Lack::All),
            Some(known) if known >= position => None,
            Some(known) if known.era == position.era => Some(Lack::ChangesAfter(known)),
            Some(_) => Some(Lack::All),
        }
    }

    /// Returns whether the store should be listed to settle which evacuations an older copy lacks.
    pub fn is_settling_due(&self, now_ms: u64) -> bool {
        self.settle_at_ms.is_some_and(|settle_ms| now_ms >= settle_ms)
    }

    /// Merges changes of the store that are complete from `after` up to `position`; does nothing if
    /// those before `after` are not all known.
    pub fn merge_changes(
        &mut self,
        now_ms: u64,
        after: StorePosition,
        position: StorePosition,
        items: &[StoreItem],
    ) -> SetChange {
        let Some(extent) = self.extent else { return SetChange::default() };
        let known = extent.position();
        if known < after || position <= known || position.era != known.era {
            return SetChange::default();
        }
        let mut data_centres = self.data_centres.clone();
        for item in items {
            match item {
                StoreItem::Evacuated { data_centre } => insert(&mut data_centres, data_centre),
                StoreItem::EvacuationEnded { data_centre } => {
                    data_centres.retain(|known| known != data_centre);
                }
                _ => {}
            }
        }
        self.replace(now_ms, Extent::new(position, extent.is_settled), data_centres)
    }

    /// Merges a full listing of the store.
    pub fn merge_listing(
        &mut self,
        now_ms: u64,
        position: StorePosition,
        items: &[StoreItem],
    ) -> SetChange {
        let mut listed = Vec::new();
        for item in items {
            if let StoreItem::Evacuated { data_centre } = item {
                insert(&mut listed, data_centre);
            }
        }
        if self.extent.is_some_and(|extent| position < extent.position()) {
            return SetChange::default();
        }
        let is_older_copy = self.extent.is_some_and(|extent| extent.era < position.era);
        let waits = self.settle_at_ms.is_some_and(|settle_ms| now_ms < settle_ms);
        let before = listed.len();
        if is_older_copy || waits {
            self.data_centres.iter().for_each(|known| insert(&mut listed, known));
        }
        let is_settled = listed.len() == before;
        match is_settled {
            true => self.settle_at_ms = None,
            false if is_older_copy => self.settle_at_ms = Some(now_ms + SETTLE_MS),
            false => {}
        }
        self.replace(now_ms, Extent::new(position, is_settled), listed)
    }

    /// Merges the set of another instance, unless this one knows as much.
    pub fn merge_told(&mut self, now_ms: u64, told: &ToldEvacuations) -> SetChange {
        let extent = Extent::new(told.position, told.is_settled);
        if self.extent.is_some_and(|known| extent <= known) {
            return SetChange::default();
        }
        let mut data_centres = Vec::new();
        told.data_centres.iter().for_each(|told| insert(&mut data_centres, told));
        if told.is_settled {
            self.settle_at_ms = None;
        } else {
            self.data_centres.iter().for_each(|known| insert(&mut data_centres, known));
            self.settle_at_ms.get_or_insert(now_ms + SETTLE_TOLD_MS);
        }
        self.replace(now_ms.saturating_sub(told.age_ms), extent, data_centres)
    }

    /// Returns the set for another instance; `None` if nothing is known.
    pub fn told(&self, now_ms: u64) -> Option<ToldEvacuations> {
        let extent = self.extent?;
        Some(ToldEvacuations {
            age_ms: now_ms.saturating_sub(self.changed_ms),
            data_centres: self.data_centres.clone(),
            is_settled: extent.is_settled,
            position: extent.position(),
        })
    }

    fn replace(&mut self, changed_ms: u64, extent: Extent, data_centres: Vec<Name>) -> SetChange {
        let lacks = |list: &[Name], name: &Name| list.binary_search(name).is_err();
        let begun = data_centres.iter().filter(|name| lacks(&self.data_centres, name));
        let ended = self.data_centres.iter().filter(|name| lacks(&data_centres, name));
        let change = SetChange { begun: begun.cloned().collect(), ended: ended.cloned().collect() };
        self.extent = Some(extent);
        if !change.is_empty() {
            self.changed_ms = changed_ms;
            self.data_centres = data_centres;
        }
        change
    }
}

/// Adds a name to a sorted list; an item may name none.
fn insert(sorted: &mut Vec<Name>, name: &Name) {
    if !name.is_empty()
        && let Err(index) = sorted.binary_search(name)
    {
        sorted.insert(index, name.clone());
    }
}
