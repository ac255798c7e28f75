//! Decides where requests are sent: at the coordinator of a cell for all its members, or at an
//! instance alone while no coordinator answers.
//!
//! One queue sees every request that waits for the engines of a cell, so ranks hold over all
//! members, and a slot that becomes free is given away at once. A cell that is full names another
//! one that announced free places, so a burst in one cell uses the engines of the others.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::gateway::admission::{PlanCharge, Refusal, RequestPlan};
use crate::gateway::backend::{BackendStatus, SendOutcome};
use crate::gateway::dispatching::{
    DispatchDecision, PlaceQuery, SendEnd, StartedSend, WaitDecision,
};
use crate::gateway::engine_query::{EngineQuery, VersionNeed};
use crate::gateway::fleet::coordinators::Decider;
use crate::gateway::fleet::leases::Lease;
use crate::gateway::fleet::membership::{Outgoing, OwnPlace, RemoteWaiting};
use crate::gateway::fleet::message::{
    AskedUsage, Body, EndedPlace, GrantedPlace, PlaceAnswer, PlaceAsk, PlaceProgress, PlaceStep,
    PlaceVerdict,
};
use crate::gateway::fleet::pending_ask::PendingAsk;
use crate::gateway::fleet::roster::LIVE_MS;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::routing_document::RouteKind;
use crate::gateway::state::{GatewayState, RETRY_SOON_MS};
use crate::gateway::usage_limits::Usage;
use crate::name::Name;

/// Free places that a cell must have announced to be named to others.
const MIN_FREE_ELSEWHERE: u32 = 2;

/// How the place of a request is found.
#[derive(Clone, Debug)]
pub enum Placement {
    /// This instance has decided.
    Decided(DispatchDecision),
    /// A coordinator is asked.
    Ask(Box<PendingAsk>),
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
        match self.fleet.decider_of(now_ms, cell) {
            Decider::None => self.decide_alone(now_ms, plan, tried).map(Placement::Decided),
            Decider::Other(address) => {
                let ask = self.place_ask(now_ms, plan, tried);
                Ok(Placement::Ask(Box::new(PendingAsk::at_home(ask, address))))
            }
            Decider::Own => {
                let query = PlaceQuery::new(plan, tried);
                if self.has_no_place(now_ms, &query)
                    && let Some(address) = self.take_place_elsewhere(now_ms, &plan.service)
                {
                    let ask = self.place_ask(now_ms, plan, tried);
                    return Ok(Placement::Ask(Box::new(PendingAsk::elsewhere(ask, address, None))));
                }
                self.decide_alone(now_ms, plan, tried).map(Placement::Decided)
            }
        }
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
        Ok(self.dispatch(now_ms, plan, tried))
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
        let prompt = plan.prompt.as_deref();
        self.count_own_send(now_ms, &backend_server, prompt, unread_tokens);
        self.fleet.own_places.push(OwnPlace {
            backend_server: backend_server.clone(),
            granted_by: Some(ask.to),
            number: ask.ask.number,
            unread_tokens,
            unstarted_parts: prompt.map(PromptShape::shared_parts).unwrap_or_default(),
        });
        // The coordinator may not know yet that this one leaves.
        let known = self.backends.get(&backend_server);
        let usable = known.filter(|known| known.status == BackendStatus::Usable);
        // It may know another version of it.
        let fitting = usable.filter(|known| match &ask.ask.version_need {
            VersionNeed::Only(version) => known.record.software_version == *version,
            VersionNeed::Any | VersionNeed::Settled => true,
        });
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
        self.count_own_send(now_ms, backend_server, prompt, unread_tokens);
        let number = self.fleet.new_place_number();
        self.fleet.own_places.push(OwnPlace {
            backend_server: backend_server.clone(),
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
    }

    /// Records the first event of a stream, `elapsed_ms` after its send.
    pub fn record_first_event(&mut self, now_ms: u64, started_send: &StartedSend, elapsed_ms: u64) {
        let StartedSend { place, tokens_ahead, unread_tokens, .. } = *started_send;
        if let Some(backend) = self.backends.get_mut(&started_send.backend_server) {
            backend.record_first_event(unread_tokens, tokens_ahead, elapsed_ms as f64);
        }
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
            self.fleet.outbox.push(Outgoing { to, body: Body::Progress(vec![progress]) });
        }
    }

    /// Records the end of a send; a backend server that was unreachable counts as crashed.
    pub fn end_send(&mut self, now_ms: u64, started_send: &StartedSend, end: &SendEnd) {
        let backend_server = &started_send.backend_server;
        if let Some(backend) = self.backends.get_mut(backend_server) {
            let unread_tokens = if end.prompt_was_read { 0 } else { started_send.unread_tokens };
            backend.release(unread_tokens);
        }
        self.record_end(now_ms, backend_server, &end.place, started_send.is_model);
        let index = self.fleet.own_places.iter().position(|own| own.number == started_send.place);
        if let Some(index) = index {
            let own = self.fleet.own_places.swap_remove(index);
            let outcome = end.place.outcome;
            self.record_end_of_parts(now_ms, outcome, backend_server, &own.unstarted_parts);
            let granted_by = own.granted_by;
            let step = PlaceStep::Ended(end.place.clone());
            let progress = PlaceProgress { number: started_send.place, step };
            self.report_progress(now_ms, granted_by, progress);
        }
        if end.place.outcome == SendOutcome::Unreachable {
            self.record_crash(now_ms, backend_server);
        }
    }

    pub(crate) fn receive_ask(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        holder: &Name,
        ask: &PlaceAsk,
    ) {
        let verdict = self.decide_ask(now_ms, from, holder, ask);
        let answer = PlaceAnswer { number: ask.number, verdict };
        self.fleet.send(from, Body::Answer(answer));
    }

    fn decide_ask(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        holder: &Name,
        ask: &PlaceAsk,
    ) -> PlaceVerdict {
        if !self.fleet.is_ready(now_ms) || self.stop.is_some() {
            return PlaceVerdict::NotCoordinating;
        }
        if let Some(lease) = self.fleet.leases.get(holder, ask.number) {
            return PlaceVerdict::Granted(self.granted(lease));
        }
        let waiting = self.fleet.remote_waiting.iter_mut();
        let mut same = waiting.filter(|known| known.place == ask.number && known.holder == *holder);
        if let Some(known) = same.next() {
            known.asked_ms = now_ms;
            return PlaceVerdict::Waiting;
        }
        if let Some(usage) = &ask.usage
            && let Err(refusal) = self.charge_units(now_ms, &usage.customer, usage.usage())
        {
            return match refusal.shortage {
                Some(shortage) => PlaceVerdict::OverLimit(shortage),
                None => PlaceVerdict::NotCoordinating,
            };
        }
        let verdict = self.decide_charged(now_ms, from, holder, ask);
        if let Some(AskedUsage { customer, units, .. }) = &ask.usage {
            match &verdict {
                PlaceVerdict::Granted(_) => self.settle_units(now_ms, customer, *units),
                PlaceVerdict::Waiting => {}
                _ => self.limits.refund(customer, *units),
            }
        }
        verdict
    }

    fn decide_charged(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        holder: &Name,
        ask: &PlaceAsk,
    ) -> PlaceVerdict {
        let query = PlaceQuery::from_ask(now_ms, ask);
        if !query.is_model {
            let chosen = self.backends.choose_plain(now_ms, &ask.service, &ask.tried);
            return match chosen {
                Some(chosen) => self.grant(now_ms, holder, ask.number, &chosen, None),
                None => PlaceVerdict::Refused(RETRY_SOON_MS),
            };
        }
        if let Err(refusal) = self.check_parts(now_ms, &query.engine.prompt) {
            return PlaceVerdict::Suspect(refusal);
        }
        if let Some(chosen) = self.free_engine(now_ms, &query) {
            let prompt = Some(query.engine.prompt.clone());
            return self.grant(now_ms, holder, ask.number, &chosen, prompt);
        }
        if ask.may_redirect
            && let Some(address) = self.take_place_elsewhere(now_ms, &ask.service)
        {
            return PlaceVerdict::Elsewhere(address);
        }
        if !ask.may_wait {
            return PlaceVerdict::Refused(self.retry_after_ms(now_ms, query.engine.deadline_ms));
        }
        match self.enqueue(now_ms, &query) {
            Ok(number) => {
                self.fleet.remote_waiting.push(RemoteWaiting {
                    address: from,
                    asked_ms: now_ms,
                    deadline_ms: query.engine.deadline_ms,
                    holder: holder.clone(),
                    number,
                    place: ask.number,
                    service: ask.service.clone(),
                    usage: ask.usage.clone(),
                });
                PlaceVerdict::Waiting
            }
            Err(wait_ms) => PlaceVerdict::Refused(wait_ms),
        }
    }

    /// Answers the holder of a request that waited here; returns whether there is one.
    pub(crate) fn answer_waiting(
        &mut self,
        now_ms: u64,
        number: u64,
        decision: &WaitDecision,
    ) -> bool {
        let index = self.fleet.remote_waiting.iter().position(|waiting| waiting.number == number);
        let Some(index) = index else { return false };
        let waiting = self.fleet.remote_waiting.swap_remove(index);
        if let Some(AskedUsage { customer, units, .. }) = &waiting.usage {
            match decision {
                WaitDecision::Send(..) => self.settle_units(now_ms, customer, *units),
                WaitDecision::Expire | WaitDecision::Refuse(_) => {
                    self.limits.refund(customer, *units);
                }
            }
        }
        let verdict = match decision {
            WaitDecision::Send(backend_server, prompt) => {
                let prompt = Some(prompt.clone());
                self.grant(now_ms, &waiting.holder, waiting.place, backend_server, prompt)
            }
            WaitDecision::Expire => {
                PlaceVerdict::Refused(self.retry_after_ms(now_ms, waiting.deadline_ms))
            }
            WaitDecision::Refuse(refusal) => PlaceVerdict::Suspect(*refusal),
        };
        let answer = PlaceAnswer { number: waiting.place, verdict };
        self.fleet.send(waiting.address, Body::Answer(answer));
        true
    }

    fn grant(
        &mut self,
        now_ms: u64,
        holder: &Name,
        number: u64,
        backend_server: &Name,
        prompt: Option<Arc<PromptShape>>,
    ) -> PlaceVerdict {
        let Some(backend) = self.backends.get_mut(backend_server) else {
            return PlaceVerdict::Refused(RETRY_SOON_MS);
        };
        let unread_tokens =
            prompt.as_deref().map(|prompt| backend.uncached_tokens(prompt)).unwrap_or_default();
        backend.record_prompt(now_ms, prompt.as_deref());
        let lease = Lease {
            backend_server: backend_server.clone(),
            granted_ms: now_ms,
            holder: holder.clone(),
            is_model: prompt.is_some(),
            number,
            unread_tokens,
            unstarted_parts: prompt.as_deref().map(PromptShape::shared_parts).unwrap_or_default(),
        };
        self.fleet.leases.add(lease.clone(), &mut self.backends);
        PlaceVerdict::Granted(self.granted(&lease))
    }

    fn granted(&self, lease: &Lease) -> GrantedPlace {
        let load =
            self.backends.get(&lease.backend_server).map(|known| known.load()).unwrap_or_default();
        GrantedPlace {
            backend_server: lease.backend_server.clone(),
            running: load.running,
            tokens_ahead: load.unread_tokens,
            unread_tokens: lease.unread_tokens,
        }
    }

    pub(crate) fn record_remote_first_event(
        &mut self,
        now_ms: u64,
        holder: &Name,
        number: u64,
        elapsed_ms: u64,
        tokens_ahead: u64,
    ) {
        let Some(lease) = self.fleet.leases.get(holder, number).cloned() else { return };
        self.fleet.leases.read_prompt(holder, number, &mut self.backends);
        self.record_event_of_parts(now_ms, &lease.unstarted_parts);
        if let Some(backend) = self.backends.get_mut(&lease.backend_server) {
            backend.record_prefill(tokens_ahead, elapsed_ms as f64);
        }
    }

    pub(crate) fn end_lease(&mut self, now_ms: u64, holder: &Name, number: u64, end: &EndedPlace) {
        match self.fleet.leases.end(holder, number, &mut self.backends) {
            Some(lease) => {
                let Lease { backend_server, unstarted_parts, .. } = &lease;
                self.record_end_of_parts(now_ms, end.outcome, backend_server, unstarted_parts);
                self.record_end(now_ms, &lease.backend_server, end, lease.is_model);
            }
            None => self.cancel_remote_waiting(holder, number),
        }
    }

    fn cancel_remote_waiting(&mut self, holder: &Name, number: u64) {
        let waiting = &mut self.fleet.remote_waiting;
        let index =
            waiting.iter().position(|known| known.place == number && known.holder == *holder);
        if let Some(index) = index {
            let cancelled = waiting.swap_remove(index);
            self.drop_remote_waiting(cancelled);
        }
    }

    /// Removes a request of another instance from the queue and gives back its units.
    pub(crate) fn drop_remote_waiting(&mut self, waiting: RemoteWaiting) {
        self.remove_waiting(&waiting.service, waiting.number);
        if let Some(usage) = waiting.usage {
            self.limits.refund(&usage.customer, usage.units);
        }
    }

    /// Records at a backend server how a send of any instance ended.
    fn record_end(&mut self, now_ms: u64, backend_server: &str, end: &EndedPlace, is_model: bool) {
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
    fn take_place_elsewhere(&mut self, now_ms: u64, service: &str) -> Option<SocketAddr> {
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

fn is_model(plan: &RequestPlan) -> bool {
    plan.route.kind == RouteKind::Stream
}

impl AskedUsage {
    fn usage(&self) -> Usage {
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
        }
    }

    /// Returns the requirements of another instance's request.
    pub fn from_ask(now_ms: u64, ask: &PlaceAsk) -> Self {
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
        }
    }
}
