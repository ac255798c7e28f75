//! The seals that an instance received, with the parts that have arrived.

use crate::key_handover::seal::{KeySeal, StoppedHome};
use crate::name::Name;

/// A seal of one instance, possibly with parts missing.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedSeal {
    pub(crate) from: Name,
    /// The first part that arrived, without records.
    pub(crate) head: KeySeal,
    arrived: Vec<u32>,
    /// Whether a record found no room.
    pub(crate) dropped: bool,
}

impl ReceivedSeal {
    /// Returns whether all parts arrived and all records are stored.
    pub(crate) fn is_whole(&self) -> bool {
        !self.dropped && self.arrived.len() as u64 == u64::from(self.head.parts)
    }
}

/// The seals received so far, at most one for a list, a sender and a reason.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedSeals {
    seals: Vec<ReceivedSeal>,
}

impl ReceivedSeals {
    /// Returns the seal of a list that its sender left.
    pub(crate) fn left(&self, list_version: u64, from: &Name) -> Option<&ReceivedSeal> {
        self.of_list(list_version).find(|seal| seal.from == *from && !seal.head.stopping)
    }

    /// Returns the seal of a list under which its sender stopped.
    pub(crate) fn stopped(&self, list_version: u64, from: &Name) -> Option<&ReceivedSeal> {
        self.of_list(list_version).find(|seal| seal.from == *from && seal.head.stopping)
    }

    /// Returns the seals of one list.
    pub(crate) fn of_list(&self, list_version: u64) -> impl Iterator<Item = &ReceivedSeal> {
        self.seals.iter().filter(move |seal| seal.head.list_version == list_version)
    }

    /// Removes the seals of lists before the given one.
    pub(crate) fn remove_before(&mut self, list_version: u64) {
        self.seals.retain(|seal| seal.head.list_version >= list_version);
    }

    /// Records that a part arrived; returns the seal if its records are to be stored.
    ///
    /// A part of a whole seal, and one that arrived before, is ignored: its keys may have been
    /// released since.
    pub(crate) fn insert(&mut self, from: &Name, part: &KeySeal) -> Option<&mut ReceivedSeal> {
        let is_same = |seal: &ReceivedSeal| {
            seal.from == *from
                && seal.head.list_version == part.list_version
                && seal.head.stopping == part.stopping
        };
        let index = match self.seals.iter().position(is_same) {
            None => {
                self.seals.push(new_seal(from, part));
                self.seals.len() - 1
            }
            Some(index) => {
                let head = &self.seals[index].head;
                let known = (head.from_incarnation, head.attempt);
                let is_newer = part.attempt > head.attempt;
                if known != (part.from_incarnation, part.attempt) {
                    if self.seals[index].is_whole() || !is_newer {
                        return None;
                    }
                    self.seals[index] = new_seal(from, part);
                }
                index
            }
        };
        let seal = &mut self.seals[index];
        if seal.arrived.contains(&part.part) {
            return None;
        }
        seal.arrived.push(part.part);
        Some(seal)
    }
}

impl ReceivedSeals {
    /// Returns the stopped homes that the seals of one list name, with the sender of each.
    pub(crate) fn relayed(&self, list_version: u64) -> impl Iterator<Item = (&Name, &StoppedHome)> {
        let left = self.of_list(list_version).filter(|seal| !seal.head.stopping);
        left.flat_map(|seal| seal.head.stopped.iter().map(|home| (&seal.from, home)))
    }
}

fn new_seal(from: &Name, part: &KeySeal) -> ReceivedSeal {
    let head = KeySeal { records: Vec::new(), ..part.clone() };
    ReceivedSeal { from: from.clone(), head, arrived: Vec::new(), dropped: false }
}
