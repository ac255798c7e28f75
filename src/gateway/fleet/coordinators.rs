//! Which instances of the own cell coordinate, whom a place is asked from, and who reads the store.

use std::net::SocketAddr;

use crate::gateway::fleet::membership::{Fleet, SeenCoordinator};
use crate::gateway::fleet::roster::LIVE_MS;
use crate::name::Name;

/// Number of coordinators of a cell: one that grants, and one that takes over.
const COORDINATORS: usize = 2;
/// Time for which a coordinator that left requests unanswered is passed over, in milliseconds.
const SUSPICION_MS: u64 = 2_000;

/// Time for which a new coordinator counts instances as before while it has not heard those of
/// other cells, in milliseconds: that of two of their reports.
const HEARING_MS: u64 = 700;

/// Who decides on the places of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decider {
    /// No coordinator is known to be ready.
    None,
    /// The instance at this address.
    Other(SocketAddr),
    /// This instance.
    Own,
}

impl Fleet {
    /// Returns the coordinators of the own cell: the one that leads it, and the first others by rank
    /// that are neither silent nor stopping.
    ///
    /// An instance that has only just become known is not silent.
    pub fn coordinators(&self, now_ms: u64) -> Vec<Name> {
        let leader = self.leader(now_ms);
        let others = self.ranked.iter().filter(|name| Some(*name) != leader);
        let others = others.filter(|name| self.may_coordinate(now_ms, name));
        leader.into_iter().chain(others).take(COORDINATORS).cloned().collect()
    }

    /// Returns whether this instance coordinates its cell.
    pub fn is_coordinating(&self) -> bool {
        self.coordinating_since_ms.is_some()
    }

    /// Returns who decides on the places of the own cell: the first by rank that is ready, or else
    /// one that stops, or that stands by.
    pub fn decider(&self, now_ms: u64) -> Decider {
        let is_suspected = |name: &Name| self.suspected.iter().any(|(known, _)| known == name);
        let own = self.standing(now_ms, &self.own_name);
        let own = own.map(|standing| (standing, self.place_by_rank(&self.own_name), Decider::Own));
        let others = self.seen.iter().filter(|seen| !is_suspected(&seen.name));
        let others = others.filter_map(|seen| {
            let known = self.roster.get(&seen.name)?;
            let place = self.place_by_rank(&seen.name);
            Some((seen.standing(now_ms)?, place, Decider::Other(known.address)))
        });
        let first = others.chain(own).min_by_key(|(standing, place, _)| (*standing, *place));
        first.map(|(_, _, decider)| decider).unwrap_or(Decider::None)
    }

    /// Returns who decides on the places of a cell.
    pub fn decider_of(&self, now_ms: u64, cell: usize) -> Decider {
        if cell == self.layout.own {
            return self.decider(now_ms);
        }
        match self.leader_of(now_ms, cell) {
            Some(address) => Decider::Other(address),
            None => Decider::None,
        }
    }

    /// Records that a coordinator left a request unanswered.
    pub fn suspect(&mut self, now_ms: u64, address: SocketAddr) {
        if let Some(name) = self.roster.at_address(address).map(|known| known.name.clone()) {
            self.suspected.push((name, now_ms + SUSPICION_MS));
        }
    }

    /// Returns the first coordinators of the other cells that are known.
    pub fn other_leaders(&self, now_ms: u64) -> Vec<(usize, SocketAddr)> {
        if !self.is_coordinating() {
            return self.leaders.clone();
        }
        let cells = (0..self.layout.count()).filter(|cell| *cell != self.layout.own);
        cells.filter_map(|cell| Some((cell, self.leader_of(now_ms, cell)?))).collect()
    }

    /// Returns the number of live instances of all cells, this one included.
    pub fn live_count(&self, now_ms: u64) -> usize {
        if !self.is_coordinating() {
            return self.followed(now_ms).map(|seen| seen.live).unwrap_or(1);
        }
        if !self.is_able(now_ms) {
            // Its members have not reported to it yet, and it grants nothing until they have.
            let followed = self.followed(now_ms).map(|seen| seen.live);
            return followed.unwrap_or(self.succession.last_live());
        }
        let others = (0..self.layout.count()).filter(|cell| *cell != self.layout.own);
        let of_cell = |cell| {
            let heard = self
                .other_coordinators
                .iter()
                .filter(|other| other.cell == cell && now_ms < other.heard_ms + LIVE_MS);
            heard.map(|other| other.live).max()
        };
        let since_ms = self.coordinating_since_ms.unwrap_or_default();
        let others: Vec<_> = others.map(of_cell).collect();
        let keeps_count = others.contains(&None) && now_ms < since_ms + HEARING_MS;
        let own_live = self.own_cell_live(now_ms);
        let live = own_live + others.into_iter().flatten().sum::<usize>();
        // The part of the fleet that hears this instance is unlikely to be larger than that of its cell.
        let kept = self.succession.last_live() * own_live / self.ranked.len().max(1);
        if keeps_count { live.max(kept) } else { live }
    }

    /// Returns the number of instances that may be running, this one included.
    pub fn known_count(&self, now_ms: u64) -> usize {
        let reported = self.followed(now_ms).map(|seen| seen.known).unwrap_or_default();
        self.roster.count().max(reported)
    }

    /// Returns the number of live instances of the own cell, this one included.
    pub fn own_cell_live(&self, now_ms: u64) -> usize {
        let others = self.ranked.iter().filter_map(|name| self.roster.get(name));
        others.filter(|known| known.is_live(now_ms)).count() + 1
    }

    /// Returns whether the usage of the whole fleet is known here.
    pub fn knows_usage(&self, now_ms: u64) -> bool {
        self.is_able(now_ms) || self.seen.iter().any(|seen| seen.is_ready || seen.stands_by)
    }

    /// Returns the coordinator whose reports count: the first that is ready, or else one that stops,
    /// or that stands by.
    pub(crate) fn followed(&self, now_ms: u64) -> Option<&SeenCoordinator> {
        let able = self.seen.iter().filter_map(|seen| Some((seen.standing(now_ms)?, seen)));
        let first = able.min_by_key(|(standing, seen)| (*standing, self.place_by_rank(&seen.name)));
        first.map(|(_, seen)| seen)
    }

    /// Returns the instance of the own cell that reads the store: the first by rank that is live
    /// and that the store answers, or else the first.
    pub(crate) fn reader(&self, now_ms: u64, own_reachable: bool) -> Option<Name> {
        let is_reachable = |name: &&Name| {
            if **name == self.own_name {
                return own_reachable;
            }
            let live = self.roster.get(name).is_some_and(|known| known.is_live(now_ms));
            live && self.store_unreachable.binary_search(name).is_err()
        };
        let first = self.coordinators(now_ms).into_iter().next();
        self.ranked.iter().find(is_reachable).cloned().or(first)
    }

    /// Returns whether this instance should read the store.
    pub(crate) fn is_reader(&self, now_ms: u64, own_reachable: bool) -> bool {
        let reader = if self.is_coordinating() {
            self.reader(now_ms, own_reachable)
        } else {
            self.heard_coordinator(now_ms).and_then(|seen| seen.reader.clone())
        };
        reader.is_some_and(|reader| reader == self.own_name)
    }

    fn heard_coordinator(&self, now_ms: u64) -> Option<&SeenCoordinator> {
        let heard = self.seen.iter().filter(|seen| now_ms < seen.heard_ms + LIVE_MS);
        heard.min_by_key(|seen| self.ranked.iter().position(|name| *name == seen.name))
    }

    fn leader_of(&self, now_ms: u64, cell: usize) -> Option<SocketAddr> {
        let told = self.leaders.iter().find(|(known, _)| *known == cell);
        let told = told.map(|(_, address)| *address);
        if !self.is_coordinating() {
            return told;
        }
        let heard = self
            .other_coordinators
            .iter()
            .filter(|other| other.cell == cell && now_ms < other.heard_ms + LIVE_MS);
        let first = heard.max_by_key(|other| other.is_first).map(|other| other.address);
        // A new coordinator has been told of it when it was a member.
        first.or(told.filter(|address| {
            self.roster.at_address(*address).is_some_and(|known| !known.stopping)
        }))
    }

    fn may_coordinate(&self, now_ms: u64, name: &Name) -> bool {
        if *name == self.own_name {
            return !self.stopping;
        }
        self.roster.get(name).is_some_and(|known| match known.direct {
            _ if known.stopping => false,
            Some(_) => known.is_live(now_ms),
            None => now_ms < known.known_ms + LIVE_MS,
        })
    }
}
