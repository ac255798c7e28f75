//! Finds places for the requests of a simulated fleet, as the tasks of an instance do.

#![allow(dead_code, reason = "each test takes what it needs")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bergamotspan::gateway::admission::{RefusalReason, RequestPlan};
use bergamotspan::gateway::dispatching::{DispatchDecision, SendEnd, StartedSend, WaitResult};
use bergamotspan::gateway::fleet::message::{Body, PlaceVerdict};
use bergamotspan::gateway::fleet::part_evidence::PartRefusal;
use bergamotspan::gateway::fleet::pending_ask::{AskStep, PendingAsk};
use bergamotspan::gateway::fleet::placing::Placement;
use bergamotspan::gateway::state::GatewayState;
use bergamotspan::name::Name;

use crate::simulated_fleet::SimulatedFleet;

/// Number of coordinators that are asked before an instance decides alone.
const MAX_COORDINATORS: usize = 2;

/// A request that needs a place.
pub struct PlaceSearch {
    pub at: usize,
    pub plan: RequestPlan,
    pub tried: Vec<Name>,
    asked: usize,
    /// Coordinators that may have granted a place.
    asked_to: Vec<SocketAddr>,
    phase: Phase,
}

enum Phase {
    Asking { ask: Box<PendingAsk>, wake: u64 },
    Awaiting { until_ms: u64 },
    Deciding,
    Queued(u64),
}

/// A search that ended, with the number of its request.
pub struct PlaceResult {
    pub number: u64,
    pub search: PlaceSearch,
    pub found: Result<StartedSend, RefusalReason>,
}

/// The searches of all instances.
#[derive(Default)]
pub struct Placer {
    /// Searches that ended and were not taken.
    pub results: Vec<PlaceResult>,
    next_wake: u64,
    searches: BTreeMap<u64, PlaceSearch>,
    /// When answers are awaited no longer, with the number of the request.
    silences: BTreeMap<(u64, u64), u64>,
}

impl PlaceSearch {
    pub fn new(at: usize, plan: RequestPlan, tried: Vec<Name>) -> Self {
        Self { at, plan, tried, asked: 0, asked_to: Vec::new(), phase: Phase::Deciding }
    }

    fn asks_for(&self, place: u64) -> bool {
        matches!(&self.phase, Phase::Asking { ask, .. } if ask.ask.number == place)
    }
}

impl Placer {
    /// Returns the number of searches in progress.
    pub fn len(&self) -> usize {
        self.searches.len()
    }

    /// Starts a search.
    pub fn start(&mut self, fleet: &mut SimulatedFleet, number: u64, search: PlaceSearch) {
        self.searches.insert(number, search);
        self.find_place(fleet, number);
    }

    /// Ends the searches of an instance that was killed.
    pub fn kill(&mut self, at: usize) {
        self.searches.retain(|_, search| search.at != at);
        self.results.retain(|result| result.search.at != at);
    }

    /// Takes the answers and outcomes that have arrived, and notes which did not.
    pub fn step(&mut self, fleet: &mut SimulatedFleet) {
        self.take_answers(fleet);
        self.take_outcomes(fleet);
        let is_due = |search: &PlaceSearch| matches!(search.phase, Phase::Awaiting { until_ms } if until_ms <= fleet.now_ms);
        let due = self.searches.iter().filter(|(_, search)| is_due(search));
        for number in due.map(|(number, _)| *number).collect::<Vec<_>>() {
            self.find_place(fleet, number);
        }
        while let Some(entry) = self.silences.first_entry()
            && entry.key().0 <= fleet.now_ms
        {
            let wake = entry.key().1;
            let number = entry.remove();
            self.note_silence(fleet, number, wake);
        }
    }

    fn search<'a>(
        &'a mut self,
        fleet: &'a mut SimulatedFleet,
        number: u64,
    ) -> (&'a mut PlaceSearch, &'a mut GatewayState) {
        let search = self.searches.get_mut(&number).expect("in progress");
        let state = fleet.states[search.at].as_mut().expect("its instance runs");
        (search, state)
    }

    fn end(&mut self, number: u64, found: Result<StartedSend, RefusalReason>) {
        if let Some(search) = self.searches.remove(&number) {
            self.results.push(PlaceResult { number, search, found });
        }
    }

    fn find_place(&mut self, fleet: &mut SimulatedFleet, number: u64) {
        let now_ms = fleet.now_ms;
        let (search, state) = self.search(fleet, number);
        search.phase = Phase::Deciding;
        let placement = if search.asked < MAX_COORDINATORS {
            state.find_place(now_ms, &mut search.plan, &search.tried)
        } else {
            let decided = state.decide_alone(now_ms, &mut search.plan, &search.tried);
            decided.map(Placement::Decided)
        };
        match placement {
            Err(refusal) => self.end(number, Err(refusal.reason)),
            Ok(Placement::Decided(decision)) => self.apply_decision(number, decision),
            Ok(Placement::Await(wait_ms)) => {
                self.search(fleet, number).0.phase = Phase::Awaiting { until_ms: now_ms + wait_ms };
            }
            Ok(Placement::Ask(ask)) => self.take_ask_step(fleet, number, ask, AskStep::Send),
        }
    }

    fn apply_decision(&mut self, number: u64, decision: DispatchDecision) {
        match decision {
            DispatchDecision::Send(started_send) => self.end(number, Ok(started_send)),
            DispatchDecision::Reject(_) => self.end(number, Err(RefusalReason::NotInTime)),
            DispatchDecision::Suspect(refusal) => self.end(number, Err(reason(refusal))),
            DispatchDecision::Wait(waiting) => {
                let search = self.searches.get_mut(&number).expect("in progress");
                search.phase = Phase::Queued(waiting);
            }
        }
    }

    fn take_ask_step(
        &mut self,
        fleet: &mut SimulatedFleet,
        number: u64,
        ask: Box<PendingAsk>,
        step: AskStep,
    ) {
        let now_ms = fleet.now_ms;
        let mut ask = ask;
        let (search, state) = self.search(fleet, number);
        match step {
            AskStep::Send => {
                let due_ms = search.plan.wanted_ms + search.plan.route.goal_ms;
                ask.ask.due_left_ms = due_ms.saturating_sub(now_ms);
                ask.ask.deadline_left_ms = search.plan.deadline_ms.saturating_sub(now_ms);
                if !search.asked_to.contains(&ask.to) {
                    search.asked_to.push(ask.to);
                }
                let at = search.at;
                let body = Body::Ask(Box::new(ask.ask.clone()));
                fleet.send_with_note(at, &[ask.to], body, ask.note());
                self.await_answer(fleet, number, ask);
            }
            AskStep::Wait => self.await_answer(fleet, number, ask),
            AskStep::Granted(place) if !state.may_accept(&mut search.plan, &place) => {
                search.asked = MAX_COORDINATORS;
                self.abandon_places(fleet, number, ask.ask.number);
                self.find_place(fleet, number);
            }
            AskStep::Granted(place) => {
                search.asked_to.retain(|to| *to != ask.to);
                let started_send = state.accept_place(now_ms, &mut search.plan, &ask, place);
                self.abandon_places(fleet, number, ask.ask.number);
                self.end(number, Ok(started_send));
            }
            AskStep::OverLimit(_) => self.end(number, Err(RefusalReason::UsageLimit)),
            AskStep::Refused(_) => self.end(number, Err(RefusalReason::NotInTime)),
            AskStep::Suspect(refusal) => self.end(number, Err(reason(refusal))),
            AskStep::Another => {
                state.suspect_coordinator(now_ms, ask.to);
                search.asked += 1;
                self.abandon_places(fleet, number, ask.ask.number);
                self.find_place(fleet, number);
            }
            AskStep::Alone => {
                search.asked = MAX_COORDINATORS;
                self.abandon_places(fleet, number, ask.ask.number);
                self.find_place(fleet, number);
            }
        }
    }

    fn await_answer(&mut self, fleet: &mut SimulatedFleet, number: u64, ask: Box<PendingAsk>) {
        self.next_wake += 1;
        let wake = self.next_wake;
        self.silences.insert((fleet.now_ms + ask.patience_ms(), wake), number);
        self.search(fleet, number).0.phase = Phase::Asking { ask, wake };
    }

    fn abandon_places(&mut self, fleet: &mut SimulatedFleet, number: u64, place: u64) {
        let (search, state) = self.search(fleet, number);
        let at = search.at;
        for to in std::mem::take(&mut search.asked_to) {
            state.abandon_place(to, place);
        }
        fleet.send_outbox(at);
    }

    /// Removes the request for a place from its phase.
    fn take_ask(&mut self, number: u64) -> Option<Box<PendingAsk>> {
        let search = self.searches.get_mut(&number)?;
        match std::mem::replace(&mut search.phase, Phase::Deciding) {
            Phase::Asking { ask, .. } => Some(ask),
            other => {
                search.phase = other;
                None
            }
        }
    }

    fn note_silence(&mut self, fleet: &mut SimulatedFleet, number: u64, wake: u64) {
        let search = self.searches.get(&number);
        let is_due = search.is_some_and(
            |search| matches!(search.phase, Phase::Asking { wake: due, .. } if due == wake),
        );
        if is_due && let Some(mut ask) = self.take_ask(number) {
            let step = ask.on_silence();
            self.take_ask_step(fleet, number, ask, step);
        }
    }

    fn take_answers(&mut self, fleet: &mut SimulatedFleet) {
        for (at, from, answer) in std::mem::take(&mut fleet.answers) {
            let asks = |search: &PlaceSearch| search.at == at && search.asks_for(answer.number);
            let asker = self.searches.iter().find(|(_, search)| asks(search));
            let asker = asker.map(|(number, _)| *number);
            match asker.and_then(|number| Some((number, self.take_ask(number)?))) {
                Some((number, mut ask)) => {
                    let step = ask.on_answer(answer.verdict);
                    self.take_ask_step(fleet, number, ask, step);
                }
                None if matches!(answer.verdict, PlaceVerdict::Granted(_)) => {
                    if let Some(state) = &mut fleet.states[at] {
                        state.abandon_place(from, answer.number);
                    }
                    fleet.send_outbox(at);
                }
                None => {}
            }
        }
    }

    fn take_outcomes(&mut self, fleet: &mut SimulatedFleet) {
        let now_ms = fleet.now_ms;
        for (at, outcome) in std::mem::take(&mut fleet.outcomes) {
            let waits = |search: &PlaceSearch| {
                search.at == at
                    && matches!(search.phase, Phase::Queued(waiting) if waiting == outcome.number)
            };
            let waiter = self.searches.iter().find(|(_, search)| waits(search));
            match (waiter.map(|(number, _)| *number), outcome.result) {
                (Some(number), WaitResult::Sent(send)) => self.end(number, Ok(send)),
                (Some(number), WaitResult::Expired) => {
                    self.end(number, Err(RefusalReason::NotInTime));
                }
                (Some(number), WaitResult::Moved) => {
                    let search = self.searches.get_mut(&number).expect("in progress");
                    search.asked += 1;
                    self.find_place(fleet, number);
                }
                (Some(number), WaitResult::Suspect(refusal)) => {
                    self.end(number, Err(reason(refusal)));
                }
                (None, WaitResult::Sent(send)) => {
                    if let Some(state) = &mut fleet.states[at] {
                        state.end_send(now_ms, &send, &SendEnd::unused());
                    }
                }
                (None, _) => {}
            }
        }
    }
}

fn reason(refusal: PartRefusal) -> RefusalReason {
    if refusal.is_quarantined { RefusalReason::Quarantined } else { RefusalReason::Suspected }
}
