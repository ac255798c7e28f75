//! A simulated fleet whose callers take up streams while engines are replaced by another version.

#![allow(dead_code, reason = "each test takes what it needs")]

mod versioned_sends;

use std::collections::BTreeMap;

use bergamotspan::gateway::admission::{Admission, Arrival, RefusalReason, RequestPlan};
use bergamotspan::gateway::backend_record::BackendRecord;
use bergamotspan::gateway::dispatching::StartedSend;
use bergamotspan::gateway::fleet::message::Body;
use bergamotspan::gateway::fleet::origin_homes::OriginLookup;
use bergamotspan::gateway::fleet::origin_message::OriginAsk;
use bergamotspan::gateway::fleet::pending_origin::{
    OriginSource, OriginStep, PATIENCE_MS, PendingOrigin,
};
use bergamotspan::gateway::request_metadata::{RequestMetadata, Resumption};
use bergamotspan::gateway::routing_document::{Route, RouteKind, RoutingDocument};
use bergamotspan::gateway::stream_origins::StreamOrigin;
use bergamotspan::name::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{HOST, document, draft, record, route};
use crate::placer::{PlaceResult, PlaceSearch, Placer};
use crate::simulated_fleet::SimulatedFleet;
use crate::simulated_store::SimulatedStore;

/// Slots of all engines together.
const SLOTS: usize = 320;
/// Number of sends of one request.
const ATTEMPTS: u32 = 3;
/// Number of unreachable engines after which a request is refused.
const UNREACHABLE_LIMIT: usize = 3;
/// Time for which a stream can be resumed, in milliseconds.
pub const RESUMABLE_MS: u64 = 8_000;
/// Share of streams that break off at their engine.
const BREAK_SHARE: f64 = 0.25;
/// Share of streams whose callers lose their instance.
const DROP_SHARE: f64 = 0.1;
/// Number of tries of a caller.
const MAX_TRIES: u32 = 8;
/// Time for which an instance is undisturbed before it counts as in touch, in milliseconds.
const IN_TOUCH_MS: u64 = 3_000;
/// Time for which most callers come to an instance that has just gone on, in milliseconds.
const RUSH_MS: u64 = 100;
/// Fewest engines of a version that serve it.
const SERVING: usize = 2;

/// An engine.
struct Engine {
    id: Name,
    is_leaving: bool,
    is_up: bool,
    record: BackendRecord,
}

/// A stream that a caller wants, over all its tries.
struct Stream {
    /// How often it had events.
    begun: u32,
    deadline_ms: u64,
    /// Id of the request that brought the first event.
    first_id: Option<Name>,
    left_ms: u64,
    tries: u32,
    /// What happened to it, for a report.
    trace: Vec<String>,
    /// Version of the events that the caller has.
    version: Option<Name>,
}

/// One request of a caller.
struct Request {
    at: usize,
    phase: Phase,
    sends: u32,
    stream: u64,
    tried: Vec<Name>,
    try_index: usize,
    unreachable: usize,
}

enum Phase {
    Asking { ask: OriginAsk, pending: PendingOrigin, plan: Box<RequestPlan>, wake: u64 },
    Placing,
    Sent(Box<Sent>),
}

struct Sent {
    engine: usize,
    event_ms: Option<u64>,
    plan: RequestPlan,
    sent_ms: u64,
    started_send: StartedSend,
}

/// What became of one try of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub began_ms: u64,
    /// When it was refused, in milliseconds.
    pub ended_ms: u64,
    pub has_events: bool,
    /// Whether its instance was undisturbed, and engines of its version served.
    pub is_counted: bool,
    pub is_resumption: bool,
    pub refused: Option<RefusalReason>,
    /// The stream, and how often it had events before.
    pub want: (u64, u32),
}

enum Timer {
    Break { request: u64, send: u32 },
    Complete { request: u64, send: u32 },
    Drop { request: u64, send: u32 },
    FirstEvent { request: u64, send: u32 },
    Silence { request: u64, wake: u64 },
    Try(u64),
}

/// A fleet with callers and engines of several versions.
pub struct VersionedFleet {
    pub fleet: SimulatedFleet,
    pub store: SimulatedStore,
    /// New streams in a second, at most 100.
    pub streams_per_s: f64,
    /// Traces of the streams that hold events of two versions.
    pub broken: Vec<Vec<String>>,
    pub tries: Vec<Try>,
    /// Traces of streams that were refused as unknown by an instance in touch.
    pub unknown: Vec<Vec<String>>,
    pub completed: usize,
    disturbed_ms: Vec<u64>,
    engines: Vec<Engine>,
    next_number: u64,
    placer: Placer,
    random: StdRng,
    requests: BTreeMap<u64, Request>,
    slots: usize,
    streams: BTreeMap<u64, Stream>,
    timers: BTreeMap<(u64, u64), Timer>,
    /// Instances that have just gone on after they stood still, and when.
    went_on: Vec<(usize, u64)>,
}

impl VersionedFleet {
    /// Starts instances and engines of one version; nothing arrives yet.
    pub fn start(instances: usize, engines: usize, random_seed: u64) -> Self {
        let fleet = SimulatedFleet::start(instances, 3.min(instances), random_seed);
        let mut versioned = Self {
            disturbed_ms: vec![fleet.now_ms; instances],
            fleet,
            store: SimulatedStore::new(instances, routes()),
            streams_per_s: 0.0,
            broken: Vec::new(),
            tries: Vec::new(),
            unknown: Vec::new(),
            completed: 0,
            engines: Vec::new(),
            next_number: 0,
            placer: Placer::default(),
            random: StdRng::seed_from_u64(random_seed),
            requests: BTreeMap::new(),
            slots: SLOTS.div_ceil(engines),
            streams: BTreeMap::new(),
            timers: BTreeMap::new(),
            went_on: Vec::new(),
        };
        (0..engines).for_each(|_| versioned.add_engine("v1"));
        versioned
    }

    pub fn now_ms(&self) -> u64 {
        self.fleet.now_ms
    }

    /// Runs until the next point in time.
    pub fn step(&mut self) {
        self.fleet.step();
        self.store.step(&mut self.fleet);
        self.placer.step(&mut self.fleet);
        self.take_origins();
        self.take_results();
        let now_ms = self.now_ms();
        while let Some(entry) = self.timers.first_entry()
            && entry.key().0 <= now_ms
        {
            let timer = entry.remove();
            self.apply_timer(timer);
            self.take_results();
        }
        if self.random.random_bool(self.streams_per_s / 100.0) {
            let number = self.new_number();
            let left_ms = self.random.random_range(1_000..4_000);
            let stream = Stream {
                begun: 0,
                deadline_ms: now_ms + RESUMABLE_MS,
                first_id: None,
                left_ms,
                tries: 0,
                trace: Vec::new(),
                version: None,
            };
            self.streams.insert(number, stream);
            self.try_stream(number);
            self.take_results();
        }
    }

    pub fn add_engine(&mut self, software_version: &str) {
        let number = self.engines.len();
        let id: Name = format!("m-{number:04}").into();
        let record = BackendRecord {
            born_ms: Some(self.now_ms()),
            slots: self.slots,
            software_version: software_version.into(),
            ..record("model", number as u16 + 1)
        };
        self.store.put(&id, record.clone());
        self.engines.push(Engine { id, is_leaving: false, is_up: true, record });
    }

    /// Lets the oldest engine of a version accept nothing more; returns its index.
    pub fn drain_engine(&mut self, software_version: &str) -> Option<usize> {
        let serves = |engine: &Engine| {
            engine.is_serving() && *engine.record.software_version == *software_version
        };
        let index = self.engines.iter().position(serves)?;
        let engine = &mut self.engines[index];
        engine.is_leaving = true;
        engine.record = BackendRecord { leaving: true, sequence: 2, ..engine.record.clone() };
        self.store.put(&engine.id, engine.record.clone());
        Some(index)
    }

    /// Ends an engine with all its streams.
    pub fn end_engine(&mut self, engine: usize) {
        self.engines[engine].is_up = false;
        self.store.remove(&self.engines[engine].id);
        let requests = self.requests.iter().filter(|(_, request)| request.is_sent_to(engine));
        let broken: Vec<u64> = requests.map(|(number, _)| *number).collect();
        broken.into_iter().for_each(|number| self.break_send(number));
    }

    /// Returns the number of engines of a version that serve.
    pub fn serving(&self, software_version: &str) -> usize {
        let engines = self.engines.iter().filter(|engine| engine.is_serving());
        engines.filter(|engine| *engine.record.software_version == *software_version).count()
    }

    /// Records that an instance is disturbed now.
    pub fn disturb(&mut self, at: usize) {
        self.disturbed_ms[at] = self.now_ms();
    }

    /// Ends an instance; callers take up its streams at others.
    pub fn kill(&mut self, at: usize) {
        self.fleet.kill(at);
        self.placer.kill(at);
        self.disturb(at);
        let of_instance = self.requests.extract_if(.., |_, request| request.at == at);
        let ended: Vec<Request> = of_instance.map(|(_, request)| request).collect();
        for mut request in ended {
            self.keep_rest(&mut request);
            self.end_try(request, None);
        }
    }

    /// Makes an instance stand still; callers take up its streams at others.
    pub fn stand_still(&mut self, at: usize) {
        let of_instance = self.requests.iter().filter(|(_, request)| request.at == at);
        let left: Vec<u64> = of_instance.map(|(number, _)| *number).collect();
        left.into_iter().for_each(|number| self.drop_request(number));
        self.fleet.is_still[at] = true;
        self.disturb(at);
    }

    /// Returns, for most callers, an instance that has just gone on: those that waited for it come
    /// first.
    fn random_just_gone_on(&mut self, now_ms: u64) -> Option<usize> {
        self.went_on.retain(|(_, went_on_ms)| now_ms < went_on_ms + RUSH_MS);
        if self.went_on.is_empty() || self.random.random_bool(0.2) {
            return None;
        }
        let (at, _) = self.went_on[self.random.random_range(0..self.went_on.len())];
        (!self.fleet.is_still[at]).then_some(at)
    }

    /// Lets an instance go on.
    pub fn go_on(&mut self, at: usize) {
        self.fleet.is_still[at] = false;
        self.disturb(at);
        self.went_on.push((at, self.now_ms()));
    }

    pub fn restart(&mut self, at: usize) {
        self.fleet.start_instance(at);
        self.disturb(at);
    }

    fn new_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn add_timer(&mut self, after_ms: u64, timer: Timer) {
        let number = self.new_number();
        self.timers.insert((self.now_ms() + after_ms, number), timer);
    }

    fn apply_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Break { request, send } if self.is_sent(request, send) => {
                self.break_send(request);
            }
            Timer::Complete { request, send } if self.is_sent(request, send) => {
                self.complete(request);
            }
            Timer::FirstEvent { request, send } if self.is_sent(request, send) => {
                self.begin_events(request);
            }
            Timer::Drop { request, send } if self.is_sent(request, send) => {
                self.drop_request(request);
            }
            Timer::Break { .. }
            | Timer::Drop { .. }
            | Timer::Complete { .. }
            | Timer::FirstEvent { .. } => {}
            Timer::Silence { request: number, wake } => {
                let Some(request) = self.requests.get_mut(&number) else { return };
                if let Phase::Asking { pending, wake: due, .. } = &mut request.phase
                    && *due == wake
                {
                    let step = pending.on_silence();
                    self.take_origin_step(number, step);
                }
            }
            Timer::Try(stream) => self.try_stream(stream),
        }
    }

    fn is_sent(&self, number: u64, send: u32) -> bool {
        let request = self.requests.get(&number);
        request
            .is_some_and(|request| request.sends == send && matches!(request.phase, Phase::Sent(_)))
    }

    /// Sends a request of a caller to a random instance.
    fn try_stream(&mut self, number: u64) {
        let now_ms = self.now_ms();
        let any = self.random.random_bool(0.1);
        let live = self
            .fleet
            .live()
            .filter(|(at, state)| !self.fleet.is_still[*at] && (any || state.is_ready(now_ms)));
        let live: Vec<usize> = live.map(|(at, _)| at).collect();
        if live.is_empty() {
            return self.try_later(number);
        }
        let at = self.random_just_gone_on(now_ms);
        let at = at.unwrap_or_else(|| live[self.random.random_range(0..live.len())]);
        let request_number = self.new_number();
        let request_id: Name = format!("r-{request_number}").into();
        let Some(stream) = self.streams.get_mut(&number) else { return };
        stream.tries += 1;
        let first_request_id = stream.first_id.clone();
        let is_resumption = first_request_id.is_some();
        let want = (number, stream.begun);
        let (deadline_ms, version) = (stream.deadline_ms, stream.version.clone());
        let is_served = version.is_none_or(|version| self.serving(&version) >= SERVING);
        let is_counted = is_served && now_ms >= self.disturbed_ms[at] + IN_TOUCH_MS;
        let try_index = self.tries.len();
        self.tries.push(Try {
            began_ms: now_ms,
            ended_ms: now_ms,
            has_events: false,
            is_counted,
            is_resumption,
            refused: None,
            want,
        });
        let metadata = RequestMetadata {
            resumption: is_resumption
                .then_some(Resumption { first_request_id, ..Resumption::default() }),
            time_left_ms: Some(deadline_ms.saturating_sub(now_ms)),
            ..draft(&request_id, 100, 200)
        };
        let arrival = Arrival {
            arrived_ms: now_ms,
            metadata: &metadata,
            fingerprint: number,
            host: HOST,
            path: "/draft/a",
        };
        let request = Request {
            at,
            phase: Phase::Placing,
            sends: 0,
            stream: number,
            tried: Vec::new(),
            try_index,
            unreachable: 0,
        };
        match self.fleet.state(at).admit(now_ms, &arrival, 0) {
            Admission::Refuse(refusal) => self.end_try(request, Some(refusal.reason)),
            Admission::Forward(plan) => {
                self.requests.insert(request_number, request);
                self.find_origin(request_number, plan);
            }
        }
    }

    fn find_origin(&mut self, number: u64, mut plan: RequestPlan) {
        if plan.resumption.is_none() {
            return self.find_place(number, plan);
        }
        let now_ms = self.now_ms();
        let at = self.requests[&number].at;
        match self.fleet.state(at).look_up_origin(now_ms, &plan) {
            OriginLookup::Known(origin, source) => {
                self.note(number, format!("known as {origin:?} by {source:?}"));
                self.resume_at(number, &mut plan, origin);
            }
            OriginLookup::Ask(ask, mut pending) => {
                let step = pending.on_silence();
                let phase = Phase::Asking { ask, pending, plan: Box::new(plan), wake: 0 };
                self.requests.get_mut(&number).expect("in progress").phase = phase;
                self.take_origin_step(number, step);
            }
        }
    }

    fn resume_at(&mut self, number: u64, plan: &mut RequestPlan, origin: StreamOrigin) {
        let at = self.requests[&number].at;
        if let Err(refusal) = self.fleet.state(at).resume_at(plan, origin) {
            return self.end_request(number, Some(refusal.reason));
        }
        self.find_place(number, plan.clone());
    }

    fn take_origin_step(&mut self, number: u64, step: OriginStep) {
        let wake = self.new_number();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Phase::Asking { ask, plan, wake: due, .. } = &mut request.phase else { return };
        *due = wake;
        let at = request.at;
        match step {
            OriginStep::Ask(to) => {
                let body = Body::OriginAsk(ask.clone());
                self.fleet.send(at, &to, body);
            }
            OriginStep::Found(origin, source) => {
                let mut plan = plan.clone();
                self.note(number, format!("told {origin:?} by {source:?}"));
                return self.resume_at(number, &mut plan, origin);
            }
            OriginStep::Unknown => {
                return self.end_request(number, Some(RefusalReason::UnknownStream));
            }
            OriginStep::Wait => {}
        }
        self.add_timer(PATIENCE_MS, Timer::Silence { request: number, wake });
    }

    fn take_origins(&mut self) {
        for (at, from, answer) in std::mem::take(&mut self.fleet.origins) {
            let asks = |request: &Request| {
                request.at == at
                    && matches!(&request.phase, Phase::Asking { ask, .. } if ask.number == answer.number)
            };
            let Some((number, request)) = self.requests.iter_mut().find(|(_, known)| asks(known))
            else {
                continue;
            };
            let (number, Phase::Asking { pending, .. }) = (*number, &mut request.phase) else {
                continue;
            };
            let step = {
                let source =
                    if answer.is_only { OriginSource::OnlyVersion } else { OriginSource::Home };
                let origin = answer.origin.map(|origin| (origin.into(), source));
                pending.on_answer(from, origin)
            };
            self.take_origin_step(number, step);
        }
    }

    fn find_place(&mut self, number: u64, plan: RequestPlan) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = Phase::Placing;
        let search = PlaceSearch::new(request.at, plan, request.tried.clone());
        self.placer.start(&mut self.fleet, number, search);
    }

    fn take_results(&mut self) {
        while let Some(PlaceResult { number, search, found }) = self.placer.results.pop() {
            match found {
                Ok(started_send) => self.begin_send(number, search.plan, started_send),
                Err(reason) => self.end_request(number, Some(reason)),
            }
        }
    }
}

fn routes() -> RoutingDocument {
    let resumable = Route {
        attempts: ATTEMPTS,
        resumable: true,
        timeout_ms: RESUMABLE_MS,
        ..route("draft", RouteKind::Stream, "model")
    };
    RoutingDocument { routes: vec![resumable], ..document(1) }
}
