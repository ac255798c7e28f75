//! Simulates several decision cores with a network, callers, backend servers and random faults.

pub mod checker;
mod documents;
mod network;
mod node;

use std::sync::Arc;

use bergamotspan::event::{Arrival, Event};
use bergamotspan::name::Name;
use bergamotspan::scheduling::Progress;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::{Builder, Uuid};

use self::checker::Checker;
use self::documents::{CUSTOMER, Documents, PLAIN};
use self::network::{Network, SentMessage};
use self::node::{ExternalAction, Node};

/// Deadline of every request, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;
/// Time from the start to the first fault, in milliseconds.
const FAULT_FREE_MS: u64 = 4_000;
/// Time with faults, in milliseconds.
const FAULTY_MS: u64 = 10_000;
/// Longest time that a backend server takes for a request, in milliseconds.
const MAX_RUN_MS: u64 = 1_500;
/// Longest pause of a core, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_500;
/// Time after which the cores may keep no state of requests and keys, in milliseconds.
const CLEANUP_MS: u64 = documents::KEY_LIFETIME_MS + MAX_RUN_MS + 2 * DEADLINE_MS;
const START_WALL_CLOCK_MS: u64 = 1_700_000_000_000;
const STEP_MS: u64 = 20;

/// Numbers of instances, in rotation by seed.
const INSTANCE_COUNTS: [usize; 3] = [3, 5, 7];

/// Runs the schedule of a seed, with three, five or seven instances.
pub fn run_cores(seed: u64) -> Checker {
    let count = INSTANCE_COUNTS[(seed % 3) as usize];
    Simulation::start(seed, count).run()
}

/// A simulation of cores, network, callers and backend servers.
pub struct Simulation {
    documents: Documents,
    /// Results of the checks so far.
    pub checker: Checker,
    keys: Vec<Name>,
    network: Network,
    nodes: Vec<Node>,
    now_ms: u64,
    random: StdRng,
}

impl Simulation {
    /// Starts this number of cores with the first document.
    pub fn start(seed: u64, count: usize) -> Self {
        let documents = Documents::with_instances(count);
        let nodes = (0..count).map(Node::new).collect();
        let mut simulation = Self {
            documents,
            checker: Checker::default(),
            keys: Vec::new(),
            network: Network::new(count),
            nodes,
            now_ms: 0,
            random: StdRng::seed_from_u64(seed),
        };
        for index in 0..count {
            simulation.boot(index, 1);
        }
        simulation
    }

    /// Runs without faults, then with faults, then until all state must be gone.
    pub fn run(mut self) -> Checker {
        self.run_until(FAULT_FREE_MS, false);
        self.run_until(FAULT_FREE_MS + FAULTY_MS, true);
        self.heal();
        let end_ms = self.now_ms + CLEANUP_MS;
        self.run_until(end_ms, false);
        for node in &self.nodes {
            self.checker.check_leftovers(node, self.now_ms);
        }
        self.checker
    }

    fn run_until(&mut self, until_ms: u64, with_faults: bool) {
        let takes_requests = self.now_ms < FAULT_FREE_MS + FAULTY_MS;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            if with_faults {
                self.inject_fault();
            }
            if takes_requests && self.random.random_bool(0.25) {
                self.send_random_requests();
            }
            self.deliver();
            for index in 0..self.nodes.len() {
                self.step_node(index);
            }
        }
    }

    /// Passes due documents, due progress and a tick to one core, and checks its deadlines.
    fn step_node(&mut self, index: usize) {
        if !self.nodes[index].is_running(self.now_ms) {
            return;
        }
        if let Some(at_ms) = self.nodes[index].document_due_ms
            && at_ms <= self.now_ms
        {
            self.nodes[index].document_due_ms = None;
            let version = self.documents.newest_version();
            self.read_document(index, version);
        }
        for (sequence, progress) in self.nodes[index].due_progress(self.now_ms) {
            self.checker.record_progress(&mut self.nodes[index], sequence, &progress);
            self.decide(index, Event::Dispatch { progress, sequence });
        }
        self.decide(index, Event::Tick);
        self.checker.check_deadlines(&self.nodes[index], self.now_ms);
    }

    fn decide(&mut self, index: usize, event: Event) {
        let effects = self.nodes[index].decide(self.now_ms, event);
        for effect in effects {
            let action = self.nodes[index].apply(effect, &mut self.checker);
            match action {
                ExternalAction::Dispatched(sequence) => {
                    self.schedule_random_progress(index, sequence)
                }
                ExternalAction::JoinAt { address, holder, key } => {
                    self.join_at(address.port(), holder, key);
                }
                ExternalAction::Nothing => {}
                ExternalAction::Send { message, to } => {
                    let Some(to) = self.documents.index_of(&to) else { continue };
                    let incarnation = self.nodes[index].incarnation;
                    let sent = SentMessage { from: index, incarnation, message, to };
                    self.network.send(self.now_ms, sent, &mut self.random);
                }
            }
        }
    }

    /// Schedules a random outcome of a dispatched request at its backend server.
    fn schedule_random_progress(&mut self, index: usize, sequence: u64) {
        let after_ms = self.random.random_range(0..MAX_RUN_MS);
        let progress = match self.random.random_range(0..10u8) {
            0 => Progress::Abandoned,
            1 => Progress::ConnectFailed,
            2 => Progress::Crashed,
            3 => Progress::Lost,
            4 => Progress::Cancelled,
            _ => Progress::Finished { cached_tokens: 0, output_tokens: 0 },
        };
        let is_short = matches!(progress, Progress::Abandoned | Progress::ConnectFailed);
        let at_ms = self.now_ms + if is_short { after_ms / 10 } else { after_ms };
        self.nodes[index].schedule_progress(at_ms, sequence, progress);
    }

    /// Requests the answer of a key from the instance at a caller address, as another instance does.
    fn join_at(&mut self, port: u16, holder: Name, key: Name) {
        let index = usize::from(port - documents::FIRST_PORT);
        if self.nodes[index].is_running(self.now_ms) {
            let sequence = self.nodes[index].add_join();
            self.decide(index, Event::JoinRequested { holder: Some(holder), key, sequence });
        }
    }

    fn send_random_requests(&mut self) {
        let key = match self.keys.len() {
            known if known > 0 && self.random.random_bool(0.6) => {
                // Sends of recent keys can conflict with requests in progress.
                let back = self.random.random_range(0..known.min(6));
                self.keys[known - 1 - back].clone()
            }
            _ => self.mint_key(),
        };
        let sends = if self.random.random_bool(0.3) { 3 } else { 1 };
        for _ in 0..sends {
            let index = self.random.random_range(0..self.nodes.len());
            if self.nodes[index].is_running(self.now_ms) {
                match self.random.random_range(0..12u8) {
                    0 => self.request_join(index, key.clone()),
                    1 => self.request_cancel(index, key.clone()),
                    _ => self.send_request(index, key.clone()),
                }
            }
        }
    }

    fn request_cancel(&mut self, index: usize, key: Name) {
        let sequence = self.nodes[index].add_join();
        self.decide(index, Event::CancelRequested { holder: None, key, sequence });
    }

    fn request_join(&mut self, index: usize, key: Name) {
        let sequence = self.nodes[index].add_join();
        self.decide(index, Event::JoinRequested { holder: None, key, sequence });
    }

    fn send_request(&mut self, index: usize, key: Name) {
        let with_key = self.random.random_bool(0.9);
        let key = with_key.then_some(key);
        let sequence = self.nodes[index].add_request(self.now_ms, key.clone());
        let arrival = Arrival {
            customer: CUSTOMER.into(),
            deadline_ms: Some(DEADLINE_MS),
            fingerprint: 1,
            key,
            path: if with_key { "bookings" } else { "status" }.into(),
            sequence,
            service: PLAIN.into(),
            ..Arrival::default()
        };
        self.decide(index, Event::Arrived(Box::new(arrival)));
    }

    fn mint_key(&mut self) -> Name {
        let wall_clock_ms = START_WALL_CLOCK_MS + self.now_ms;
        let random: [u8; 10] = self.random.random();
        let uuid: Uuid = Builder::from_unix_timestamp_millis(wall_clock_ms, &random).into_uuid();
        let key: Name = uuid.to_string().into();
        self.keys.push(key.clone());
        key
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        let other = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..400u16) {
            0..=5 => {
                let up = self.random.random_bool(0.5);
                self.set_link(index, other, up);
            }
            6..=8 => self.network.silence(index, other, true),
            9..=14 => self.network.silence(index, other, false),
            15..=18 => {
                let pause_ms = self.random.random_range(0..MAX_PAUSE_MS);
                self.nodes[index].paused_until_ms = self.now_ms + pause_ms;
            }
            19..=20 => self.restart(index),
            21..=22 => self.change_list(),
            23 => self.decide_if_running(index, Event::Stop),
            24..=27 => self.decide_if_running(index, Event::PlatformUnreachable),
            _ => {}
        }
    }

    fn decide_if_running(&mut self, index: usize, event: Event) {
        if self.nodes[index].is_running(self.now_ms) {
            self.decide(index, event);
        }
    }

    fn set_link(&mut self, a: usize, b: usize, up: bool) {
        if a == b || self.network.is_up(a, b) == up {
            return;
        }
        self.network.set_link(a, b, up);
        self.send_link_event(a, b, up);
        self.send_link_event(b, a, up);
    }

    fn send_link_event(&mut self, at: usize, peer: usize, up: bool) {
        let (peer, incarnation) = (self.nodes[peer].name.clone(), self.nodes[peer].incarnation);
        let event = match up {
            true => Event::PeerUp { peer, incarnation, key_seals: true },
            false => Event::PeerDown { peer },
        };
        self.decide_if_running(at, event);
    }

    fn change_list(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        self.documents.toggle_instance(index);
        for node in &mut self.nodes {
            node.document_due_ms = Some(self.now_ms + self.random.random_range(0..2_000));
        }
    }

    /// Restarts a core in place; the document that it reads may be stale.
    ///
    /// Messages of the old incarnation still reach the others, whose replies may be sent on the link
    /// to the new one.
    fn restart(&mut self, index: usize) {
        let newest = self.documents.newest_version();
        let version = self.random.random_range(newest.saturating_sub(1).max(1)..=newest);
        let outgoing = self.network.take_outgoing(index);
        self.boot(index, version);
        let linked: Vec<usize> =
            (0..self.nodes.len()).filter(|other| self.network.is_up(index, *other)).collect();
        for SentMessage { from, incarnation, message, to } in outgoing {
            let peer = self.nodes[from].name.clone();
            self.decide_if_running(to, Event::PeerMessage { incarnation, message, peer });
        }
        for other in linked.into_iter().filter(|other| *other != index) {
            self.send_link_event(index, other, true);
            self.decide_if_running(other, Event::PeerDown { peer: self.nodes[index].name.clone() });
            self.send_link_event(other, index, true);
        }
    }

    fn boot(&mut self, index: usize, version: u64) {
        let wall_clock_ms =
            START_WALL_CLOCK_MS + self.random.random_range(0..documents::CLOCK_MARGIN_MS);
        self.nodes[index].boot(self.now_ms, wall_clock_ms);
        self.read_document(index, version);
    }

    fn read_document(&mut self, index: usize, version: u64) {
        let (document, inventory) = self.documents.get(version);
        let parsed = Ok(Arc::new(inventory));
        self.decide(index, Event::DocumentRead { document, parsed, peer: None });
    }

    fn deliver(&mut self) {
        while let Some(sent) = self.network.next_due(self.now_ms) {
            let SentMessage { from, incarnation, message, to } = sent;
            if self.nodes[to].has_stopped() {
                continue;
            }
            if !self.nodes[to].is_running(self.now_ms) {
                let wait_ms = self.nodes[to].paused_until_ms;
                self.network
                    .schedule_delivery(wait_ms + 1, SentMessage { from, incarnation, message, to });
                continue;
            }
            let peer = self.nodes[from].name.clone();
            self.decide(to, Event::PeerMessage { incarnation, message, peer });
        }
    }

    fn heal(&mut self) {
        for a in 0..self.nodes.len() {
            self.nodes[a].paused_until_ms = 0;
            for b in 0..self.nodes.len() {
                self.network.silence(a, b, false);
                if a < b {
                    self.set_link(a, b, true);
                }
            }
        }
    }
}
