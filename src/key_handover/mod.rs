//! Decides which keys a home hands over when the list changes, and which earlier keys a home may
//! grant because the former homes have told it everything.
//!
//! Load: a change of the list moves keys between homes while their callers send them again. Without
//! a handover each such key is answered `unknown` for its lifetime.
//!
//! An instance seals a list by adopting the next one. It sends its seal once that list is retired:
//! then no incarnation of it can become eligible under that list again. The seal hands over the
//! records of the keys that move to the receiver, and names a floor: the sender knows all grants of
//! the keys minted later. A home may grant a key that was minted before it became eligible if the
//! former home of that key sealed the list directly before with a floor below the key's minting.
//!
//! A home that stops seals as well, but may start again under the same list. Its seal counts only
//! if so many instances attest that they confirmed no later incarnation of it under that list that
//! the others are no majority. Its successors pass on what it handed over to them.
//!
//! A floor is the end of the first window in which the home was eligible, plus twice the clock
//! margin, or the highest floor of the former homes of its keys. What an earlier incarnation of the
//! receiver granted is not known; the floor is therefore raised to the start of the receiver, unless
//! enough instances have heard of no earlier one under its list.
//!
//! Whatever is missing (a lost seal or part, a full home, a list that was skipped, lists of several
//! cells) leaves the answer `unknown`.

mod received;
mod seal;

pub use seal::{KeySeal, StoppedHome};

use crate::home_eligibility::HomeEligibility;
use crate::home_rules::HomeRules;
use crate::key_home::KeyHome;
use crate::name::Name;
use crate::now::Now;
use crate::peer_message::KeyRecord;
use crate::view::{View, home_among, successor_among};
use crate::vote_count::is_majority;
use received::ReceivedSeals;

const SKEW_MARGINS: u64 = 2;

/// Times and rules of a handover.
#[derive(Clone, Copy, Debug)]
pub struct HandoverSettings {
    /// Largest skew between two wall clocks, in milliseconds.
    pub clock_margin_ms: u64,
    /// Time for which a confirmation is valid, in milliseconds.
    pub confirmation_window_ms: u64,
    /// Incarnation of this instance.
    pub incarnation: u64,
    /// Maximum number of records in one part of a seal.
    pub part_limit_records: usize,
    /// Rules in force.
    pub rules: HomeRules,
}

/// What this instance knows of the keys granted under earlier lists.
#[derive(Clone, Debug)]
pub struct KeyHandover {
    attempt: u64,
    eligible_since: Option<Now>,
    former: Option<FormerList>,
    heard: Vec<HeardPeer>,
    received: ReceivedSeals,
    sent: Vec<(Name, u64)>,
    settings: HandoverSettings,
    started: Now,
    view: View,
}

/// The list directly before the one in force, if it was in force here.
#[derive(Clone, Debug)]
struct FormerList {
    floor_ms: Option<u64>,
    heard: Vec<HeardPeer>,
    view: View,
}

/// A peer whose heartbeats were answered under one list.
#[derive(Clone, Debug)]
struct HeardPeer {
    incarnation: u64,
    name: Name,
    sole: bool,
}

impl KeyHandover {
    /// Creates the state of an instance that starts with the given view.
    pub fn start(settings: HandoverSettings, now: Now, view: View) -> Self {
        Self {
            attempt: 0,
            eligible_since: None,
            former: None,
            heard: Vec::new(),
            received: ReceivedSeals::default(),
            sent: Vec::new(),
            settings,
            started: now,
            view,
        }
    }

    /// Records that a heartbeat of a peer is answered under the list in force.
    pub fn hear(&mut self, from: &Name, incarnation: u64) {
        match self.heard.iter_mut().find(|heard| heard.name == *from) {
            Some(heard) if heard.incarnation == incarnation => {}
            Some(heard) => (heard.incarnation, heard.sole) = (incarnation, false),
            None => self.heard.push(HeardPeer { incarnation, name: from.clone(), sole: true }),
        }
    }

    /// Records whether this instance may act as the home of keys under the list in force.
    pub fn observe(&mut self, eligibility: &HomeEligibility) {
        if let HomeEligibility::Eligible { since } = eligibility {
            self.eligible_since.get_or_insert(*since);
        }
    }

    /// Adopts a later list, which seals the one in force.
    pub fn adopt(&mut self, view: View) {
        if view.list_version() <= self.view.list_version() {
            return;
        }
        let is_next = view.list_version() == self.view.list_version() + 1;
        let has_one_cell = self.view.cells().len() == 1 && view.cells().len() == 1;
        let floor_ms = self.floor_ms();
        let former = std::mem::replace(&mut self.view, view);
        let heard = std::mem::take(&mut self.heard);
        self.former = (is_next && has_one_cell && former.contains_self()).then_some(FormerList {
            floor_ms,
            heard,
            view: former,
        });
        self.eligible_since = None;
        self.received.remove_before(self.view.list_version() - 1);
        self.sent.clear();
    }

    /// Stores one part of a seal.
    pub fn receive(&mut self, now: Now, from: &Name, seal: KeySeal, home: &mut KeyHome) {
        let is_needed = seal.list_version + 1 >= self.view.list_version();
        if seal.to_incarnation != self.settings.incarnation || !is_needed {
            return;
        }
        let Some(received) = self.received.insert(from, &seal) else { return };
        received.dropped |= !home.accept_sealed(now, seal.list_version, seal.records);
    }

    /// Sends a seal again on a new link, since parts sent before may be lost.
    pub fn link_up(&mut self, peer: &Name) {
        self.sent.retain(|(name, _)| name != peer);
    }

    /// Returns the parts of the seals that are due, for the members that take them.
    pub fn due_seals<F>(
        &mut self,
        retired_version: u64,
        home: &KeyHome,
        takes_seals: F,
    ) -> Vec<(Name, KeySeal)>
    where
        F: Fn(&Name) -> bool,
    {
        let is_sent = |peer: &HeardPeer| self.sent.contains(&(peer.name.clone(), peer.incarnation));
        if self.heard.iter().all(is_sent) {
            return Vec::new();
        }
        let Some(former) = self.former.clone() else { return Vec::new() };
        let version = former.view.list_version();
        if self.settings.rules.sealed && retired_version < version {
            return Vec::new();
        }
        let mut parts = Vec::new();
        for peer in self.heard.clone() {
            let is_sent = self.sent.contains(&(peer.name.clone(), peer.incarnation));
            let is_member = self.view.members().binary_search(&peer.name).is_ok();
            if is_sent || !is_member || !takes_seals(&peer.name) {
                continue;
            }
            self.sent.retain(|(name, _)| *name != peer.name);
            self.sent.push((peer.name.clone(), peer.incarnation));
            let records = home.records_where(|key| self.hands_over(&former, key, &peer.name));
            let seal = KeySeal {
                floor_ms: former.floor_ms,
                list_version: version,
                members: former.view.members().to_vec(),
                sole: peer.sole,
                stopped: self.stopped_homes(&former),
                stopping: false,
                ..self.empty_seal(peer.incarnation)
            };
            parts.extend(self.split(&peer.name, &seal, &records));
        }
        parts
    }

    /// Returns the parts of the seals of a home that stops and grants nothing from now on.
    pub fn stop_seals<F>(
        &mut self,
        retired_version: u64,
        home: &KeyHome,
        takes_seals: F,
    ) -> Vec<(Name, KeySeal)>
    where
        F: Fn(&Name) -> bool,
    {
        if self.view.cells().len() != 1 || !self.view.contains_self() {
            return Vec::new();
        }
        let members = self.view.members().to_vec();
        let own_name = self.view.own_name().clone();
        let is_settled = retired_version + 1 >= self.view.list_version();
        let floor_ms = self.floor_ms().filter(|_| is_settled);
        let mut parts = Vec::new();
        for peer in self.heard.clone() {
            if members.binary_search(&peer.name).is_err() || !takes_seals(&peer.name) {
                continue;
            }
            let records = home.records_where(|key| {
                home_among(key, &members) == Some(&own_name)
                    && successor_among(key, &members, &own_name) == Some(&peer.name)
            });
            let seal = KeySeal {
                floor_ms,
                list_version: self.view.list_version(),
                members: members.clone(),
                stopping: true,
                ..self.empty_seal(peer.incarnation)
            };
            parts.extend(self.split(&peer.name, &seal, &records));
        }
        parts
    }

    /// Returns the wall-clock time after which a key must have been minted for all of its grants to
    /// be known here, in milliseconds.
    pub fn covered_from_ms(&self, key: &str) -> Option<u64> {
        let own_floor_ms = self.own_floor_ms();
        if self.view.list_version() == 1 {
            return Some(own_floor_ms);
        }
        let members = self.former_members()?;
        let source = home_among(key, members)?;
        let successor = successor_among(key, members, source);
        Some(self.source_floor_ms(source, successor)?.max(own_floor_ms))
    }

    /// Returns whether the key was this instance's under the former list, or that of a home that
    /// stopped and handed it over here, and is the receiver's now.
    fn hands_over(&self, former: &FormerList, key: &Name, receiver: &Name) -> bool {
        let (members, own_name) = (former.view.members(), self.view.own_name());
        let Some(source) = home_among(key, members) else { return false };
        let version = former.view.list_version();
        let is_own = source == own_name
            || (successor_among(key, members, source) == Some(own_name)
                && self.received.stopped(version, source).is_some());
        is_own && home_among(key, self.view.members()) == Some(receiver)
    }

    fn empty_seal(&mut self, to_incarnation: u64) -> KeySeal {
        self.attempt += 1;
        KeySeal {
            attempt: self.attempt,
            floor_ms: None,
            from_incarnation: self.settings.incarnation,
            list_version: 0,
            members: Vec::new(),
            part: 0,
            parts: 1,
            records: Vec::new(),
            sole: false,
            started_ms: self.started.wall_clock_ms,
            stopped: Vec::new(),
            stopping: false,
            to_incarnation,
        }
    }

    /// Returns the floor of all keys whose home this instance is under the list in force.
    fn floor_ms(&self) -> Option<u64> {
        let eligible_ms = self.eligible_since.map(|since| since.wall_clock_ms + self.margin_ms());
        let proved_ms = self.proved_floor_ms();
        match (eligible_ms, proved_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    fn proved_floor_ms(&self) -> Option<u64> {
        let own_floor_ms = self.own_floor_ms();
        if self.view.list_version() == 1 {
            return Some(own_floor_ms);
        }
        let (members, own_name) = (self.former_members()?, self.view.own_name());
        let was_member = members.binary_search(own_name).is_ok();
        // Keys of a member that stays move to new members alone.
        let could_hold = |name: &&Name| {
            !was_member || *name == own_name || self.view.members().binary_search(name).is_err()
        };
        let mut floor_ms = own_floor_ms;
        for source in members.iter().filter(could_hold) {
            let others = members.iter().filter(|name| *name != source);
            let mut successors: Vec<Option<&Name>> = others.filter(could_hold).map(Some).collect();
            if successors.is_empty() {
                successors.push(None);
            }
            for successor in successors {
                floor_ms = floor_ms.max(self.source_floor_ms(source, successor)?);
            }
        }
        Some(floor_ms)
    }

    /// Returns the floor of the keys with the given home and successor under the former list.
    fn source_floor_ms(&self, source: &Name, successor: Option<&Name>) -> Option<u64> {
        let version = self.view.list_version().checked_sub(1)?;
        let own_name = self.view.own_name();
        if source == own_name {
            return self.former.as_ref()?.floor_ms;
        }
        let left = self.received.left(version, source).filter(|seal| self.counts(seal));
        let left_ms = left.and_then(|seal| seal.head.floor_ms);
        let stopped = self.stopped_home(version, source, successor);
        let stopped_ms =
            stopped.filter(|home| self.is_attested(home)).and_then(|home| home.floor_ms);
        match (left_ms, stopped_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Returns a stopped home as its successor knows it.
    fn stopped_home(
        &self,
        version: u64,
        source: &Name,
        successor: Option<&Name>,
    ) -> Option<StoppedHome> {
        let successor = successor?;
        if successor == self.view.own_name() {
            return self.own_stopped_homes().into_iter().find(|home| home.name == *source);
        }
        let seal = self.received.left(version, successor).filter(|seal| self.counts(seal))?;
        seal.head.stopped.iter().find(|home| home.name == *source).cloned()
    }

    fn counts(&self, seal: &received::ReceivedSeal) -> bool {
        seal.is_whole() || !self.settings.rules.whole
    }

    fn own_stopped_homes(&self) -> Vec<StoppedHome> {
        self.former.as_ref().map_or_else(Vec::new, |former| self.stopped_homes(former))
    }

    /// Returns the homes that stopped under the former list and of which this instance confirmed
    /// no other incarnation under it.
    fn stopped_homes(&self, former: &FormerList) -> Vec<StoppedHome> {
        let seals = self.received.of_list(former.view.list_version());
        let stopped = seals.filter(|seal| seal.head.stopping);
        let is_sole = |seal: &&received::ReceivedSeal| {
            !self.settings.rules.attested
                || former
                    .heard
                    .iter()
                    .filter(|heard| heard.name == seal.from)
                    .all(|heard| heard.sole && heard.incarnation == seal.head.from_incarnation)
        };
        stopped
            .filter(is_sole)
            .map(|seal| StoppedHome {
                floor_ms: seal.head.floor_ms.filter(|_| self.counts(seal)),
                incarnation: seal.head.from_incarnation,
                name: seal.from.clone(),
            })
            .collect()
    }

    /// Returns whether no later incarnation of a stopped home can have been eligible.
    fn is_attested(&self, stopped: &StoppedHome) -> bool {
        if !self.settings.rules.attested {
            return true;
        }
        let Some(members) = self.former_members() else { return false };
        let is_same = |home: &StoppedHome| {
            (&home.name, home.incarnation) == (&stopped.name, stopped.incarnation)
        };
        let version = self.view.list_version() - 1;
        let mut attesting: Vec<&Name> = self
            .received
            .relayed(version)
            .filter(|(from, home)| is_same(home) && members.binary_search(from).is_ok())
            .map(|(from, _)| from)
            .collect();
        if self.own_stopped_homes().iter().any(is_same) {
            attesting.push(self.view.own_name());
        }
        attesting.sort();
        attesting.dedup();
        !is_majority(members.len() - attesting.len(), members.len())
    }

    /// Returns the time after which an earlier incarnation of this instance granted no key.
    fn own_floor_ms(&self) -> u64 {
        if !self.settings.rules.own_floor {
            return 0;
        }
        let started_ms = self.started.wall_clock_ms + self.margin_ms();
        let of = self.view.members().len();
        let Some(version) = self.view.list_version().checked_sub(1) else { return started_ms };
        let is_member = |name: &Name| self.view.members().binary_search(name).is_ok();
        let mut floors_ms: Vec<u64> = self
            .received
            .of_list(version)
            .filter(|seal| !seal.head.stopping && seal.head.sole && is_member(&seal.from))
            .map(|seal| seal.head.started_ms)
            .map(|ms| ms + self.settings.confirmation_window_ms + self.margin_ms())
            .collect();
        floors_ms.sort_unstable();
        let needed = (1..=of).find(|count| !is_majority(of - count, of));
        let proved_ms = needed.and_then(|count| floors_ms.get(count - 1));
        proved_ms.map_or(started_ms, |ms| started_ms.min(*ms))
    }

    fn former_members(&self) -> Option<&[Name]> {
        let version = self.view.list_version().checked_sub(1)?;
        if self.view.cells().len() != 1 {
            return None;
        }
        if let Some(former) = &self.former {
            return Some(former.view.members());
        }
        self.received.of_list(version).next().map(|seal| seal.head.members.as_slice())
    }

    fn margin_ms(&self) -> u64 {
        SKEW_MARGINS * self.settings.clock_margin_ms
    }

    fn split(&self, to: &Name, seal: &KeySeal, records: &[KeyRecord]) -> Vec<(Name, KeySeal)> {
        let chunks: Vec<&[KeyRecord]> = match records.is_empty() {
            true => vec![records],
            false => records.chunks(self.settings.part_limit_records.max(1)).collect(),
        };
        let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let part = |(index, chunk): (u32, &&[KeyRecord])| KeySeal {
            part: index,
            parts,
            records: chunk.to_vec(),
            ..seal.clone()
        };
        (0..).zip(&chunks).map(part).map(|part| (to.clone(), part)).collect()
    }
}
