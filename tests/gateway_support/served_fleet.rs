//! A simulated fleet with callers and engines, some of which crash under bad prompt parts, and
//! instances that are cut off from all engines.

#![allow(dead_code, reason = "each test takes what it needs")]

#[path = "served_requests.rs"]
mod served_requests;

use std::collections::BTreeMap;

use bergamotspan::gateway::admission::{RefusalReason, RequestPlan};
use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::crash_records::CrashNotice;
use bergamotspan::gateway::dispatching::StartedSend;
use bergamotspan::gateway::fleet::coordinators::Decider;
use bergamotspan::gateway::part_stage::PartStage;
use bergamotspan::gateway::routing_document::{Route, RouteKind, RoutingDocument};
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::name::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{backend, document, record, route};
use crate::placer::Placer;
use crate::simulated_fleet::SimulatedFleet;

/// First parts of sound prompts: 1 to this number.
pub const SOUND_PARTS: u64 = 40;
/// Slots of all engines together.
const SLOTS: usize = 320;
/// Number of sends that a resumable request may have.
const ATTEMPTS: u32 = 2;
/// Time from a broken connection until a refused one proves the crash, in milliseconds.
const CONNECT_MS: u64 = 5;
/// Time for which a crashed engine is down, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Time from a crash until the record is removed, in milliseconds.
const RECORD_MS: u64 = 4_000;
/// Time from a change of what is known of a part until the next report, in milliseconds.
const REPORT_MS: u64 = 10;
/// Time between two proofs that the document is the newest, in milliseconds.
const PROOF_MS: u64 = 500;

/// What arrives.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Number of different bad parts.
    pub bad_parts: u64,
    /// Bad requests in a second, at most 100.
    pub bad_per_s: f64,
}

/// A sound request and what became of it.
#[derive(Clone, Copy, Debug)]
pub struct SoundRequest {
    pub arrived_ms: u64,
    /// Instance at which it arrived.
    pub at: usize,
    /// Whether its answer began without a second send.
    pub has_begun: bool,
    pub refused: Option<RefusalReason>,
}

/// How an instance is cut off from all engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Its connections are refused.
    Refused,
    /// Its connections time out.
    TimedOut,
}

/// Quarantine of a part at one instance.
#[derive(Clone, Copy, Debug)]
pub struct HeldPart {
    pub at: usize,
    pub part: u64,
    pub since_ms: u64,
    /// `None` while it lasts.
    pub until_ms: Option<u64>,
}

/// An engine in its present run.
struct Engine {
    id: Name,
    is_up: bool,
    runs: u64,
}

struct CallerRequest {
    at: usize,
    arrived_ms: u64,
    fingerprint: u64,
    is_bad: bool,
    phase: Phase,
    plan: RequestPlan,
    sends: u32,
    sound_index: Option<usize>,
    tried: Vec<Name>,
    unreachable: usize,
}

enum Phase {
    Connecting(StartedSend),
    Placing,
    Sent(Sent),
}

impl CallerRequest {
    fn is_at(&self, engine: usize) -> bool {
        matches!(&self.phase, Phase::Sent(sent) if sent.engine == engine)
    }
}

#[derive(Clone)]
struct Sent {
    engine: usize,
    has_started: bool,
    sent_ms: u64,
    started_send: StartedSend,
}

#[derive(Clone)]
enum Timer {
    ConnectTimeout { request: u64, place: u64 },
    Crash { engine: usize, run: u64 },
    EndAnswer { request: u64 },
    EngineUp(usize),
    FirstEvent { request: u64, send: u32 },
    ProveCrash { at: usize, life: u64, engine: Name },
    Publish(StoreItem),
    Tick { at: usize, life: u64 },
}

/// A fleet with callers and engines.
pub struct ServedFleet {
    pub fleet: SimulatedFleet,
    pub traffic: Traffic,
    /// When engines crashed, in milliseconds.
    pub crashes_ms: Vec<u64>,
    /// When sends with a bad part reached engines, in milliseconds.
    pub bad_sends_ms: Vec<u64>,
    /// Number of bad requests that arrived.
    pub bad_arrivals: usize,
    pub sound: Vec<SoundRequest>,
    pub held_parts: Vec<HeldPart>,
    /// Times at which sound requests were refused for a quarantined part, with the part.
    pub sound_held: Vec<(u64, u64)>,
    /// Most granted places that coordinators counted at once.
    pub most_leases: usize,
    /// Most requests that were in progress at once.
    pub most_requests: usize,
    /// When sends to engines that had crashed were begun, and by which instances.
    pub sends_to_gone: Vec<(u64, usize)>,
    /// When an instance held back an engine that was up.
    pub held_back_ms: Vec<u64>,
    cuts: Vec<Option<Cut>>,
    engines: Vec<Engine>,
    lives: Vec<u64>,
    items: BTreeMap<Name, BackendRecord>,
    next_number: u64,
    placer: Placer,
    random: StdRng,
    requests: BTreeMap<u64, CallerRequest>,
    revision: u64,
    timers: BTreeMap<(u64, u64), Timer>,
}

impl ServedFleet {
    /// Starts instances and engines; nothing arrives yet.
    pub fn start(instances: usize, engines: usize, random_seed: u64) -> Self {
        let mut served = Self {
            fleet: SimulatedFleet::start(instances, 3.min(instances), random_seed),
            traffic: Traffic { bad_parts: 0, bad_per_s: 0.0 },
            crashes_ms: Vec::new(),
            bad_sends_ms: Vec::new(),
            bad_arrivals: 0,
            sound: Vec::new(),
            held_parts: Vec::new(),
            sound_held: Vec::new(),
            most_leases: 0,
            most_requests: 0,
            sends_to_gone: Vec::new(),
            held_back_ms: Vec::new(),
            cuts: vec![None; instances],
            engines: Vec::new(),
            lives: vec![0; instances],
            items: BTreeMap::new(),
            next_number: 0,
            placer: Placer::default(),
            random: StdRng::seed_from_u64(random_seed),
            requests: BTreeMap::new(),
            revision: 1,
            timers: BTreeMap::new(),
        };
        for number in 0..engines {
            let engine = Engine { id: engine_id(number, 0), is_up: true, runs: 0 };
            served.items.insert(engine.id.clone(), served.record_of(number, engines));
            served.engines.push(engine);
        }
        served.fleet.publish_to_all(served.revision, &served.listing());
        served
    }

    fn record_of(&self, number: usize, engines: usize) -> BackendRecord {
        BackendRecord { slots: SLOTS.div_ceil(engines), ..record("model", number as u16 + 1) }
    }

    fn listing(&self) -> Vec<StoreItem> {
        let records = self.items.iter().map(|(id, record)| backend(id, record.clone()));
        let document = StoreItem::Document(Ok(Box::new(routes())));
        std::iter::once(document).chain(records).collect()
    }

    pub fn now_ms(&self) -> u64 {
        self.fleet.now_ms
    }

    /// Runs until `duration_ms` have passed, with arrivals.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms() + duration_ms;
        while self.now_ms() < end_ms {
            self.step();
        }
    }

    /// Runs until a number of engines have crashed, for at most `limit_ms`.
    pub fn run_until_crashes(&mut self, count: usize, limit_ms: u64) {
        let end_ms = self.now_ms() + limit_ms;
        while self.crashes_ms.len() < count && self.now_ms() < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.fleet.step();
        let now_ms = self.now_ms();
        if now_ms.is_multiple_of(PROOF_MS) {
            self.fleet.states.iter_mut().flatten().for_each(|state| state.record_proof(now_ms));
        }
        self.placer.step(&mut self.fleet);
        self.take_places();
        while let Some(entry) = self.timers.first_entry()
            && entry.key().0 <= now_ms
        {
            let timer = entry.remove();
            self.apply_timer(timer);
        }
        self.receive_arrivals();
        (0..self.lives.len()).for_each(|at| self.take_notices(at));
        let leases = self.fleet.live().map(|(_, state)| state.fleet().lease_count()).sum();
        self.most_leases = self.most_leases.max(leases);
        self.most_requests = self.most_requests.max(self.requests.len());
        self.note_held_back();
    }

    fn note_held_back(&mut self) {
        let now_ms = self.now_ms();
        let up: Vec<_> = self.engines.iter().filter(|engine| engine.is_up).collect();
        let is_held_back = |state: &GatewayState| {
            let mut known = up.iter().filter_map(|engine| state.backends().get(&engine.id));
            known.any(|known| !known.may_serve(now_ms))
        };
        if self.fleet.live().any(|(_, state)| is_held_back(state)) {
            self.held_back_ms.push(now_ms);
        }
    }

    /// Cuts an instance off from all engines; its sends break.
    pub fn cut(&mut self, at: usize, cut: Cut) {
        self.cuts[at] = Some(cut);
        let requests = self.requests.iter().filter(|(_, request)| request.at == at);
        let broken: Vec<u64> = requests.map(|(number, _)| *number).collect();
        broken.into_iter().for_each(|number| self.break_send(number));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.fill(None);
    }

    /// Ends an instance and all that it does.
    pub fn kill(&mut self, at: usize) {
        self.fleet.kill(at);
        self.placer.kill(at);
        self.lives[at] += 1;
        self.requests.retain(|_, request| request.at != at);
        let now_ms = self.now_ms();
        let held = self.held_parts.iter_mut();
        held.filter(|held| held.at == at && held.until_ms.is_none())
            .for_each(|held| held.until_ms = Some(now_ms));
    }

    pub fn restart(&mut self, at: usize) {
        self.fleet.start_instance(at);
        let listing = self.listing();
        self.fleet.publish(at, self.revision, listing);
    }

    /// Returns the instances that grant places.
    pub fn coordinators(&self) -> Vec<usize> {
        let now_ms = self.now_ms();
        let own =
            self.fleet.live().filter(|(_, state)| state.fleet().decider(now_ms) == Decider::Own);
        own.map(|(index, _)| index).collect()
    }

    /// Ends an engine, whatever the reason.
    pub fn crash_engine(&mut self, engine: usize) {
        if !self.engines[engine].is_up {
            return;
        }
        let now_ms = self.now_ms();
        self.crashes_ms.push(now_ms);
        let ended = self.engines[engine].id.clone();
        self.engines[engine].is_up = false;
        self.engines[engine].runs += 1;
        let next = engine_id(engine, self.engines[engine].runs);
        self.add_timer(now_ms + DOWN_MS, Timer::EngineUp(engine));
        let gone = Timer::Publish(StoreItem::BackendGone { id: ended });
        let record = self.record_of(engine, self.engines.len());
        let come = Timer::Publish(backend(&next, record));
        let second_ms = self.random.random_range(50..500);
        let (first, second) =
            if self.random.random_bool(0.5) { (gone, come) } else { (come, gone) };
        self.add_timer(now_ms + RECORD_MS, first);
        self.add_timer(now_ms + RECORD_MS + second_ms, second);
        let requests = self.requests.iter().filter(|(_, request)| request.is_at(engine));
        let broken: Vec<u64> = requests.map(|(number, _)| *number).collect();
        broken.into_iter().for_each(|number| self.break_send(number));
    }

    fn apply_timer(&mut self, timer: Timer) {
        let now_ms = self.now_ms();
        match timer {
            Timer::Crash { engine, run } if self.engines[engine].runs == run => {
                self.crash_engine(engine);
            }
            Timer::Crash { .. } => {}
            Timer::ConnectTimeout { request, place } => self.time_out(request, place),
            Timer::EndAnswer { request } => self.end_answer(request),
            Timer::EngineUp(engine) => {
                self.engines[engine].id = engine_id(engine, self.engines[engine].runs);
                self.engines[engine].is_up = true;
            }
            Timer::FirstEvent { request, send } => self.begin_answer(request, send),
            Timer::ProveCrash { at, life, engine }
                if self.lives[at] == life && self.running_engine(&engine).is_none() =>
            {
                self.fleet.state(at).record_crash(now_ms, &engine);
                self.fleet.send_outbox(at);
            }
            Timer::ProveCrash { .. } => {}
            Timer::Publish(item) => self.publish(item),
            Timer::Tick { at, life } if self.lives[at] == life => {
                self.fleet.state(at).tick(now_ms);
                self.fleet.send_outbox(at);
            }
            Timer::Tick { .. } => {}
        }
    }

    fn publish(&mut self, item: StoreItem) {
        match &item {
            StoreItem::Backend { id, record: Ok(record) } => {
                self.items.insert(id.clone(), record.clone());
            }
            StoreItem::BackendGone { id } => drop(self.items.remove(id)),
            _ => {}
        }
        self.revision += 1;
        self.fleet.publish_to_all(self.revision, &[item]);
    }

    fn add_timer(&mut self, at_ms: u64, timer: Timer) {
        let number = self.new_number();
        self.timers.insert((at_ms, number), timer);
    }

    fn new_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn running_engine(&self, id: &str) -> Option<usize> {
        self.engines.iter().position(|engine| engine.is_up && &*engine.id == id)
    }

    /// Finds out soon whether an engine has crashed, which an instance that reaches it confirms.
    fn find_crash(&mut self, at: usize, engine: Name) {
        let life = self.lives[at];
        self.add_timer(self.now_ms() + CONNECT_MS, Timer::ProveCrash { at, life, engine });
    }

    fn refuse(&mut self, number: u64, reason: RefusalReason) {
        let now_ms = self.now_ms();
        let Some(request) = self.requests.remove(&number) else { return };
        if reason == RefusalReason::Quarantined && !request.is_bad {
            let parts = request.plan.prompt.as_ref().expect("a prompt").shared_parts();
            self.sound_held.push((now_ms, parts[0]));
        }
        if let Some(index) = request.sound_index {
            self.sound[index].refused = Some(reason);
        }
    }

    fn take_notices(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let Some(state) = &mut self.fleet.states[at] else { return };
        let notices = state.take_crash_notices();
        if notices.is_empty() {
            return;
        }
        for notice in notices {
            let CrashNotice::PartChanged(change) = notice else { continue };
            let part = change.part;
            if change.stage == PartStage::Quarantined {
                self.held_parts.push(HeldPart { at, part, since_ms: now_ms, until_ms: None });
                continue;
            }
            let mut held = self.held_parts.iter_mut().rev();
            let last = held.find(|held| held.at == at && held.part == part);
            if let Some(last) = last.filter(|last| last.until_ms.is_none()) {
                last.until_ms = Some(now_ms);
            }
        }
        let life = self.lives[at];
        self.add_timer(now_ms + REPORT_MS, Timer::Tick { at, life });
    }

    /// Returns the share of the sound requests which arrived in a period whose answers began
    /// without a second send.
    pub fn begun_share(&self, from_ms: u64, until_ms: u64) -> f64 {
        self.begun_share_at(from_ms, until_ms, |_| true)
    }

    /// Returns the same share for those that arrived at some of the instances.
    pub fn begun_share_at<F>(&self, from_ms: u64, until_ms: u64, is_at: F) -> f64
    where
        F: Fn(usize) -> bool,
    {
        let period = from_ms..until_ms;
        let arrived = self.sound.iter().filter(|sound| period.contains(&sound.arrived_ms));
        let arrived: Vec<_> = arrived.filter(|sound| is_at(sound.at)).collect();
        let begun = arrived.iter().filter(|sound| sound.has_begun).count();
        begun as f64 / arrived.len().max(1) as f64
    }

    /// Returns how many sends with a bad part reached engines later than `since_ms`.
    pub fn bad_sends_after(&self, since_ms: u64) -> usize {
        self.bad_sends_ms.iter().filter(|sent_ms| **sent_ms > since_ms).count()
    }
}

fn engine_id(number: usize, run: u64) -> Name {
    format!("m-{number:04}-{run}").into()
}

fn routes() -> RoutingDocument {
    let resumable =
        Route { attempts: ATTEMPTS, resumable: true, ..route("draft", RouteKind::Stream, "model") };
    let routes = vec![resumable, route("once", RouteKind::Stream, "model")];
    RoutingDocument { routes, ..document(1) }
}
