//! Runs memberships and key homes through random schedules of faults, and reports each key that was
//! granted to more than one request.

mod faults;
mod network;
mod process;
pub mod script;

use std::collections::BTreeMap;

use bergamotspan::home_rules::HomeRules;
use bergamotspan::inventory::{Instance, Inventory};
use bergamotspan::membership_event::MembershipEvent;
use bergamotspan::name::Name;
use bergamotspan::peer_message::{KeyClaim, PeerMessage};
use bergamotspan::request_id::RequestId;
use bergamotspan::view::View;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Builder;

use faults::Faults;
use network::{Network, Packet};
use process::Process;

/// Largest skew between two wall clocks, in milliseconds.
pub const CLOCK_MARGIN_MS: u64 = 50;
/// Age beyond which a receiver doesn't use a grant, in milliseconds.
pub const GRANT_LIMIT_MS: u64 = 400;
/// Time between two heartbeats, in milliseconds.
pub const INTERVAL_MS: u64 = 200;
/// Time for which a key is stored, in milliseconds.
pub const LIFETIME_MS: u64 = 20_000;
/// Time between two steps of a schedule, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Time for which a confirmation is valid, in milliseconds.
pub const WINDOW_MS: u64 = 1_000;
const DURATION_MS: u64 = 40_000;
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Numbers of latest keys that are sent again, one for each schedule: the more, the longer a key
/// is sent, also across a change of the list.
const RECENT_KEYS: [usize; 3] = [4, 16, 60];

/// Outcome of one schedule.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Keys granted to more than one request, with the requests.
    pub double_grants: Vec<(Name, Vec<RequestId>)>,
    /// Keys granted.
    pub granted: usize,
    /// Keys minted.
    pub keys: usize,
}

/// Parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Whether there are no faults.
    pub calm: bool,
    /// Instances of the first list.
    pub member_count: usize,
    /// Number of latest keys that are sent again.
    pub recent_keys: usize,
    /// Rules in force.
    pub rules: HomeRules,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Plan {
    /// Returns the parameters of a schedule with faults and all rules.
    pub fn new(seed: u64) -> Self {
        let member_count = [3, 3, 3, 5][(seed % 4) as usize];
        let recent_keys = RECENT_KEYS[(seed / 4 % 3) as usize];
        Self { calm: false, member_count, recent_keys, rules: HomeRules::default(), seed }
    }

    /// Switches the faults off.
    pub fn calm(mut self) -> Self {
        self.calm = true;
        self
    }

    /// Sets the rules in force.
    pub fn rules(mut self, rules: HomeRules) -> Self {
        self.rules = rules;
        self
    }

    /// Runs the schedule.
    pub fn run(self) -> Outcome {
        Fleet::start(self).run()
    }
}

/// The processes, the network between them and the platform.
struct Fleet {
    faults: Faults,
    grants: BTreeMap<Name, Vec<RequestId>>,
    keys: Vec<Name>,
    lists: Vec<Vec<Name>>,
    network: Network,
    next_instance: usize,
    now_ms: u64,
    plan: Plan,
    processes: BTreeMap<Name, Process>,
    rng: StdRng,
}

impl Fleet {
    fn start(plan: Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let names: Vec<Name> = (0..plan.member_count).map(instance_name).collect();
        let faults = if plan.calm { Faults::none() } else { Faults::random(&mut rng) };
        let mut fleet = Self {
            faults,
            grants: BTreeMap::new(),
            keys: Vec::new(),
            lists: vec![names.clone()],
            network: Network::default(),
            next_instance: plan.member_count,
            now_ms: 0,
            plan,
            processes: BTreeMap::new(),
            rng,
        };
        for name in names {
            fleet.start_process(name, 1);
        }
        fleet
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < DURATION_MS {
            self.now_ms += STEP_MS;
            self.inject_faults();
            self.step();
        }
        self.outcome()
    }

    fn step(&mut self) {
        self.tick();
        self.deliver();
        self.send_claims();
    }

    fn outcome(self) -> Outcome {
        let granted = self.grants.len();
        let double_grants =
            self.grants.into_iter().filter(|(_, requests)| requests.len() > 1).collect();
        Outcome { double_grants, granted, keys: self.keys.len() }
    }

    /// Sends claims of new and of recent keys through random instances.
    fn send_claims(&mut self) {
        for _ in 0..3 {
            let Some(name) = self.random_running() else { return };
            let key = self.random_key();
            self.send_claim(&name, key);
        }
    }

    fn random_key(&mut self) -> Name {
        if !self.keys.is_empty() && self.rng.random_bool(0.85) {
            let first = self.keys.len().saturating_sub(self.plan.recent_keys);
            return self.keys[self.rng.random_range(first..self.keys.len())].clone();
        }
        let spread_ms = if self.rng.random_bool(0.1) { 8_000 } else { 100 };
        let minted_ms =
            EPOCH_MS + self.now_ms + self.rng.random_range(0..spread_ms * 2) - spread_ms;
        let random: [u8; 10] = self.rng.random();
        let uuid = Builder::from_unix_timestamp_millis(minted_ms, &random).into_uuid();
        let key: Name = match self.rng.random_bool(0.95) {
            true => uuid.to_string().into(),
            false => format!("key-{}", self.keys.len()).into(),
        };
        self.keys.push(key.clone());
        key
    }

    fn random_running(&mut self) -> Option<Name> {
        let now_ms = self.now_ms;
        let running = self.processes.values().filter(|process| process.paused_until_ms <= now_ms);
        let names: Vec<Name> = running.map(|process| process.name.clone()).collect();
        if names.is_empty() {
            return None;
        }
        Some(names[self.rng.random_range(0..names.len())].clone())
    }

    fn send_claim(&mut self, name: &Name, key: Name) {
        let now_ms = self.now_ms;
        let process = self.processes.get_mut(name).unwrap();
        let request = process.next_request();
        let view = process.membership.view();
        let home = view.home(&key);
        let list_version = view.list_version();
        process.pending_claims.push((request.clone(), now_ms));
        let claim = KeyClaim { fingerprint: 1, key, list_version, request, tier_rank: 0 };
        let copies = if self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..copies {
            self.send(name, &home, Packet::Peer(PeerMessage::KeyClaim(claim.clone())));
        }
    }

    fn send(&mut self, from: &Name, to: &Name, packet: Packet) {
        if self.faults.is_cut(from, to) {
            return;
        }
        let delay_ms = self.faults.delay_ms(&mut self.rng);
        let slow_ms = self.faults.slow_ms(from, to);
        self.network.send(self.now_ms + delay_ms + slow_ms, from, to, packet);
    }

    fn tick(&mut self) {
        let names: Vec<Name> = self.processes.keys().cloned().collect();
        for name in names {
            self.read_platform(&name);
            let event = MembershipEvent::Tick { summary: Default::default() };
            self.decide(&name, event);
            self.send_seals(&name);
        }
    }

    fn read_platform(&mut self, name: &Name) {
        if !self.rng.random_bool(self.faults.platform_read) || self.faults.platform_is_cut(name) {
            return;
        }
        let stale = if self.plan.calm { 0 } else { [0, 0, 0, 1, 2][self.rng.random_range(0..5)] };
        let version = (self.lists.len() as u64).saturating_sub(stale).max(1);
        self.adopt(name, version);
    }

    fn adopt(&mut self, name: &Name, version: u64) {
        let view = self.view(name, version);
        let now_ms = self.now_ms;
        if let Some(process) = self.processes.get_mut(name)
            && process.paused_until_ms <= now_ms
        {
            let now = process.now(now_ms);
            process.handover.observe(&process.membership.eligibility(now));
            process.handover.adopt(view.clone());
        }
        self.decide(name, MembershipEvent::ListAdopted { view });
    }

    fn view(&self, name: &Name, version: u64) -> View {
        View::from_inventory(&inventory(&self.lists[version as usize - 1], version), name.clone())
    }

    fn decide(&mut self, name: &Name, event: MembershipEvent) {
        let now_ms = self.now_ms;
        let Some(process) = self.processes.get_mut(name) else { return };
        if process.paused_until_ms > now_ms {
            return;
        }
        let now = process.now(now_ms);
        let effects = process.membership.decide(now, event);
        self.apply(name, effects);
    }

    fn deliver(&mut self) {
        while let Some(sent) = self.network.next(self.now_ms) {
            let Some(process) = self.processes.get(&sent.to) else { continue };
            if process.paused_until_ms > self.now_ms {
                let resume_ms = process.paused_until_ms;
                self.network.send(resume_ms, &sent.from, &sent.to, sent.packet);
                continue;
            }
            self.receive(&sent.from, &sent.to, sent.packet);
        }
    }

    fn start_process(&mut self, name: Name, version: u64) {
        let view = self.view(&name, version);
        let wall_clock_offset_ms = EPOCH_MS + self.rng.random_range(0..CLOCK_MARGIN_MS);
        let incarnation = self.rng.random();
        let process = Process::start(
            name.clone(),
            incarnation,
            wall_clock_offset_ms,
            self.now_ms,
            view,
            self.plan.rules,
        );
        self.processes.insert(name, process);
    }
}

fn instance_name(number: usize) -> Name {
    format!("entry-{number:03}").into()
}

fn inventory(names: &[Name], version: u64) -> Inventory {
    let mut names = names.to_vec();
    names.sort();
    let instances = names.into_iter().map(|name| Instance {
        caller_address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "umea-a".into(),
        name,
        peer_address: "127.0.0.1:2".parse().unwrap(),
    });
    Inventory { instances: instances.collect(), instances_version: version, ..Default::default() }
}
