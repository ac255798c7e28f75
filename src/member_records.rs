//! The states of the other instances, as membership records them.

use crate::member_record::{ConfirmationRecord, MemberRecord};
use crate::membership_event::MembershipEffect;
use crate::name::Name;
use crate::now::Now;

/// States of the other instances, sorted by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberRecords {
    sorted: Vec<MemberRecord>,
}

impl MemberRecords {
    /// Returns the names of the live instances, sorted.
    pub(crate) fn live_members(&self) -> Vec<Name> {
        let live = self.sorted.iter().filter(|record| record.incarnation.is_some());
        live.map(|record| record.name.clone()).collect()
    }

    /// Records a confirmation.
    pub(crate) fn confirm(&mut self, name: Name, confirmation: ConfirmationRecord) {
        self.get_or_insert(name).confirm(confirmation);
    }

    /// Returns the latest confirmation of an instance.
    pub(crate) fn confirmation(&self, name: &Name) -> Option<&ConfirmationRecord> {
        self.get(name)?.confirmation.as_ref()
    }

    /// Returns the record of an instance.
    pub(crate) fn get(&self, name: &Name) -> Option<&MemberRecord> {
        let index = self.sorted.binary_search_by(|record| record.name.cmp(name)).ok()?;
        self.sorted.get(index)
    }

    /// Marks an instance as lost.
    pub(crate) fn mark_lost(&mut self, name: &Name) -> Vec<MembershipEffect> {
        self.mark_lost_where(|record| record.name == *name)
    }

    /// Marks the instances that meet a condition as lost.
    pub(crate) fn mark_lost_where<F>(&mut self, condition: F) -> Vec<MembershipEffect>
    where
        F: Fn(&MemberRecord) -> bool,
    {
        let mut effects = Vec::new();
        for record in self.sorted.iter_mut().filter(|record| condition(record)) {
            if record.incarnation.take().is_some() {
                effects.push(MembershipEffect::PeerLost { peer: record.name.clone() });
            }
        }
        effects
    }

    /// Records a heartbeat of a live instance.
    pub(crate) fn mark_live(
        &mut self,
        now: Now,
        peer: &Name,
        incarnation: u64,
    ) -> Vec<MembershipEffect> {
        let record = self.get_or_insert(peer.clone());
        record.last_heartbeat_ms = now.monotonic_ms;
        let before = record.incarnation.replace(incarnation);
        if before == Some(incarnation) {
            return Vec::new();
        }
        let lost = before.map(|_| MembershipEffect::PeerLost { peer: peer.clone() });
        let live = MembershipEffect::PeerLive { incarnation, peer: peer.clone() };
        lost.into_iter().chain([live]).collect()
    }

    /// Removes all records but those of the given instances, which are sorted.
    pub(crate) fn retain(&mut self, known: &[Name]) {
        self.sorted.retain(|record| known.binary_search(&record.name).is_ok());
    }

    fn get_or_insert(&mut self, name: Name) -> &mut MemberRecord {
        let found = self.sorted.binary_search_by(|record| record.name.cmp(&name));
        let index = found.unwrap_or_else(|index| {
            self.sorted.insert(index, MemberRecord::new(name));
            index
        });
        &mut self.sorted[index]
    }
}
