//! A simulated fleet whose store asks for the evacuation of data centres.

use std::collections::BTreeMap;

use bergamotspan::gateway::admission::Admission;
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::dispatching::{SendEnd, StartedSend};
use bergamotspan::gateway::fleet::additions::ToldEvacuations;
use bergamotspan::gateway::store_item::{StoreChanges, StoreItem};
use bergamotspan::gateway::store_read::StoreRead;
use bergamotspan::name::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{START_MS, admit, backend, document, draft, name, position, record};
use crate::placer::{PlaceSearch, Placer};
use crate::simulated_fleet::SimulatedFleet;

/// Length of a step of the fleet, in milliseconds.
const STEP_MS: u64 = 10;
/// Shortest time between two reads of an instance, in milliseconds.
const READ_INTERVAL_MS: u64 = 250;
/// Data centres, among which the engines are spread evenly.
pub const DATA_CENTRES: [&str; 3] = ["umea-a", "umea-b", "lulea-c"];

/// A request that was sent to an engine.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at_ms: u64,
    pub backend_server: Name,
    pub data_centre: &'static str,
    pub instance: usize,
}

/// A simulated fleet with its store and engines.
pub struct EvacuatingFleet {
    pub fleet: SimulatedFleet,
    /// Whether an instance can't read the store.
    pub is_cut: Vec<bool>,
    pub sent: Vec<Sent>,
    /// Since when an instance has run and reached the store, in milliseconds.
    pub calm_since_ms: Vec<u64>,
    changes: Vec<StoreItem>,
    engines: usize,
    evacuated: Vec<&'static str>,
    next_number: u64,
    placer: Placer,
    random: StdRng,
    /// When each instance began the read in progress, and when it may begin the next.
    reads: Vec<(Option<u64>, u64)>,
    running: Vec<(u64, usize, StartedSend)>,
}

impl EvacuatingFleet {
    /// Starts a fleet of which the instances at these indices are of a build that knows no evacuations.
    pub fn start(instances: usize, engines: usize, seed: u64, earlier: &[usize]) -> Self {
        let mut fleet = SimulatedFleet::start(instances, 3, seed);
        earlier.iter().for_each(|at| fleet.is_earlier[*at] = true);
        let mut evacuating = Self {
            fleet,
            is_cut: vec![false; instances],
            sent: Vec::new(),
            calm_since_ms: vec![START_MS; instances],
            changes: Vec::new(),
            engines,
            evacuated: Vec::new(),
            next_number: 0,
            placer: Placer::default(),
            random: StdRng::seed_from_u64(seed),
            reads: vec![(None, 0); instances],
            running: Vec::new(),
        };
        evacuating.run(4_000);
        evacuating
    }

    pub fn now_ms(&self) -> u64 {
        self.fleet.now_ms
    }

    pub fn evacuate(&mut self, data_centre: &'static str) {
        self.evacuated.push(data_centre);
        self.changes.push(StoreItem::Evacuated { data_centre: name(data_centre) });
    }

    pub fn take_back(&mut self, data_centre: &'static str) {
        self.evacuated.retain(|known| *known != data_centre);
        self.changes.push(StoreItem::EvacuationEnded { data_centre: name(data_centre) });
    }

    /// Kills all instances and starts them again.
    pub fn restart_all(&mut self) {
        for at in 0..self.fleet.states.len() {
            self.placer.kill(at);
            self.fleet.start_instance(at);
            self.calm_since_ms[at] = self.now_ms();
            self.reads[at] = (None, 0);
        }
        self.running.clear();
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.step();
        }
    }

    /// Returns the requests that engines of a data centre got after a time from instances of this build
    /// that had been in touch for `stable_ms`.
    pub fn sent_to(&self, data_centre: &str, after_ms: u64, stable_ms: u64) -> Vec<&Sent> {
        let counts = |sent: &&Sent| {
            sent.data_centre == data_centre
                && sent.at_ms > after_ms
                && !self.fleet.is_earlier[sent.instance]
                && sent.at_ms >= self.calm_since_ms[sent.instance] + stable_ms
        };
        self.sent.iter().filter(counts).collect()
    }

    /// Returns the most requests that one engine got in a second from a time on, and the mean of those
    /// that got any.
    pub fn busiest_second(&self, from_ms: u64) -> (usize, f64) {
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        let second =
            self.sent.iter().filter(|sent| (from_ms..from_ms + 1_000).contains(&sent.at_ms));
        second.for_each(|sent| *counts.entry(&sent.backend_server).or_default() += 1);
        let most = counts.values().max().copied().unwrap_or_default();
        (most, counts.values().sum::<usize>() as f64 / counts.len().max(1) as f64)
    }

    fn step(&mut self) {
        let now_ms = self.now_ms();
        for at in 0..self.is_cut.len() {
            if self.is_cut[at] {
                self.calm_since_ms[at] = now_ms;
            }
            self.read_store(at);
        }
        self.fetch_updates();
        self.request();
        self.fleet.step();
        self.placer.step(&mut self.fleet);
        self.send();
        let now_ms = self.now_ms();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(due_ms, ..)| *due_ms <= now_ms);
        self.running = later;
        for (_, at, send) in due {
            self.fleet.state(at).end_send(now_ms, &send, &SendEnd::new(SendOutcome::Answered));
            self.fleet.send_outbox(at);
        }
    }

    fn listing(&self) -> Vec<StoreItem> {
        let engine = |number: usize| BackendRecord {
            data_centre: name(DATA_CENTRES[number % 3]),
            ..record("model", number as u16 + 1)
        };
        let engines = (0..self.engines).map(|number| backend(&id(number), engine(number)));
        let evacuated = self.evacuated.iter();
        let evacuated = evacuated.map(|known| StoreItem::Evacuated { data_centre: name(known) });
        let document = StoreItem::Document(Ok(Box::new(document(1))));
        std::iter::once(document).chain(engines).chain(evacuated).collect()
    }

    /// Has an instance read the store as its tasks do.
    fn read_store(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let revision = self.changes.len() as u64 + 1;
        let (begun_ms, next_ms) = self.reads[at];
        let listing = self.listing();
        let is_earlier = self.fleet.is_earlier[at];
        let Some(state) = self.fleet.states[at].as_mut().filter(|_| now_ms >= next_ms) else {
            return;
        };
        let read = state.next_store_read(now_ms);
        if matches!(read, StoreRead::Nothing(_)) {
            self.reads[at].0 = None;
            return;
        }
        if self.is_cut[at] {
            state.set_store_reachable(false);
            self.reads[at] = (None, now_ms + READ_INTERVAL_MS);
            return;
        }
        state.set_store_reachable(true);
        let known = |items: Vec<StoreItem>| -> Vec<StoreItem> {
            let is_news = |item: &StoreItem| {
                !matches!(item, StoreItem::Evacuated { .. } | StoreItem::EvacuationEnded { .. })
            };
            items.into_iter().filter(|item| !is_earlier || is_news(item)).collect()
        };
        let since = |after: u64| known(self.changes[after as usize - 1..].to_vec());
        let position = position(revision);
        match read {
            StoreRead::Changes { after, wait_ms } => {
                let begun_ms = *self.reads[at].0.get_or_insert(begun_ms.unwrap_or(now_ms));
                if after.revision == revision && now_ms < begun_ms + wait_ms {
                    return;
                }
                let changes = StoreChanges { items: since(after.revision), position };
                state.apply_store_changes(now_ms, now_ms, changes);
            }
            StoreRead::Missed { after } => {
                let changes = StoreChanges { items: since(after.revision), position };
                state.apply_missed_changes(now_ms, after, &changes);
            }
            _ => {
                let listing = StoreChanges { items: known(listing), position };
                state.apply_store_listing(now_ms, now_ms, listing);
            }
        }
        self.reads[at] = (None, now_ms + READ_INTERVAL_MS);
        self.fleet.send_outbox(at);
    }

    fn fetch_updates(&mut self) {
        let now_ms = self.now_ms();
        for (at, from) in std::mem::take(&mut self.fleet.fetches) {
            let Some(state) = &self.fleet.states[at] else { continue };
            let (after, version) = (state.store_position(), state.table().version());
            let sender = self.fleet.states[from].as_ref();
            let update = sender.and_then(|sender| sender.store_update_since(after, version));
            let Some(mut update) = update else { continue };
            if self.fleet.is_earlier[from] {
                update.evacuations = None;
            }
            if self.fleet.is_earlier[at] {
                // A build that knows no evacuations lacks none.
                let (position, is_settled) = (update.position, true);
                let data_centres = Vec::new();
                let nothing = ToldEvacuations { age_ms: 0, data_centres, is_settled, position };
                update.evacuations = Some(nothing);
            }
            self.fleet.state(at).apply_store_update(now_ms, update);
            self.fleet.send_outbox(at);
        }
    }

    fn request(&mut self) {
        let now_ms = self.now_ms();
        let at = self.random.random_range(0..self.fleet.states.len());
        self.next_number += 1;
        let metadata =
            draft(&format!("r-{}", self.next_number), self.random.random_range(50..5_000), 20);
        if let Admission::Forward(plan) = admit(self.fleet.state(at), now_ms, "/draft/a", &metadata)
        {
            let search = PlaceSearch::new(at, plan, Vec::new());
            self.placer.start(&mut self.fleet, self.next_number, search);
        }
    }

    /// Sends the requests that have places; what may no longer be sent looks for another one.
    fn send(&mut self) {
        let now_ms = self.now_ms();
        for result in std::mem::take(&mut self.placer.results) {
            let Ok(send) = result.found else { continue };
            let at = result.search.at;
            let state = self.fleet.state(at);
            if send.address.is_none() || !state.may_send_to(&send.backend_server) {
                state.end_send(now_ms, &send, &SendEnd::unused());
                let tried = vec![send.backend_server.clone()];
                let search = PlaceSearch::new(at, result.search.plan, tried);
                self.placer.start(&mut self.fleet, result.number, search);
                continue;
            }
            let number = (0..self.engines).find(|number| *id(*number) == *send.backend_server);
            self.sent.push(Sent {
                at_ms: now_ms,
                backend_server: send.backend_server.clone(),
                data_centre: DATA_CENTRES[number.expect("an engine of the fleet") % 3],
                instance: at,
            });
            self.running.push((now_ms + self.random.random_range(30..300), at, send));
        }
    }
}

fn id(number: usize) -> String {
    format!("m-{number:04}")
}
