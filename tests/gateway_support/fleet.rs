//! A fleet of gateway states on a simulated network, without sockets and clocks.

#![allow(dead_code, reason = "each test takes what it needs")]

use std::net::SocketAddr;

use bergamotspan::gateway::dispatching::WaitOutcome;
use bergamotspan::gateway::fleet::additions::{Additions, PlaceNote};
use bergamotspan::gateway::fleet::message::{Body, Envelope, Message, PlaceAnswer};
use bergamotspan::gateway::fleet::origin_message::OriginAnswer;
use bergamotspan::gateway::gateway_settings::{Bounds, GatewaySettings};
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::gateway::store_item::{StoreChanges, StoreItem};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway_support::{START_MS, position, settings};

/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 10;
/// Ticks of an instance, in milliseconds.
const TICK_MS: u64 = 100;

/// A datagram on its way.
#[derive(Clone)]
struct Flight {
    arrives_ms: u64,
    envelope: Envelope,
    from: usize,
    message: Message,
    to: usize,
}

/// Simulated fleet.
pub struct SimulatedFleet {
    pub now_ms: u64,
    /// Bytes that instances sent.
    pub sent_bytes: u64,
    /// Largest datagram, in bytes.
    pub largest_bytes: usize,
    pub states: Vec<Option<GatewayState>>,
    /// Side of each instance; datagrams do not cross between sides.
    pub sides: Vec<u8>,
    /// Whether an instance stands still: it reads, decides and sends nothing until it goes on.
    pub is_still: Vec<bool>,
    /// Pairs of a sender and a receiver whose datagrams are lost.
    pub unheard: Vec<(usize, usize)>,
    /// Whether an instance is of a build that neither adds to its datagrams nor reads additions.
    pub is_earlier: Vec<bool>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Answers to requests for places, with the instances that asked and that answered.
    pub answers: Vec<(usize, SocketAddr, PlaceAnswer)>,
    /// Answers to questions for origins, with the instances that asked and that answered.
    pub origins: Vec<(usize, SocketAddr, OriginAnswer)>,
    /// Instances that lack something of the store, with one that has it.
    pub fetches: Vec<(usize, usize)>,
    /// Outcomes of requests that waited, with their instances.
    pub outcomes: Vec<(usize, WaitOutcome)>,
    /// Cell reports that arrived: receiver, sender, and whether the sender is ready and does not stop.
    pub cell_reports: Vec<(usize, usize, bool)>,
    /// Whether instances tick soon after a datagram that asks for it, as those with sockets do.
    pub ticks_soon: bool,
    /// Bounds of instances that start from now on.
    pub bounds: Bounds,
    counts_bytes: bool,
    flights: Vec<Flight>,
    incarnation: u64,
    random: StdRng,
    seeds: usize,
}

impl SimulatedFleet {
    /// Starts instances that know the first `seeds` of them.
    pub fn start(instances: usize, seeds: usize, random_seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: START_MS,
            sent_bytes: 0,
            largest_bytes: 0,
            states: (0..instances).map(|_| None).collect(),
            sides: vec![0; instances],
            is_still: vec![false; instances],
            unheard: Vec::new(),
            is_earlier: vec![false; instances],
            loss: 0.0,
            answers: Vec::new(),
            origins: Vec::new(),
            fetches: Vec::new(),
            outcomes: Vec::new(),
            cell_reports: Vec::new(),
            ticks_soon: false,
            bounds: Bounds::default(),
            counts_bytes: false,
            flights: Vec::new(),
            incarnation: 0,
            random: StdRng::seed_from_u64(random_seed),
            seeds,
        };
        (0..instances).for_each(|index| fleet.start_instance(index));
        fleet
    }

    /// Counts the bytes that are sent from now on.
    pub fn count_bytes(&mut self) {
        self.counts_bytes = true;
        self.sent_bytes = 0;
    }

    pub fn start_instance(&mut self, index: usize) {
        self.incarnation += 1;
        let seeds = (0..self.seeds).map(address).collect();
        let settings = GatewaySettings {
            bounds: self.bounds.clone(),
            capacity: 120 + (index as u32 % 3) * 130,
            instance: name(index).into(),
            peer_address: address(index),
            seeds,
            ..settings()
        };
        let state = GatewayState::new(settings, self.now_ms, self.incarnation);
        self.states[index] = Some(state);
    }

    pub fn kill(&mut self, index: usize) {
        self.states[index] = None;
    }

    /// Applies items of the store at one instance, as if it had read them.
    pub fn publish(&mut self, index: usize, revision: u64, items: Vec<StoreItem>) {
        let now_ms = self.now_ms;
        let changes = StoreChanges { items, position: position(revision) };
        if let Some(state) = &mut self.states[index] {
            if state.store_position().is_none() {
                state.apply_store_listing(now_ms, now_ms, changes);
            } else {
                state.apply_store_changes(now_ms, now_ms, changes);
            }
        }
    }

    pub fn publish_to_all(&mut self, revision: u64, items: &[StoreItem]) {
        (0..self.states.len()).for_each(|index| self.publish(index, revision, items.to_vec()));
    }

    pub fn live(&self) -> impl Iterator<Item = (usize, &GatewayState)> {
        self.states.iter().enumerate().filter_map(|(index, state)| Some((index, state.as_ref()?)))
    }

    pub fn state(&mut self, index: usize) -> &mut GatewayState {
        self.states[index].as_mut().expect("the instance runs")
    }

    /// Runs until `duration_ms` have passed.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Runs until a condition holds, for at most `limit_ms`; returns how long that took.
    pub fn run_until<F>(&mut self, limit_ms: u64, condition: F) -> Option<u64>
    where
        F: Fn(&Self) -> bool,
    {
        let begun_ms = self.now_ms;
        while self.now_ms <= begun_ms + limit_ms {
            if condition(self) {
                return Some(self.now_ms - begun_ms);
            }
            self.step();
        }
        None
    }

    /// Runs until the next point in time.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let is_due = |flight: &Flight| flight.arrives_ms <= now_ms && !self.is_still[flight.to];
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flights).into_iter().partition(is_due);
        self.flights = later;
        let mut ticks_soon = vec![false; self.states.len()];
        for flight in due {
            if let Some(state) = &mut self.states[flight.to] {
                if let Body::Cell(report) = &flight.message.body {
                    let is_ready = report.is_ready && !flight.message.sender.stopping;
                    self.cell_reports.push((flight.to, flight.from, is_ready));
                }
                let from = address(flight.from);
                let received =
                    state.receive_message(now_ms, from, &flight.envelope, flight.message);
                self.answers.extend(received.answer.map(|answer| (flight.to, from, answer)));
                self.origins.extend(received.origin.map(|answer| (flight.to, from, answer)));
                ticks_soon[flight.to] |= received.is_new || received.is_urgent;
                if received.fetches_update {
                    self.fetches.push((flight.to, flight.from));
                }
            }
        }
        for (index, ticks_soon) in ticks_soon.into_iter().enumerate() {
            if self.is_still[index] {
                continue;
            }
            // Ticks of instances are spread.
            let ticks = (now_ms + index as u64 * STEP_MS).is_multiple_of(TICK_MS);
            if let Some(state) = &mut self.states[index] {
                if ticks || self.ticks_soon && ticks_soon {
                    state.tick(now_ms);
                }
                let outcomes = state.dispatch_waiting(now_ms);
                self.outcomes.extend(outcomes.into_iter().map(|outcome| (index, outcome)));
            }
            self.send_outbox(index);
        }
    }

    /// Puts the datagrams of an instance on their way.
    pub fn send_outbox(&mut self, from: usize) {
        let Some(state) = &mut self.states[from] else { return };
        let outbox = state.fleet_mut().take_outbox();
        let parts = state.take_usage_parts(self.now_ms);
        for outgoing in outbox {
            self.send_with_note(from, &outgoing.to, outgoing.body, outgoing.note);
        }
        for (to, part) in parts {
            self.send_message(from, &[to], &part);
        }
    }

    /// Puts a datagram of an instance on its way to several others.
    pub fn send(&mut self, from: usize, to: &[SocketAddr], body: Body) {
        self.send_with_note(from, to, body, PlaceNote::default());
    }

    /// Puts a datagram on its way with what is told about one place.
    pub fn send_with_note(&mut self, from: usize, to: &[SocketAddr], body: Body, note: PlaceNote) {
        let now_ms = self.now_ms;
        let Some(state) = &self.states[from] else { return };
        let message = state.message_with_note(now_ms, body, note);
        self.send_message(from, to, &message);
    }

    fn send_message(&mut self, from: usize, to: &[SocketAddr], message: &Message) {
        let now_ms = self.now_ms;
        let Some(state) = &self.states[from] else { return };
        if self.counts_bytes {
            let bytes = bergamotspan::gateway::fleet::message::encode_message(message)
                .expect("encodable")
                .len();
            self.sent_bytes += (bytes * to.len()) as u64;
            self.largest_bytes = self.largest_bytes.max(bytes);
        }
        for to_address in to.iter().copied() {
            let Some(to) = index_of(to_address) else { continue };
            let crosses = self.sides[from] != self.sides[to] || self.unheard.contains(&(from, to));
            if crosses || self.random.random_bool(self.loss) {
                continue;
            }
            let mut message = message.clone();
            if self.is_earlier[from] || self.is_earlier[to] {
                message.additions = Additions::default();
            }
            self.flights.push(Flight {
                arrives_ms: now_ms + self.random.random_range(1..4),
                envelope: state.fleet().roster().envelope(now_ms, to_address),
                from,
                message,
                to,
            });
        }
    }
}

pub fn name(index: usize) -> String {
    format!("front-{index:04}")
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 7_600))
}

fn index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low))
}

/// Returns whether a body is one of the reports that instances send regularly.
pub fn is_report(body: &Body) -> bool {
    matches!(body, Body::Cell(_) | Body::Member(_) | Body::Summary(_))
}
