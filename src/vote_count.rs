//! Counts confirmations of the other instances: for homes, recovery and retirement of lists.

use crate::earlier_list::EarlierList;
use crate::member_record::ConfirmationRecord;
use crate::member_records::MemberRecords;
use crate::membership_builder::MembershipBuilder;
use crate::name::Name;
use crate::now::Now;
use crate::view::View;

/// Counts confirmations of the other instances, as of one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteCount<'a> {
    /// Whether this instance may confirm.
    pub(crate) established: bool,
    /// Time as of which they are counted.
    pub(crate) now: Now,
    /// Records of the other instances.
    pub(crate) records: &'a MemberRecords,
    /// Times and rules of membership.
    pub(crate) settings: &'a MembershipBuilder,
    /// The view in force.
    pub(crate) view: &'a View,
}

impl VoteCount<'_> {
    /// Returns the number of members that confirm this instance and its list, itself included.
    pub(crate) fn confirmed(&self) -> usize {
        let version = self.view.list_version();
        let confirms = |record: &ConfirmationRecord| {
            record.list_version == version && self.is_in_window(record)
        };
        usize::from(self.established) + self.count_members(confirms)
    }

    /// Returns whether enough others have answered to replace the state lost in a restart.
    ///
    /// An instance that is not in its list never has such a quorum.
    pub(crate) fn has_recovery_quorum(&self, started_ms: u64) -> bool {
        if !self.view.contains_self() {
            return false;
        }
        let version = self.view.list_version();
        let recovery_from_ms = started_ms + self.settings.confirmation_window_ms;
        let counts_for_recovery = |record: &ConfirmationRecord| {
            record.valid_from_ms >= recovery_from_ms && record.list_version <= version
        };
        let responded = self.count_members(counts_for_recovery);
        let established =
            self.count_members(|record| counts_for_recovery(record) && record.confirms);
        let of = self.view.members().len();
        is_majority(established, of) || responded + 1 >= of
    }

    /// Returns whether more than half of the members of an earlier list have confirmed a later one.
    pub(crate) fn is_retired(&self, list: &EarlierList) -> bool {
        let confirms_later_list = |name: &&Name| self.confirms_later_list(name, list.version);
        is_majority(list.members.iter().filter(confirms_later_list).count(), list.members.len())
    }

    fn count_members<F>(&self, condition: F) -> usize
    where
        F: Fn(&ConfirmationRecord) -> bool,
    {
        let others = self.view.members().iter().filter_map(|name| self.records.confirmation(name));
        others.filter(|record| condition(record)).count()
    }

    fn confirms_later_list(&self, name: &Name, version: u64) -> bool {
        if name == self.view.own_name() {
            return self.established;
        }
        let Some(record) = self.records.get(name) else {
            return false;
        };
        if !self.settings.rules.retirement_window {
            return record.highest_confirmed_version > version;
        }
        let later = |known: &ConfirmationRecord| known.list_version > version;
        record.confirmation.as_ref().is_some_and(|known| later(known) && self.is_in_window(known))
    }

    fn is_in_window(&self, record: &ConfirmationRecord) -> bool {
        let age_ms = self.now.monotonic_ms.saturating_sub(record.valid_from_ms);
        record.confirms && age_ms < self.settings.confirmation_window_ms
    }
}

/// Returns whether a count is more than half.
pub(crate) fn is_majority(count: usize, of: usize) -> bool {
    count * 2 > of
}
