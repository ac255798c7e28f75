//! A service with too few engines for what its customers send: arrivals, engines and callers that
//! leave, played against the decisions of one instance.

#![allow(dead_code, reason = "each test takes what it needs")]

use std::collections::BTreeMap;

use bergamotspan::gateway::admission::{Admission, Arrival, RequestPlan};
use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::dispatching::{DispatchDecision, SendEnd, StartedSend, WaitResult};
use bergamotspan::gateway::request_metadata::RequestMetadata;
use bergamotspan::gateway::routing_document::{Customer, Route, RouteKind, RoutingDocument};
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::StoreItem;
use bergamotspan::name::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{
    HOST, START_MS, apply_store_changes, backend, customer, document, metadata, prompt, record,
    route, settings,
};

/// Slots of each engine.
pub const SLOTS: usize = 6;
/// Time of an engine for one prompt token, in milliseconds.
const READ_MS: f64 = 0.02;
/// Time of an engine for one token of an answer, in milliseconds.
const WRITE_MS: f64 = 6.0;
/// Time to the first event that does not depend on the prompt, in milliseconds.
const BASE_MS: f64 = 12.0;

/// One customer's requests on one route.
#[derive(Clone, Copy, Debug)]
pub struct Flow {
    pub customer: usize,
    pub route: usize,
    pub per_s: f64,
    pub from_ms: u64,
    pub until_ms: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    /// Factor by which sizes go up and down, evenly on a log scale.
    pub spread: f64,
}

/// A route of the play.
#[derive(Clone, Copy, Debug)]
pub struct PlayedRoute {
    pub goal_ms: u64,
    pub priority: u32,
}

/// What became of the requests of one flow.
#[derive(Clone, Debug, Default)]
pub struct FlowResult {
    pub sent: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused_at_once: usize,
    pub refused_later: usize,
    /// Time for which the refused ones were held, in milliseconds.
    pub held_ms: u64,
    pub waited_ms: u64,
    /// Tokens read and written of each request, and whether it was in time.
    pub sizes: Vec<(u64, bool)>,
}

impl FlowResult {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    /// Returns the share in time of the largest tenth, and that of all by their sizes.
    pub fn sized_shares(&self) -> (f64, f64) {
        let mut sizes = self.sizes.clone();
        sizes.sort_unstable();
        let largest = &sizes[sizes.len() * 9 / 10..];
        let in_time = largest.iter().filter(|(_, is_in_time)| *is_in_time).count();
        let all: u64 = sizes.iter().map(|(size, _)| size).sum();
        let done: u64 =
            sizes.iter().filter(|(_, is_in_time)| *is_in_time).map(|(size, _)| size).sum();
        (in_time as f64 / largest.len().max(1) as f64, done as f64 / all.max(1) as f64)
    }
}

struct Request {
    arrived_ms: u64,
    flow: usize,
    plan: RequestPlan,
}

enum Event {
    End { send: StartedSend, slot_ms: u64 },
    First { number: u64, send: StartedSend, elapsed_ms: u64 },
}

/// A play.
pub struct ContendedService {
    pub results: Vec<FlowResult>,
    /// Milliseconds of slots in use.
    pub used_slot_ms: u64,
    pub now_ms: u64,
    pub state: GatewayState,
    events: BTreeMap<(u64, u64), Event>,
    flows: Vec<Flow>,
    free_engines: usize,
    next_number: u64,
    random: StdRng,
    requests: BTreeMap<u64, Request>,
    routes: Vec<PlayedRoute>,
    waiting: BTreeMap<u64, u64>,
}

fn key(customer: usize) -> Name {
    format!("key-{customer}").into()
}

impl ContendedService {
    pub fn new(engines: usize, routes: Vec<PlayedRoute>, flows: Vec<Flow>, seed: u64) -> Self {
        let mut state = GatewayState::new(settings(), START_MS - 1_000, 1);
        state.tick(START_MS - 1_000);
        state.tick(START_MS);
        let customers = flows.iter().map(|flow| flow.customer).max().unwrap_or_default() + 1;
        let published = RoutingDocument {
            customers: (0..customers).map(published_customer).collect(),
            routes: routes.iter().enumerate().map(published_route).collect(),
            ..document(1)
        };
        let mut items = vec![StoreItem::Document(Ok(Box::new(published)))];
        for engine in 0..engines {
            let mut server = record("model", engine as u16 + 1);
            server.slots = SLOTS;
            items.push(backend(&format!("m-{engine:04}"), server));
        }
        apply_store_changes(&mut state, START_MS, items);
        Self {
            results: vec![FlowResult::default(); flows.len()],
            used_slot_ms: 0,
            now_ms: START_MS,
            state,
            events: BTreeMap::new(),
            flows,
            free_engines: engines,
            next_number: 0,
            random: StdRng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            routes,
            waiting: BTreeMap::new(),
        }
    }

    /// Plays for a time, in milliseconds.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now_ms
            {
                let event = entry.remove();
                self.apply(event);
            }
            self.arrive();
            if self.now_ms.is_multiple_of(100) {
                self.state.record_proof(self.now_ms);
                self.state.tick(self.now_ms);
            }
            self.take_outcomes();
        }
    }

    fn arrive(&mut self) {
        let elapsed_ms = self.now_ms - START_MS;
        for index in 0..self.flows.len() {
            let flow = self.flows[index];
            if !(flow.from_ms..flow.until_ms).contains(&elapsed_ms)
                || !self.random.random_bool((flow.per_s / 1_000.0).min(1.0))
            {
                continue;
            }
            self.receive(index, flow);
        }
    }

    fn receive(&mut self, index: usize, flow: Flow) {
        self.next_number += 1;
        let number = self.next_number;
        let spread = self.random.random_range(0.3..1.7);
        let size = match flow.spread > 1.0 {
            true => flow.spread.powf(self.random.random_range(-1.0..1.0)),
            false => 1.0,
        };
        let tokens = (flow.output_tokens as f64 * spread * size) as u64;
        let prompt_tokens = (flow.prompt_tokens as f64 * size) as u64;
        let mut shape = prompt(prompt_tokens, tokens.max(1));
        shape.parts[0].id = number;
        let metadata = RequestMetadata {
            key: Some(key(flow.customer)),
            prompt: Some(shape),
            ..metadata(&format!("r-{number}"))
        };
        let arrival = Arrival {
            arrived_ms: self.now_ms,
            metadata: &metadata,
            fingerprint: number,
            host: HOST,
            path: &format!("/draft-{}/a", flow.route),
        };
        let Admission::Forward(plan) = self.state.admit(self.now_ms, &arrival, 0) else {
            panic!("not admitted");
        };
        self.results[index].sent += 1;
        let decision = self.state.dispatch(self.now_ms, &plan, &[]);
        let request = Request { arrived_ms: self.now_ms, flow: index, plan };
        self.requests.insert(number, request);
        match decision {
            DispatchDecision::Send(send) => self.begin(number, send),
            DispatchDecision::Wait(waiting) => drop(self.waiting.insert(waiting, number)),
            DispatchDecision::Reject(_) => self.refuse(number),
            DispatchDecision::Suspect(_) => panic!("no part is bad"),
        }
    }

    fn refuse(&mut self, number: u64) {
        let request = self.requests.remove(&number).expect("in progress");
        let held_ms = self.now_ms - request.arrived_ms;
        let result = &mut self.results[request.flow];
        result.sizes.push((size(&request), false));
        result.held_ms += held_ms;
        match held_ms {
            0 => result.refused_at_once += 1,
            _ => result.refused_later += 1,
        }
    }

    fn begin(&mut self, number: u64, send: StartedSend) {
        let request = self.requests.get(&number).expect("in progress");
        let shape = request.plan.prompt.as_ref().expect("a prompt");
        let first_ms = (BASE_MS + READ_MS * send.tokens_ahead as f64) as u64;
        let slot_ms = first_ms + (WRITE_MS * shape.expected_output_tokens() as f64) as u64;
        self.results[request.flow].waited_ms += self.now_ms - request.arrived_ms;
        self.used_slot_ms += slot_ms;
        let first = Event::First { number, send: send.clone(), elapsed_ms: first_ms };
        self.events.insert((self.now_ms + first_ms, 2 * number), first);
        let end = Event::End { send, slot_ms };
        self.events.insert((self.now_ms + slot_ms, 2 * number + 1), end);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::First { number, send, elapsed_ms } => {
                self.state.record_first_event(self.now_ms, &send, elapsed_ms);
                let request = self.requests.remove(&number).expect("in progress");
                let goal_ms = self.routes[self.flows[request.flow].route].goal_ms;
                let result = &mut self.results[request.flow];
                let is_in_time = self.now_ms <= request.arrived_ms + goal_ms;
                result.sizes.push((size(&request), is_in_time));
                match is_in_time {
                    true => result.in_time += 1,
                    false => result.late += 1,
                }
            }
            Event::End { send, slot_ms } => {
                let mut end = SendEnd::new(SendOutcome::Answered);
                end.prompt_was_read = true;
                end.place.slot_ms = Some(slot_ms);
                end.place.token_ms = Some(WRITE_MS as f32);
                self.state.end_send(self.now_ms, &send, &end);
            }
        }
    }

    fn take_outcomes(&mut self) {
        for outcome in self.state.dispatch_waiting(self.now_ms) {
            let number = self.waiting.remove(&outcome.number).expect("it waits");
            match outcome.result {
                WaitResult::Sent(send) => self.begin(number, send),
                WaitResult::Expired => self.refuse(number),
                WaitResult::Suspect(_) => panic!("no part is bad"),
                WaitResult::Moved => panic!("one instance decides alone"),
            }
        }
    }

    /// Returns the sum over the flows of some customers.
    pub fn sum<F>(&self, is_counted: F) -> FlowResult
    where
        F: Fn(&Flow) -> bool,
    {
        let mut sum = FlowResult::default();
        for (_, result) in self.flows.iter().zip(&self.results).filter(|(flow, _)| is_counted(flow))
        {
            sum.sent += result.sent;
            sum.in_time += result.in_time;
            sum.late += result.late;
            sum.refused_at_once += result.refused_at_once;
            sum.refused_later += result.refused_later;
            sum.held_ms += result.held_ms;
            sum.waited_ms += result.waited_ms;
            sum.sizes.extend(&result.sizes);
        }
        sum
    }
}

fn size(request: &Request) -> u64 {
    let shape = request.plan.prompt.as_ref().expect("a prompt");
    shape.prompt_tokens + 10 * shape.expected_output_tokens()
}

fn published_customer(index: usize) -> Customer {
    Customer { keys: vec![key(index)], name: format!("c-{index:02}").into(), ..customer(0) }
}

fn published_route((index, played): (usize, &PlayedRoute)) -> Route {
    Route {
        goal_ms: played.goal_ms,
        priority: played.priority,
        ..route(&format!("draft-{index}"), RouteKind::Stream, "model")
    }
}
