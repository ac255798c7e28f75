//! The list of known instances, with the time since each was heard.
//!
//! Every instance keeps all of them: entries are passed on with their age, so that one that no
//! instance hears any more expires everywhere.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::index::sample;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::fleet::message::{Envelope, RosterEntry, Sender};
use crate::name::Name;

/// Silence after which an instance no longer counts as live, in milliseconds.
pub const LIVE_MS: u64 = 1_300;
/// Age at which an instance is removed, in milliseconds.
const EXPIRY_MS: u64 = 60_000;
/// Time between two contacts of a seed that has not answered, in milliseconds.
const CONTACT_MS: u64 = 500;
/// Time for which rosters are compared after an instance became known, in milliseconds.
const COMPARISON_MS: u64 = 1_500;
/// Shortest time between two comparisons, in milliseconds.
const COMPARISON_INTERVAL_MS: u64 = 100;
/// Time between two contacts of a seed that has answered, in milliseconds.
const SLOW_CONTACT_MS: u64 = 10_000;

/// A known instance.
#[derive(Clone, Debug)]
pub struct KnownInstance {
    /// Its name.
    pub name: Name,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Share of a processor that it has, in thousandths.
    pub capacity: u32,
    /// When any instance last heard it, in milliseconds of the boot clock.
    pub heard_ms: u64,
    /// When it became known here, in milliseconds of the boot clock.
    pub known_ms: u64,
    /// Whether it limits what cold backend servers get.
    pub limits_cold: bool,
    /// How many better ranked members it passes over for the coordinator that it follows.
    pub passed_over: u32,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Its last datagram to this instance.
    pub direct: Option<DirectContact>,
}

/// The last datagram of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DirectContact {
    /// Number that differs with each of its starts.
    pub incarnation: u64,
    /// When it arrived, in milliseconds of the boot clock.
    pub received_ms: u64,
    /// When it was sent, in milliseconds of the sender's boot clock.
    pub sent_ms: u64,
}

/// Effect of a datagram on the roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Whether it is stopping and was not when it was last heard of.
    pub has_begun_to_stop: bool,
    /// Whether no earlier datagram of this start arrived.
    pub is_new: bool,
    /// Whether it was sent after the last one that arrived.
    pub in_order: bool,
}

#[derive(Clone, Debug)]
struct Seed {
    address: SocketAddr,
    contacted_ms: Option<u64>,
}

/// All other instances, sorted by name.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Names by address, sorted.
    addresses: Vec<(SocketAddr, Name)>,
    /// When an instance last became known, in milliseconds of the boot clock.
    changed_ms: u64,
    /// When the list was last compared with that of another instance, in milliseconds of the boot
    /// clock.
    compared_ms: u64,
    known: Vec<KnownInstance>,
    next_index: usize,
    own_address: SocketAddr,
    own_name: Name,
    seeds: Vec<Seed>,
}

impl Roster {
    /// Returns a roster without other instances.
    pub fn new(own_name: Name, own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut roster = Self {
            addresses: Vec::new(),
            changed_ms: 0,
            compared_ms: 0,
            known: Vec::new(),
            next_index: 0,
            own_address,
            own_name,
            seeds: Vec::new(),
        };
        roster.set_seeds(seeds);
        roster
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let others = seeds.iter().filter(|address| **address != self.own_address);
        self.seeds = others.map(|address| Seed { address: *address, contacted_ms: None }).collect();
    }

    /// Returns whether this instance is a seed itself, or there are none.
    pub fn is_seed(&self, seeds: &[SocketAddr]) -> bool {
        seeds.is_empty() || seeds.contains(&self.own_address)
    }

    /// Records a datagram.
    pub fn receive(&mut self, now_ms: u64, from: SocketAddr, sender: &Sender) -> Contact {
        let direct = DirectContact {
            incarnation: sender.incarnation,
            received_ms: now_ms,
            sent_ms: sender.sent_ms,
        };
        let found = self.known.binary_search_by(|known| known.name.cmp(&sender.instance));
        let (index, before) = match found {
            Ok(index) => (index, self.known[index].direct),
            Err(index) => {
                let instance = KnownInstance {
                    name: sender.instance.clone(),
                    address: from,
                    capacity: sender.capacity,
                    heard_ms: now_ms,
                    known_ms: now_ms,
                    limits_cold: false,
                    passed_over: 0,
                    stopping: sender.stopping,
                    direct: None,
                };
                self.known.insert(index, instance);
                self.changed_ms = now_ms;
                (index, None)
            }
        };
        let same = before.filter(|before| before.incarnation == sender.incarnation);
        let in_order = same.is_none_or(|before| before.sent_ms <= sender.sent_ms);
        let known = &mut self.known[index];
        known.heard_ms = now_ms;
        let has_begun_to_stop = in_order && sender.stopping && !known.stopping;
        if in_order {
            set_address(&mut self.addresses, &known.name, known.address, from);
            known.address = from;
            known.capacity = sender.capacity;
            known.stopping = sender.stopping;
            known.direct = Some(direct);
        }
        Contact { has_begun_to_stop, is_new: same.is_none(), in_order }
    }

    /// Merges entries that another instance sent, and returns whether an instance became known.
    pub fn merge(&mut self, now_ms: u64, entries: &[RosterEntry]) -> bool {
        let count = self.known.len();
        for entry in entries {
            if entry.age_ms >= EXPIRY_MS || entry.instance == self.own_name {
                continue;
            }
            let heard_ms = now_ms.saturating_sub(entry.age_ms);
            match self.known.binary_search_by(|known| known.name.cmp(&entry.instance)) {
                Ok(index) if self.known[index].heard_ms < heard_ms => {
                    let known = &mut self.known[index];
                    known.heard_ms = heard_ms;
                    set_address(&mut self.addresses, &known.name, known.address, entry.address);
                    known.address = entry.address;
                    known.capacity = entry.capacity;
                    known.stopping = entry.stopping;
                }
                Ok(_) => {}
                Err(index) => {
                    let instance = KnownInstance {
                        name: entry.instance.clone(),
                        address: entry.address,
                        capacity: entry.capacity,
                        heard_ms,
                        known_ms: now_ms,
                        limits_cold: false,
                        passed_over: 0,
                        stopping: entry.stopping,
                        direct: None,
                    };
                    let address = instance.address;
                    set_address(&mut self.addresses, &instance.name, address, address);
                    self.known.insert(index, instance);
                    self.changed_ms = now_ms;
                }
            }
        }
        self.known.len() > count
    }

    /// Removes instances that no instance has heard for long.
    pub fn expire(&mut self, now_ms: u64) {
        let is_expired = |known: &mut KnownInstance| now_ms >= known.heard_ms + EXPIRY_MS;
        for expired in self.known.extract_if(.., is_expired) {
            self.addresses.retain(|(_, name)| *name != expired.name);
        }
    }

    /// Returns an instance.
    pub fn get(&self, name: &str) -> Option<&KnownInstance> {
        let index = self.known.binary_search_by(|known| (*known.name).cmp(name)).ok()?;
        self.known.get(index)
    }

    /// Records whether an instance limits what cold backend servers get.
    pub fn set_limits_cold(&mut self, name: &str, limits_cold: bool) {
        if let Ok(index) = self.known.binary_search_by(|known| (*known.name).cmp(name)) {
            self.known[index].limits_cold = limits_cold;
        }
    }

    /// Records how many better ranked members an instance passes over for its coordinator.
    pub fn set_passed_over(&mut self, name: &str, passed_over: u32) {
        if let Ok(index) = self.known.binary_search_by(|known| (*known.name).cmp(name)) {
            self.known[index].passed_over = passed_over;
        }
    }

    /// Returns the instance at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&KnownInstance> {
        let index = self.addresses.binary_search_by_key(&address, |(known, _)| *known).ok()?;
        self.get(&self.addresses[index].1)
    }

    /// Returns all other instances.
    pub fn iter(&self) -> impl Iterator<Item = &KnownInstance> {
        self.known.iter()
    }

    /// Returns whether another instance is known that is not stopping.
    pub fn has_others(&self) -> bool {
        self.known.iter().any(|known| !known.stopping)
    }

    /// Returns up to `count` other instances at random, also such that only others have heard; those
    /// that are stopping are left out.
    pub fn sample<R>(&self, random: &mut R, count: usize) -> Vec<&KnownInstance>
    where
        R: Rng,
    {
        let indices = sample(random, self.known.len(), count.min(self.known.len()));
        let sampled = indices.into_iter().map(|index| &self.known[index]);
        sampled.filter(|known| !known.stopping).collect()
    }

    /// Returns the number of instances that are not stopping, this one included.
    pub fn count(&self) -> usize {
        self.known.iter().filter(|known| !known.stopping).count() + 1
    }

    /// Returns the entries of all other instances.
    pub fn entries(&self, now_ms: u64) -> Vec<RosterEntry> {
        self.known.iter().map(|known| known.entry(now_ms)).collect()
    }

    /// Returns the next few entries, so that repeated calls return all of them in turn.
    pub fn next_entries(&mut self, now_ms: u64, most: usize) -> Vec<RosterEntry> {
        let count = self.known.len();
        let entries = (0..most.min(count))
            .map(|offset| self.known[(self.next_index + offset) % count].entry(now_ms))
            .collect();
        self.next_index = (self.next_index + most) % count.max(1);
        entries
    }

    /// Returns a hash of names and addresses that is the same for equal rosters of two instances.
    pub fn checksum(&self) -> u64 {
        let hash =
            |name: &str, address: SocketAddr| xxh3_64(format!("{name}@{address}").as_bytes());
        let others = self.known.iter().map(|known| hash(&known.name, known.address));
        others.fold(hash(&self.own_name, self.own_address), |sum, hash| sum ^ hash)
    }

    /// Returns the seeds that should be contacted now: often until they answer, so that groups of
    /// instances that started apart find each other, and rarely afterwards.
    pub fn due_seeds(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let known = &self.known;
        let has_answered = |address: SocketAddr| {
            known.iter().any(|known| known.address == address && known.direct.is_some())
        };
        let mut due = Vec::new();
        for seed in &mut self.seeds {
            let pause_ms = if has_answered(seed.address) { SLOW_CONTACT_MS } else { CONTACT_MS };
            if seed.contacted_ms.is_none_or(|contacted_ms| now_ms >= contacted_ms + pause_ms) {
                seed.contacted_ms = Some(now_ms);
                due.push(seed.address);
            }
        }
        due
    }

    /// Returns an instance to compare rosters with, while instances keep becoming known; so all learn
    /// of a mass start in a few rounds.
    pub fn comparison_partner(&mut self, now_ms: u64) -> Option<SocketAddr> {
        let is_due = now_ms < self.changed_ms + COMPARISON_MS
            && now_ms >= self.compared_ms + COMPARISON_INTERVAL_MS;
        if !is_due || self.known.is_empty() {
            return None;
        }
        self.compared_ms = now_ms;
        let random = xxh3_64(format!("{}@{now_ms}", self.own_name).as_bytes());
        Some(self.known[random as usize % self.known.len()].address)
    }

    /// Returns whether all seeds have answered.
    pub fn has_heard_seeds(&self) -> bool {
        self.seeds.iter().all(|seed| {
            self.known.iter().any(|known| known.address == seed.address && known.direct.is_some())
        })
    }

    /// Returns the envelope of a datagram to an address.
    pub fn envelope(&self, now_ms: u64, to: SocketAddr) -> Envelope {
        match self.at_address(to).and_then(|known| known.direct) {
            Some(direct) => Envelope {
                echoed_sent_ms: Some(direct.sent_ms),
                held_ms: now_ms.saturating_sub(direct.received_ms),
                ..Envelope::default()
            },
            None => Envelope::default(),
        }
    }
}

impl KnownInstance {
    /// Returns whether this instance heard it recently.
    pub fn is_live(&self, now_ms: u64) -> bool {
        self.direct.is_some_and(|direct| now_ms < direct.received_ms + LIVE_MS)
    }

    fn entry(&self, now_ms: u64) -> RosterEntry {
        RosterEntry {
            instance: self.name.clone(),
            address: self.address,
            capacity: self.capacity,
            age_ms: now_ms.saturating_sub(self.heard_ms),
            stopping: self.stopping,
        }
    }
}

fn set_address(
    addresses: &mut Vec<(SocketAddr, Name)>,
    name: &Name,
    before: SocketAddr,
    address: SocketAddr,
) {
    if before != address {
        addresses.retain(|(_, known)| known != name);
    }
    match addresses.binary_search_by_key(&address, |(known, _)| *known) {
        Ok(index) if addresses[index].1 == *name => {}
        Ok(index) => addresses[index].1 = name.clone(),
        Err(index) => addresses.insert(index, (address, name.clone())),
    }
}

/// Returns when the sender's document was proved to be the newest, in milliseconds of this
/// instance's boot clock: the echoed datagram was sent then or later, less the age of the proof.
pub fn proved_ms(now_ms: u64, envelope: &Envelope, proof_age_ms: Option<u64>) -> Option<u64> {
    let sent_ms = envelope.echoed_sent_ms?.saturating_add(envelope.held_ms);
    sent_ms.min(now_ms).checked_sub(proof_age_ms?)
}
