//! Follows the evacuations: from the store, from store updates and from the reports of other
//! instances.

use crate::gateway::evacuation::evacuated_set::{Lack, SetChange};
use crate::gateway::fleet::additions::ToldEvacuations;
use crate::gateway::state::GatewayState;
use crate::gateway::store_item::{StoreChanges, StoreItem, StorePosition};
use crate::gateway::store_read::StoreRead;
use crate::gateway::store_updates::StateChange;
use crate::name::Name;

/// Time for which every report repeats a change, in milliseconds.
const REPEAT_MS: u64 = 1_500;
/// Time for which reports tell that no data centre is evacuated any more, in milliseconds.
const END_EXPIRY_MS: u64 = 60_000;
/// Time between two tellings of a set that did not change lately, in milliseconds.
const ROTATION_MS: u64 = 1_200;
/// Time of these in which reports tell it, in milliseconds.
const TOLD_MS: u64 = 300;
/// Longest names in a report, all together, in bytes; a larger set is left to store updates.
const REPORTED_BYTES: usize = 256;
/// Time for which an instance that lacks a part of the set waits to be told, as a share of the bound.
const LACK_SHARE: f64 = 0.25;
/// The same for the instance that reads the store for others, in milliseconds; between two reads of what
/// it lacks it reads what is new.
const READER_LACK_MS: u64 = 250;

/// Where an instance has an evacuation, or its end, from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeardFrom {
    /// A report of this instance.
    Instance(Name),
    /// The store.
    Store,
    /// A store update of another instance.
    Update,
}

impl GatewayState {
    /// Returns the evacuated data centres, sorted by name.
    pub fn evacuated(&self) -> &[Name] {
        self.evacuated.data_centres()
    }

    /// Applies changes after an earlier position than the known one, for the evacuations among them;
    /// an instance of an earlier build had passed on the rest without these.
    pub fn apply_missed_changes(
        &mut self,
        now_ms: u64,
        after: StorePosition,
        changes: &StoreChanges,
    ) -> Vec<StateChange> {
        let StoreChanges { items, position } = changes;
        let change = self.evacuated.merge_changes(now_ms, after, *position, items);
        self.evacuations_changed(now_ms, change, HeardFrom::Store)
    }

    /// Merges the evacuations of a store update.
    pub(crate) fn apply_told_evacuations(
        &mut self,
        now_ms: u64,
        told: &ToldEvacuations,
        from: HeardFrom,
    ) -> Vec<StateChange> {
        let change = self.evacuated.merge_told(now_ms, told);
        self.evacuations_changed(now_ms, change, from)
    }

    /// Merges the evacuations among changes that follow the known position of the store.
    pub(crate) fn merge_evacuations(
        &mut self,
        now_ms: u64,
        changes: &StoreChanges,
    ) -> Vec<StateChange> {
        match self.store_position {
            Some(after) => self.apply_missed_changes(now_ms, after, changes),
            None => Vec::new(),
        }
    }

    /// Merges the evacuations of a full listing of the store.
    pub(crate) fn merge_listed_evacuations(
        &mut self,
        now_ms: u64,
        listing: &StoreChanges,
    ) -> Vec<StateChange> {
        let StoreChanges { items, position } = listing;
        let change = self.evacuated.merge_listing(now_ms, *position, items);
        self.evacuations_changed(now_ms, change, HeardFrom::Store)
    }

    /// Returns the evacuations for a store update.
    pub(crate) fn evacuations_for_update(&self) -> Option<ToldEvacuations> {
        self.evacuated.told(0).map(|told| ToldEvacuations { age_ms: 0, ..told })
    }

    /// Returns the evacuations for a report: in each for a while after a change, and then from time to
    /// time.
    pub(crate) fn evacuations_for_report(&self, now_ms: u64) -> Option<ToldEvacuations> {
        let age_ms = now_ms.saturating_sub(self.evacuated.changed_ms());
        let is_over = self.evacuated().is_empty() && age_ms >= END_EXPIRY_MS;
        let is_due = age_ms < REPEAT_MS || now_ms % ROTATION_MS < TOLD_MS;
        let bytes = self.evacuated().iter().map(|name| name.len()).sum::<usize>();
        if is_over || !is_due || bytes > REPORTED_BYTES || self.evacuated.changed_ms() == 0 {
            return None;
        }
        self.evacuated.told(now_ms)
    }

    /// Returns the read of the store that is due because a part of the set is lacking, or the time
    /// until there is one, in milliseconds.
    pub(crate) fn read_for_evacuations(&self, now_ms: u64) -> Result<StoreRead, u64> {
        let Some(position) = self.store_position else { return Err(u64::MAX) };
        if self.evacuated.is_settling_due(now_ms) {
            return Ok(StoreRead::List);
        }
        let Some(lack) = self.evacuated.lack(position) else { return Err(u64::MAX) };
        let is_reader = self.fleet.is_reader(now_ms, self.store_reachable);
        let told_ms = (self.settings.bounds.evacuation_ms as f64 * LACK_SHARE) as u64;
        let wait_ms = if is_reader { READER_LACK_MS } else { told_ms };
        let due_ms = self.evacuated_lack.map_or(now_ms, |(_, since_ms)| since_ms) + wait_ms;
        match lack {
            Lack::All => Ok(StoreRead::List),
            _ if now_ms < due_ms => Err(due_ms - now_ms),
            Lack::ChangesAfter(after) => Ok(StoreRead::Missed { after }),
        }
    }

    /// Records what of the set is lacking, and since when; as parts arrive, the time starts anew.
    pub(crate) fn note_lacking_evacuations(&mut self, now_ms: u64) {
        let lack = self.store_position.and_then(|position| self.evacuated.lack(position));
        let since_ms = match self.evacuated_lack {
            Some((known, since_ms)) if Some(known) == lack => since_ms,
            _ => now_ms,
        };
        self.evacuated_lack = lack.map(|lack| (lack, since_ms));
    }

    fn evacuations_changed(
        &mut self,
        now_ms: u64,
        change: SetChange,
        from: HeardFrom,
    ) -> Vec<StateChange> {
        self.note_lacking_evacuations(now_ms);
        if change.is_empty() {
            return Vec::new();
        }
        self.backends.set_evacuated(self.evacuated.data_centres());
        self.fleet.is_urgent |= self.fleet.is_coordinating() || from == HeardFrom::Store;
        let age_ms = now_ms.saturating_sub(self.evacuated.changed_ms());
        vec![StateChange::Evacuations { age_ms, change, from }]
    }
}

/// Returns why an item of the store names no data centre to be evacuated, if it does not.
pub(crate) fn fault_of(item: &StoreItem) -> Option<StateChange> {
    match item {
        StoreItem::Evacuated { data_centre } if data_centre.is_empty() => {
            let detail = "it names no data centre".to_owned();
            Some(StateChange::Unreadable { item: "evacuation".into(), detail })
        }
        _ => None,
    }
}
