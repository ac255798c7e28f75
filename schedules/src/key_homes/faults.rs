//! The random faults of one schedule; each schedule draws its own rates, some of them zero.

use bergamotspan::name::Name;
use bergamotspan::peer_message::PeerMessage;
use rand::RngExt;
use rand::rngs::StdRng;

use super::network::Packet;
use super::{Fleet, STEP_MS};

const MAX_CUT_MS: u64 = 12_000;
const MIN_HEALED_MS: u64 = 1_000;
const MAX_DELAY_MS: u64 = 3_000;
const MAX_PAUSE_MS: u64 = 2_500;
const STALE_VERSIONS: u64 = 3;

/// Probabilities of faults and of reads of the platform, and the current cuts.
pub struct Faults {
    cut: f64,
    cut_until_ms: u64,
    pub fetch_failure: f64,
    delay: f64,
    list_change: f64,
    /// Cuts from the first to the second; the partition cuts both ways.
    one_way_cuts: Vec<(Name, Name)>,
    pause: f64,
    pub platform_read: f64,
    restart: f64,
    pub partition: Vec<Name>,
    /// Links with an additional delay, in milliseconds.
    pub slow_links: Vec<(Name, Name, u64)>,
}

impl Faults {
    pub fn none() -> Self {
        Self {
            cut: 0.0,
            cut_until_ms: 0,
            fetch_failure: 0.0,
            delay: 0.0,
            list_change: 0.0,
            one_way_cuts: Vec::new(),
            pause: 0.0,
            platform_read: 0.1,
            restart: 0.0,
            partition: Vec::new(),
            slow_links: Vec::new(),
        }
    }

    pub fn random(rng: &mut StdRng) -> Self {
        Self {
            cut: rate(rng, 0.05),
            fetch_failure: [0.0, 0.8, 0.98][rng.random_range(0..3)],
            delay: rate(rng, 0.3),
            list_change: rate(rng, 0.02),
            pause: rate(rng, 0.01),
            platform_read: [0.1, 0.02, 0.01][rng.random_range(0..3)],
            restart: rate(rng, 0.01),
            ..Self::none()
        }
    }

    pub fn delay_ms(&self, rng: &mut StdRng) -> u64 {
        if rng.random_bool(self.delay) {
            return rng.random_range(0..MAX_DELAY_MS);
        }
        rng.random_range(0..STEP_MS)
    }

    pub fn slow_ms(&self, from: &Name, to: &Name) -> u64 {
        let slow = self.slow_links.iter().find(|(a, b, _)| a == from && b == to);
        slow.map_or(0, |(_, _, delay_ms)| *delay_ms)
    }

    pub fn is_cut(&self, from: &Name, to: &Name) -> bool {
        self.partition.contains(from) != self.partition.contains(to)
            || self.one_way_cuts.iter().any(|(a, b)| a == from && b == to)
    }

    pub fn platform_is_cut(&self, name: &Name) -> bool {
        self.partition.contains(name)
    }
}

impl Fleet {
    pub fn inject_faults(&mut self) {
        self.change_cuts();
        if self.rng.random_bool(self.faults.pause) {
            self.pause_random();
        }
        if self.rng.random_bool(self.faults.list_change) {
            self.replace_members();
        }
        if self.rng.random_bool(self.faults.restart) {
            self.restart_random();
        }
    }

    fn change_cuts(&mut self) {
        if self.now_ms >= self.faults.cut_until_ms {
            self.faults.partition.clear();
            self.faults.one_way_cuts.clear();
        }
        if self.rng.random_bool(self.faults.cut) {
            self.cut();
        }
    }

    fn cut(&mut self) {
        if self.now_ms < self.faults.cut_until_ms + MIN_HEALED_MS {
            return;
        }
        self.faults.cut_until_ms = self.now_ms + self.rng.random_range(0..MAX_CUT_MS);
        if self.faults.restart > 0.0 && self.rng.random_bool(0.5) {
            self.restart_random();
        }
        let names: Vec<Name> = self.processes.keys().cloned().collect();
        if self.rng.random_bool(0.7) {
            let partition = names.iter().filter(|_| self.rng.random_bool(0.5));
            self.faults.partition = partition.cloned().collect();
            return;
        }
        let pairs = names.iter().flat_map(|a| names.iter().map(|b| (a.clone(), b.clone())));
        self.faults.one_way_cuts = pairs.filter(|_| self.rng.random_bool(0.4)).collect();
    }

    fn pause_random(&mut self) {
        let Some(name) = self.random_running() else { return };
        let until_ms = self.now_ms + self.rng.random_range(0..MAX_PAUSE_MS);
        self.processes.get_mut(&name).unwrap().paused_until_ms = until_ms;
    }

    /// Replaces one member, or a majority of the list one by one; an old process may keep running.
    fn replace_members(&mut self) {
        let majority = self.plan.member_count / 2 + 1;
        let count = if self.rng.random_bool(0.1) { majority } else { 1 };
        for _ in 0..count {
            self.replace_member(count > 1);
        }
        if self.faults.cut > 0.0 && self.rng.random_bool(0.5) {
            self.cut();
        }
    }

    fn replace_member(&mut self, is_lost: bool) {
        let mut list = self.lists.last().unwrap().clone();
        let index = self.rng.random_range(0..list.len());
        let new = super::instance_name(self.next_instance);
        self.next_instance += 1;
        let old = std::mem::replace(&mut list[index], new.clone());
        self.lists.push(list);
        self.start_process(new.clone(), self.lists.len() as u64);
        if self.rng.random_bool(0.5) {
            self.faults.partition.push(new);
        }
        match self.rng.random_range(0..4) {
            _ if is_lost => drop(self.processes.remove(&old)),
            0 => drop(self.processes.remove(&old)),
            1 => {
                // Some successors are of a version that takes no seals.
                let takes_seals = self.rng.random_bool(0.9);
                self.stop(&old, takes_seals);
            }
            _ => {}
        }
    }

    /// Stops a process after it handed its keys over to the successors.
    pub fn stop(&mut self, name: &Name, takes_seals: bool) {
        let Some(mut process) = self.processes.remove(name) else { return };
        let now = process.now(self.now_ms);
        process.handover.observe(&process.membership.eligibility(now));
        let records = process.home.hand_over();
        let retired_version = process.membership.retired_version();
        let seals = process.handover.stop_seals(retired_version, &process.home, |_| takes_seals);
        self.send_parts(name, seals);
        for record in records {
            let Some(to) = process.membership.view().successor(&record.key, name) else { return };
            self.send(name, &to, Packet::Peer(PeerMessage::KeyHandover(vec![record])));
        }
    }

    fn restart_random(&mut self) {
        let Some(name) = self.random_running() else { return };
        let newest = self.lists.len() as u64;
        let latest = newest - self.rng.random_range(0..=STALE_VERSIONS).min(newest - 1);
        let has = |version: &u64| self.lists[*version as usize - 1].contains(&name);
        if let Some(version) = (1..=latest).rev().find(has) {
            self.start_process(name, version);
        }
    }
}

fn rate(rng: &mut StdRng, highest: f64) -> f64 {
    if rng.random_bool(0.4) { 0.0 } else { rng.random_range(0.0..highest) }
}
