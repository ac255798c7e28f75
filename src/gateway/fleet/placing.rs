//! Decides where requests are sent: at the coordinator of a cell for all its members, or at an
//! instance alone while no coordinator answers.
//!
//! One queue sees every request that waits for the engines of a cell, so ranks hold over all
//! members, and a slot that becomes free is given away at once. A cell that is full names another
//! one that announced free places, so a burst in one cell uses the engines of the others. What a
//! coordinator grants to other instances is in `granting`.

use std::net::SocketAddr;

use crate::gateway::admission::{PlanCharge, Refusal, RequestPlan};
use crate::gateway::backend::SendOutcome;
use crate::gateway::dispatching::{DispatchDecision, PlaceQuery, SendEnd, StartedSend};
use crate::gateway::engine_query::{EngineQuery, VersionNeed};
use crate::gateway::fleet::additions::ToldAsker;
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::failed_paths::SendPath;
use crate::gateway::fleet::membership::{Fleet, OwnPlace};
use crate::gateway::fleet::message::{
    AskedUsage, Body, EndedPlace, GrantedPlace, PlaceAsk, PlaceProgress, PlaceStep,
};
use crate::gateway::fleet::pending_ask::PendingAsk;
use crate::gateway::fleet::roster::LIVE_MS;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::routing_document::RouteKind;
use crate::gateway::sharing::sharer::Sharer;
use crate::gateway::state::{GatewayState, RETRY_SOON_MS};
use crate::gateway::usage_limits::Usage;
use crate::name::Name;

/// Free places that a cell must have announced to be named to others.
const MIN_FREE_ELSEWHERE: u32 = 2;

/// Time between two looks for a coordinator, in milliseconds.
const AWAIT_MS: u64 = 20;
/// Part of the goal that may pass until a coordinator is known.
const AWAIT_DIVISOR: u64 = 3;

/// How the place of a request is found.
#[derive(Clone, Debug)]
pub enum Placement {
    /// This instance has decided.
    Decided(DispatchDecision),
    /// A coordinator is asked.
    Ask(Box<PendingAsk>),
    /// No coordinator is known yet that knows the usage of the customer; it is tried again after
    /// this time, in milliseconds.
    Await(u64),
}

impl GatewayState {
    /// Decides on a request, or returns whom to ask; backend servers in `tried` are left out.
    ///
    /// # Errors
    ///
    /// Returns the refusal if this instance decides and the customer's limit is used up.
    pub fn find_place(
        &mut self,
        now_ms: u64,
        plan: &mut RequestPlan,
        tried: &[Name],
    ) -> Result<Placement, Refusal> {
        let cell = self.backends.coordinating_cell(&plan.service);
        let tried = &self.with_left_out(now_ms, plan, tried);
        match self.fleet.decider_of(now_ms, cell) {
            Decider::None if self.awaits_coordinator(now_ms, plan) => {
                Ok(Placement::Await(AWAIT_MS))
            }
            Decider::None => self.decide_alone(now_ms, plan, tried).map(Placement::Decided),
            Decider::Other(address) => {
                let ask = self.place_ask(now_ms, plan, tried);
                let ask = PendingAsk::at_home(ask, address).asked_for(asker(plan));
                Ok(Placement::Ask(Box::new(ask)))
            }
            Decider::Own => {
                let query = PlaceQuery::new(plan, tried);
                if self.has_no_place(now_ms, &query)
                    && let Some(address) = self.take_place_elsewhere(now_ms, &plan.service)
                {
                    let ask = self.place_ask(now_ms, plan, tried);
                    let ask = PendingAsk::elsewhere(ask, address, None).asked_for(asker(plan));
                    return Ok(Placement::Ask(Box::new(ask)));
                }
                self.decide_alone(now_ms, plan, tried).map(Placement::Decided)
            }
        }
    }

    /// Returns whether a request waits until a coordinator knows the usage of its customer: no
    /// longer than its caller would be told to, and for a part of its goal.
    fn awaits_coordinator(&self, now_ms: u64, plan: &RequestPlan) -> bool {
        let limit_ms = (plan.route.goal_ms / AWAIT_DIVISOR).min(RETRY_SOON_MS);
        let until_ms = plan.deadline_ms.min(plan.wanted_ms.saturating_add(limit_ms));
        let knows_usage = self.fleet.knows_usage(now_ms);
        now_ms < until_ms && !knows_usage && self.asked_usage(plan).is_some()
    }

    /// Decides on a request without asking another instance.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the customer's limit is used up.
    pub fn decide_alone(
        &mut self,
        now_ms: u64,
        plan: &mut RequestPlan,
        tried: &[Name],
    ) -> Result<DispatchDecision, Refusal> {
        self.charge(now_ms, plan)?;
        let tried = self.with_left_out(now_ms, plan, tried);
        Ok(self.dispatch(now_ms, plan, &tried))
    }

    /// Adds the backend servers that this instance could not reach lately to those that a request
    /// tried; a plain request tries them again rather than none.
    fn with_left_out(&self, now_ms: u64, plan: &RequestPlan, tried: &[Name]) -> Vec<Name> {
        let mut left_out = self.fleet.failed_paths.left_out(now_ms, &self.fleet.own_name);
        left_out.retain(|id| !tried.contains(id));
        let all: Vec<_> = tried.iter().cloned().chain(left_out).collect();
        if is_model(plan) || self.backends.has_other(&plan.service, &all) {
            return all;
        }
        tried.to_vec()
    }

    /// Starts the send of a request to which a coordinator granted a place.
    pub fn accept_place(
        &mut self,
        now_ms: u64,
        plan: &mut RequestPlan,
        ask: &PendingAsk,
        place: GrantedPlace,
    ) -> StartedSend {
        if plan.charge == PlanCharge::Pending {
            plan.charge = PlanCharge::Settled;
        }
        let GrantedPlace { backend_server, running, tokens_ahead, unread_tokens } = place;
        let is_admitted =
            self.fleet.limits_cold(ask.to) || self.backends.take_cold(now_ms, &backend_server);
        let prompt = plan.prompt.as_deref();
        self.count_own_send(now_ms, &backend_server, prompt, unread_tokens);
        self.fleet.own_places.push(OwnPlace {
            backend_server: backend_server.clone(),
            begun_ms: now_ms,
            granted_by: Some(ask.to),
            number: ask.ask.number,
            unread_tokens,
            unstarted_parts: prompt.map(PromptShape::shared_parts).unwrap_or_default(),
        });
        // The coordinator may not know yet that this one leaves, or is evacuated.
        let known = self.backends.get(&backend_server);
        let usable = known.filter(|known| self.backends.takes_new_work(known));
        // It may know another version of it.
        let fitting = usable.filter(|known| match &ask.ask.version_need {
            VersionNeed::Only(version) => known.record.software_version == *version,
            VersionNeed::Any | VersionNeed::Settled => true,
        });
        // A coordinator of an earlier build does not know what a cold one bears.
        let fitting = fitting.filter(|_| is_admitted);
        StartedSend {
            address: fitting.map(|known| known.record.address),
            backend_server,
            is_model: ask.ask.prompt.is_some(),
            place: ask.ask.number,
            running,
            software_version: fitting.map(|known| known.record.software_version.clone()),
            tokens_ahead,
            unread_tokens,
        }
    }

    /// Gives back a place that was asked for and is not used.
    pub fn abandon_place(&mut self, to: SocketAddr, number: u64) {
        let step = PlaceStep::Ended(SendEnd::unused().place);
        let progress = PlaceProgress { number, step };
        self.fleet.send(to, Body::Progress(vec![progress]));
    }

    /// Records that a coordinator did not answer.
    pub fn suspect_coordinator(&mut self, now_ms: u64, address: SocketAddr) {
        self.fleet.suspect(now_ms, address);
    }

    pub(crate) fn start_own_place(
        &mut self,
        now_ms: u64,
        backend_server: &Name,
        prompt: Option<&PromptShape>,
    ) -> StartedSend {
        let Some(backend) = self.backends.get(backend_server) else {
            return StartedSend::to_unknown(backend_server.clone());
        };
        let unread_tokens =
            prompt.map(|prompt| backend.uncached_tokens(prompt)).unwrap_or_default();
        self.backends.take_allowance(now_ms, backend_server);
        self.count_own_send(now_ms, backend_server, prompt, unread_tokens);
        let number = self.fleet.new_place_number();
        self.fleet.own_places.push(OwnPlace {
            backend_server: backend_server.clone(),
            begun_ms: now_ms,
            granted_by: None,
            number,
            unread_tokens,
            unstarted_parts: prompt.map(PromptShape::shared_parts).unwrap_or_default(),
        });
        let Some(backend) = self.backends.get(backend_server) else {
            return StartedSend::to_unknown(backend_server.clone());
        };
        let load = backend.load();
        StartedSend {
            address: Some(backend.record.address),
            backend_server: backend_server.clone(),
            is_model: prompt.is_some(),
            place: number,
            running: load.running,
            software_version: Some(backend.record.software_version.clone()),
            tokens_ahead: load.unread_tokens,
            unread_tokens,
        }
    }

    fn count_own_send(
        &mut self,
        now_ms: u64,
        backend_server: &Name,
        prompt: Option<&PromptShape>,
        unread_tokens: u64,
    ) {
        if let Some(backend) = self.backends.get_mut(backend_server) {
            backend.record_send(now_ms, prompt, unread_tokens);
        }
        let Fleet { failed_paths, own_name, .. } = &mut self.fleet;
        failed_paths.record_send(now_ms, own_name, backend_server);
    }

    /// Records the first event of a stream, `elapsed_ms` after its send.
    pub fn record_first_event(&mut self, now_ms: u64, started_send: &StartedSend, elapsed_ms: u64) {
        let StartedSend { place, tokens_ahead, unread_tokens, .. } = *started_send;
        if let Some(backend) = self.backends.get_mut(&started_send.backend_server) {
            backend.record_first_event(unread_tokens, tokens_ahead, elapsed_ms as f64);
        }
        self.record_start(&started_send.backend_server, tokens_ahead, elapsed_ms);
        let own_name = self.fleet.own_name.clone();
        self.record_contact(now_ms, &own_name, &started_send.backend_server);
        let own = self.fleet.own_places.iter_mut().find(|own| own.number == place);
        let Some(own) = own else { return };
        own.unread_tokens = 0;
        let granted_by = own.granted_by;
        let parts = std::mem::take(&mut own.unstarted_parts);
        self.record_event_of_parts(now_ms, &parts);
        let step = PlaceStep::FirstEvent { elapsed_ms, tokens_ahead };
        self.report_progress(now_ms, granted_by, PlaceProgress { number: place, step });
    }

    /// Reports progress to the coordinator that granted a place and, if that is another one, to the
    /// present one.
    fn report_progress(
        &mut self,
        now_ms: u64,
        granted_by: Option<SocketAddr>,
        progress: PlaceProgress,
    ) {
        let present = match self.fleet.decider(now_ms) {
            Decider::Other(address) => Some(address),
            Decider::None | Decider::Own => None,
        };
        let present = present.filter(|address| granted_by != Some(*address));
        let to: Vec<_> = granted_by.into_iter().chain(present).collect();
        if !to.is_empty() {
            self.fleet.send_to_all(to, Body::Progress(vec![progress]));
        }
    }

    /// Records the end of a send.
    pub fn end_send(&mut self, now_ms: u64, started_send: &StartedSend, end: &SendEnd) {
        let backend_server = &started_send.backend_server;
        if let Some(backend) = self.backends.get_mut(backend_server) {
            let unread_tokens = if end.prompt_was_read { 0 } else { started_send.unread_tokens };
            backend.release(unread_tokens);
        }
        let own_name = self.fleet.own_name.clone();
        let index = self.fleet.own_places.iter().position(|own| own.number == started_send.place);
        let own = index.map(|index| self.fleet.own_places.swap_remove(index));
        let begun_ms = own.as_ref().map(|own| own.begun_ms).unwrap_or(now_ms);
        let path = SendPath { backend_server, begun_ms, instance: &own_name };
        self.record_end(now_ms, path, &end.place, started_send.is_model);
        if let Some(own) = own {
            let outcome = end.place.outcome;
            self.record_end_of_parts(now_ms, outcome, backend_server, &own.unstarted_parts);
            let granted_by = own.granted_by;
            let step = PlaceStep::Ended(end.place.clone());
            let progress = PlaceProgress { number: started_send.place, step };
            self.report_progress(now_ms, granted_by, progress);
        }
        // Without another instance there is no other path to tell a cut from a crash by.
        if end.was_refused && self.fleet.is_alone() {
            self.record_crash(now_ms, backend_server);
        }
    }

    /// Records at a backend server how a send of any instance ended.
    pub(crate) fn record_end(
        &mut self,
        now_ms: u64,
        path: SendPath,
        end: &EndedPlace,
        is_model: bool,
    ) {
        if is_model {
            self.record_room_end(now_ms, path.backend_server, end.outcome);
        }
        if end.outcome == SendOutcome::Unreachable {
            return self.record_failed_path(now_ms, path);
        }
        self.record_standing(now_ms, path, end.outcome);
        let SendPath { backend_server, instance, .. } = path;
        if matches!(end.outcome, SendOutcome::Answered | SendOutcome::Refused) {
            self.record_contact(now_ms, instance, backend_server);
        }
        let Some(backend) = self.backends.get_mut(backend_server) else { return };
        backend.record_end(now_ms, end.outcome);
        if let Some(pause_ms) = end.pause_ms {
            backend.pause(now_ms, pause_ms);
        }
        if let Some(token_ms) = end.token_ms {
            backend.record_token_interval(f64::from(token_ms));
        }
        match (end.slot_ms, is_model) {
            (Some(slot_ms), true) => self.record_slot_time(slot_ms as f64),
            (Some(reply_ms), false) => backend.record_reply_time(reply_ms as f64),
            (None, _) => {}
        }
    }

    /// Records that a send did not reach its backend server.
    fn record_failed_path(&mut self, now_ms: u64, path: SendPath) {
        self.fleet.failed_paths.record_failure(now_ms, path);
        if self.fleet.is_alone() {
            self.hold_back(now_ms, path.backend_server);
        }
    }

    /// Records that an instance reached a backend server.
    pub(crate) fn record_contact(&mut self, now_ms: u64, instance: &Name, backend_server: &Name) {
        if let Some(backend) = self.backends.get_mut(backend_server) {
            backend.record_contact(now_ms);
        }
        let out_of_reach = self.fleet.failed_paths.record_contact(now_ms, instance, backend_server);
        out_of_reach.iter().for_each(|backend_server| self.hold_back(now_ms, backend_server));
    }

    /// Sends nothing to a backend server for a while, from any instance of the cell.
    fn hold_back(&mut self, now_ms: u64, backend_server: &str) {
        if let Some(backend) = self.backends.get_mut(backend_server) {
            backend.record_end(now_ms, SendOutcome::Unreachable);
        }
    }

    fn place_ask(&mut self, now_ms: u64, plan: &RequestPlan, tried: &[Name]) -> PlaceAsk {
        let due_ms = plan.wanted_ms + plan.route.goal_ms;
        PlaceAsk {
            number: self.fleet.new_place_number(),
            service: plan.service.clone(),
            rank: plan.rank,
            goal_ms: plan.route.goal_ms,
            due_left_ms: due_ms.saturating_sub(now_ms),
            deadline_left_ms: plan.deadline_ms.saturating_sub(now_ms),
            event_gap_goal_ms: plan.route.event_gap_goal_ms,
            prompt: is_model(plan).then(|| plan.prompt.as_deref().cloned().unwrap_or_default()),
            tried: tried.to_vec(),
            version_need: plan.version_need.clone(),
            usage: self.asked_usage(plan),
            may_redirect: true,
            may_wait: true,
            is_repeatable: plan.route.is_repeatable(),
        }
    }

    fn asked_usage(&self, plan: &RequestPlan) -> Option<AskedUsage> {
        let customer = plan.customer.as_ref()?;
        let is_due = plan.charge == PlanCharge::Pending && self.limits.is_limited(&customer.name);
        is_due.then(|| AskedUsage {
            customer: customer.name.clone(),
            ranks_before: self.table.ranks_before(plan.route.priority) as u32,
            units: plan.units,
        })
    }

    /// Returns the coordinator of another cell that announced free places, and counts one as taken.
    pub(crate) fn take_place_elsewhere(
        &mut self,
        now_ms: u64,
        service: &str,
    ) -> Option<SocketAddr> {
        let others = self
            .fleet
            .other_coordinators
            .iter_mut()
            .filter(|other| other.is_first && now_ms < other.heard_ms + LIVE_MS);
        let free = others.filter_map(|other| {
            let places = other.free.iter_mut().find(|places| &*places.service == service)?;
            (places.count >= MIN_FREE_ELSEWHERE).then_some((other.address, places))
        });
        let (address, places) = free.max_by_key(|(_, places)| places.count)?;
        places.count -= 1;
        Some(address)
    }
}

fn asker(plan: &RequestPlan) -> ToldAsker {
    ToldAsker { customer: plan.customer.as_ref().map(|customer| customer.name.clone()) }
}

fn is_model(plan: &RequestPlan) -> bool {
    plan.route.kind == RouteKind::Stream
}

impl AskedUsage {
    pub(crate) fn usage(&self) -> Usage {
        Usage { ranks_before: self.ranks_before as usize, units: self.units }
    }
}

impl PlaceQuery {
    /// Returns the requirements of an admitted request.
    pub fn new(plan: &RequestPlan, tried: &[Name]) -> Self {
        Self {
            arrived_ms: plan.wanted_ms,
            engine: EngineQuery {
                deadline_ms: plan.deadline_ms,
                due_ms: plan.wanted_ms + plan.route.goal_ms,
                event_gap_goal_ms: plan.route.event_gap_goal_ms,
                prompt: plan.prompt.clone().unwrap_or_default(),
                tried: tried.to_vec(),
                version_need: plan.version_need.clone(),
            },
            goal_ms: plan.route.goal_ms,
            is_model: is_model(plan),
            rank: plan.rank,
            service: plan.service.clone(),
            sharer: Sharer::of(plan.customer.as_ref().map(|customer| &customer.name)),
        }
    }

    /// Returns the requirements of another instance's request, made for `sharer`.
    pub fn from_ask(now_ms: u64, ask: &PlaceAsk, sharer: &Sharer) -> Self {
        let due_ms = now_ms.saturating_add(ask.due_left_ms);
        Self {
            arrived_ms: due_ms.saturating_sub(ask.goal_ms),
            engine: EngineQuery {
                deadline_ms: now_ms.saturating_add(ask.deadline_left_ms),
                due_ms,
                event_gap_goal_ms: ask.event_gap_goal_ms,
                prompt: ask.prompt.clone().unwrap_or_default().into(),
                tried: ask.tried.clone(),
                version_need: ask.version_need.clone(),
            },
            goal_ms: ask.goal_ms,
            is_model: ask.prompt.is_some(),
            rank: ask.rank,
            service: ask.service.clone(),
            sharer: sharer.clone(),
        }
    }
}
