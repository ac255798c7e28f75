//! Decides which instances are live, and whether this instance may act as the home of keys.
//!
//! An instance is eligible as a home while more than half of the published list, itself included,
//! has confirmed its list version and incarnation within one confirmation window, and every earlier
//! list version is retired; both must have held for one unbroken window. A confirmation counts from
//! the time at which the heartbeat that it answers was sent.
//!
//! A version is retired once more than half of its members have confirmed a later one within one
//! window; heartbeats and confirmations report retired versions. An earlier list of which this
//! instance has no record counts as retired one key lifetime plus the clock margin after the
//! current version was first seen. Versions increase by one from 1; a gap is a list without a
//! record.
//!
//! A restarted instance has lost the record of what it confirmed. It therefore confirms no other
//! instance for two windows. After that it needs answers to heartbeats that it sent in the second
//! window or later: from established others that make up more than half of its list, or from all
//! others; answers that name a later list don't count. One key lifetime plus the clock margin after
//! its start it confirms in any case. (Compare recovery in viewstamped replication: Liskov and
//! Cowling, "Viewstamped Replication Revisited", 2012, where a replica also waits for a majority
//! before it takes part again.)
//!
//! Not covered: lists of several cells, where keys move between cells when the list changes; and
//! instances that left the list some time ago, restart together and read an equally old list.

use std::cmp::Ordering;

use crate::earlier_list::EarlierList;
use crate::home_eligibility::{HomeEligibility, IneligibleReason};
use crate::member_record::ConfirmationRecord;
use crate::member_records::MemberRecords;
use crate::membership_builder::MembershipBuilder;
use crate::membership_event::{HeartbeatSummary, MembershipEffect, MembershipEvent};
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::{Confirmation, Heartbeat, PeerMessage};
use crate::view::View;
use crate::vote_count::{VoteCount, is_majority};

/// Confirmation windows after its start for which an instance confirms no other.
const ABSTENTION_WINDOWS: u64 = 2;
/// Heartbeat intervals without a heartbeat after which an instance is lost.
const SILENT_INTERVALS: u64 = 3;

/// Decides which instances are live and whether this instance may act as the home of keys.
#[derive(Clone, Debug)]
pub struct Membership {
    earlier_lists: Vec<EarlierList>,
    established: bool,
    first_seen_ms: u64,
    heartbeat_sent_ms: Option<u64>,
    eligible_since: Option<Now>,
    records: MemberRecords,
    retired_version: u64,
    settings: MembershipBuilder,
    started_ms: u64,
    summary: HeartbeatSummary,
    tick_ms: u64,
    unbroken_since: Option<Now>,
    view: View,
}

impl Membership {
    pub(crate) fn start(settings: MembershipBuilder, now: Now, view: View) -> Self {
        Self {
            earlier_lists: Vec::new(),
            established: !settings.rules.abstention && !settings.rules.recovery,
            first_seen_ms: now.monotonic_ms,
            heartbeat_sent_ms: None,
            eligible_since: None,
            records: MemberRecords::default(),
            retired_version: 0,
            settings,
            started_ms: now.monotonic_ms,
            summary: HeartbeatSummary::default(),
            tick_ms: now.monotonic_ms,
            unbroken_since: None,
            view,
        }
    }

    /// Returns the live members, sorted, including this instance if it is in the list.
    pub fn live_members(&self) -> Vec<Name> {
        let mut names = self.records.live_members();
        if !self.view.contains_self() {
            return names;
        }
        if let Err(index) = names.binary_search(self.view.own_name()) {
            names.insert(index, self.view.own_name().clone());
        }
        names
    }

    /// Applies an event and returns its effects, in order.
    pub fn decide(&mut self, now: Now, event: MembershipEvent) -> Vec<MembershipEffect> {
        self.update_eligibility(now);
        let effects = match event {
            MembershipEvent::Confirmation { confirmation, from } => {
                self.receive_confirmation(now, from, &confirmation)
            }
            MembershipEvent::Heartbeat { from, heartbeat } => {
                self.receive_heartbeat(now, from, &heartbeat)
            }
            MembershipEvent::LinkLost { peer } => self.records.mark_lost(&peer),
            MembershipEvent::ListAdopted { view } => self.adopt_list(now, view),
            MembershipEvent::Tick { summary } => self.tick(now, summary),
        };
        self.update_eligibility(now);
        effects
    }

    /// Returns whether this instance may confirm others.
    pub fn is_established(&self) -> bool {
        self.established
    }

    /// Returns the highest list version that is known to be retired, with all before it.
    pub fn retired_version(&self) -> u64 {
        self.retired_version
    }

    /// Returns whether this instance may act as the home of keys.
    pub fn eligibility(&self, now: Now) -> HomeEligibility {
        if let Some(reason) = self.ineligibility(now) {
            return HomeEligibility::Ineligible { reason };
        }
        match self.eligible_since {
            Some(since) => HomeEligibility::Eligible { since },
            None => HomeEligibility::Ineligible { reason: IneligibleReason::Settling },
        }
    }

    /// Returns the view in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn adopt_list(&mut self, now: Now, view: View) -> Vec<MembershipEffect> {
        if view.list_version() <= self.view.list_version() {
            return Vec::new();
        }
        self.earlier_lists.push(EarlierList {
            members: self.view.members().to_vec(),
            version: self.view.list_version(),
        });
        self.view = view;
        self.first_seen_ms = now.monotonic_ms;
        self.reset_eligibility();
        let members = self.view.members();
        self.records.mark_lost_where(|record| members.binary_search(&record.name).is_err())
    }

    fn reset_eligibility(&mut self) {
        self.eligible_since = None;
        self.unbroken_since = None;
    }

    fn receive_confirmation(
        &mut self,
        now: Now,
        from: Name,
        confirmation: &Confirmation,
    ) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.retired_version = self.retired_version.max(confirmation.retired_version);
        self.compare_list(&from, confirmation.list_version, &mut effects);
        let sent_ms = confirmation.heartbeat_sent_ms;
        let answers_this = confirmation.heartbeat_incarnation == self.settings.incarnation;
        if !answers_this || sent_ms > now.monotonic_ms || !self.is_known(&from) {
            return effects;
        }
        let send_time = self.settings.rules.send_time;
        let confirmation = ConfirmationRecord {
            confirms: confirmation.confirms,
            valid_from_ms: if send_time { sent_ms } else { now.monotonic_ms },
            list_version: confirmation.list_version,
        };
        self.records.confirm(from, confirmation);
        effects
    }

    fn compare_list(&self, peer: &Name, version: u64, effects: &mut Vec<MembershipEffect>) {
        if version > self.view.list_version() {
            effects.push(MembershipEffect::ListAhead { peer: peer.clone(), version });
        }
    }

    fn drop_retired_lists(&mut self) {
        let retired_version = self.retired_version;
        if self.earlier_lists.iter().all(|list| list.version > retired_version) {
            return;
        }
        self.earlier_lists.retain(|list| list.version > retired_version);
        let known = self.heartbeat_targets();
        self.records.retain(&known);
    }

    fn has_recovered(&self, now: Now) -> bool {
        !self.settings.rules.recovery
            || self.is_past_lifetime(now, self.started_ms)
            || self.votes(now).has_recovery_quorum(self.started_ms)
    }

    fn receive_heartbeat(
        &mut self,
        now: Now,
        from: Name,
        heartbeat: &Heartbeat,
    ) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.retired_version = self.retired_version.max(heartbeat.retired_version);
        self.compare_list(&from, heartbeat.list_version, &mut effects);
        if heartbeat.config_version > self.summary.config_version {
            let version = heartbeat.config_version;
            effects.push(MembershipEffect::ConfigAhead { peer: from.clone(), version });
        }
        if self.view.members().binary_search(&from).is_ok() {
            effects.extend(self.records.mark_live(now, &from, heartbeat.incarnation));
        }
        let message = PeerMessage::Confirmation(Confirmation {
            confirms: self.established,
            heartbeat_incarnation: heartbeat.incarnation,
            heartbeat_sent_ms: heartbeat.sent_ms,
            list_version: self.view.list_version(),
            retired_version: self.retired_version,
        });
        effects.push(MembershipEffect::Send { message, to: from });
        effects
    }

    fn heartbeat(&self, now: Now) -> Heartbeat {
        Heartbeat {
            config_version: self.summary.config_version,
            incarnation: self.settings.incarnation,
            list_version: self.view.list_version(),
            lowest_waiting_ranks: self.summary.lowest_waiting_ranks.clone(),
            retired_version: self.retired_version,
            sent_ms: now.monotonic_ms,
            stopping: self.summary.stopping,
            suspects: self.summary.suspects.clone(),
        }
    }

    fn heartbeat_targets(&self) -> Vec<Name> {
        let earlier = self.earlier_lists.iter().flat_map(|list| list.members.iter());
        let mut names: Vec<Name> = self.view.members().iter().chain(earlier).cloned().collect();
        names.sort();
        names.dedup();
        names.retain(|name| name != self.view.own_name());
        names
    }

    fn is_known(&self, name: &Name) -> bool {
        let mut lists = self.earlier_lists.iter().map(|list| list.members.as_slice());
        let is_in = |members: &[Name]| members.binary_search(name).is_ok();
        is_in(self.view.members()) || lists.any(is_in)
    }

    fn is_past_lifetime(&self, now: Now, since_ms: u64) -> bool {
        let wait_ms = self.settings.key_lifetime_ms + self.settings.clock_margin_ms;
        now.monotonic_ms.saturating_sub(since_ms) >= wait_ms
    }

    fn is_paused(&self, now: Now) -> bool {
        let gap_ms = now.monotonic_ms.saturating_sub(self.tick_ms);
        self.settings.rules.pause && gap_ms > self.settings.confirmation_window_ms
    }

    /// Returns the version up to which further earlier lists are retired, if any are.
    fn next_retired(&self, now: Now) -> Option<u64> {
        let next = self.retired_version + 1;
        if next >= self.view.list_version() {
            return None;
        }
        let known = self.earlier_lists.iter().find(|list| list.version >= next);
        match known {
            Some(list) if list.version == next => self.votes(now).is_retired(list).then_some(next),
            _ if !self.is_past_lifetime(now, self.first_seen_ms) => None,
            Some(list) => Some(list.version - 1),
            None => Some(self.view.list_version() - 1),
        }
    }

    fn list_ineligibility(&self) -> Option<IneligibleReason> {
        if !self.settings.rules.retirement {
            return None;
        }
        let version = self.retired_version + 1;
        match version.cmp(&self.view.list_version()) {
            Ordering::Equal => None,
            Ordering::Greater => Some(IneligibleReason::ListRetired),
            Ordering::Less => Some(IneligibleReason::EarlierListInUse { version }),
        }
    }

    fn update_eligibility(&mut self, now: Now) {
        if self.is_paused(now) {
            self.reset_eligibility();
        }
        self.update_established(now);
        self.retire_lists(now);
        if self.ineligibility(now).is_some() {
            self.reset_eligibility();
            return;
        }
        let unbroken_since = *self.unbroken_since.get_or_insert(now);
        let unbroken_ms = now.monotonic_ms.saturating_sub(unbroken_since.monotonic_ms);
        let settled = unbroken_ms >= self.settings.confirmation_window_ms;
        if settled || !self.settings.rules.unbroken_window {
            self.eligible_since.get_or_insert(now);
        }
    }

    fn update_established(&mut self, now: Now) {
        let abstention_ms = ABSTENTION_WINDOWS * self.settings.confirmation_window_ms;
        let age_ms = now.monotonic_ms.saturating_sub(self.started_ms);
        let abstains = self.settings.rules.abstention && age_ms < abstention_ms;
        self.established |= !abstains && self.has_recovered(now);
    }

    fn ineligibility(&self, now: Now) -> Option<IneligibleReason> {
        if !self.view.contains_self() {
            return Some(IneligibleReason::NotMember);
        }
        if self.is_paused(now) {
            return Some(IneligibleReason::Paused);
        }
        if let Some(reason) = self.list_ineligibility() {
            return Some(reason);
        }
        let (confirmed, of) = (self.votes(now).confirmed(), self.view.members().len());
        if self.settings.rules.majority && !is_majority(confirmed, of) {
            return Some(IneligibleReason::NoMajority { confirmed, of });
        }
        None
    }

    fn retire_lists(&mut self, now: Now) {
        while let Some(version) = self.next_retired(now) {
            self.retired_version = version;
        }
        self.drop_retired_lists();
    }

    fn tick(&mut self, now: Now, summary: HeartbeatSummary) -> Vec<MembershipEffect> {
        self.tick_ms = now.monotonic_ms;
        self.summary = summary;
        let limit_ms = SILENT_INTERVALS * self.settings.heartbeat_interval_ms;
        let silent_ms = |last_heartbeat_ms| now.monotonic_ms.saturating_sub(last_heartbeat_ms);
        let mut effects =
            self.records.mark_lost_where(|record| silent_ms(record.last_heartbeat_ms) >= limit_ms);
        effects.extend(self.send_heartbeats(now));
        effects
    }

    fn send_heartbeats(&mut self, now: Now) -> Vec<MembershipEffect> {
        let next_ms = self.heartbeat_sent_ms.map(|ms| ms + self.settings.heartbeat_interval_ms);
        if next_ms.is_some_and(|next_ms| now.monotonic_ms < next_ms) {
            return Vec::new();
        }
        self.heartbeat_sent_ms = Some(now.monotonic_ms);
        let message = PeerMessage::Heartbeat(self.heartbeat(now));
        let targets = self.heartbeat_targets().into_iter();
        targets.map(|to| MembershipEffect::Send { message: message.clone(), to }).collect()
    }

    fn votes(&self, now: Now) -> VoteCount<'_> {
        VoteCount {
            established: self.established,
            now,
            records: &self.records,
            settings: &self.settings,
            view: &self.view,
        }
    }
}
