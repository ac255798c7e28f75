//! Grants places at backend servers to other instances, as the coordinator of a cell.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::gateway::dispatching::{PlaceQuery, RefusedWait, WaitDecision};
use crate::gateway::fleet::additions::{PlaceNote, ToldAsker, ToldQueue};
use crate::gateway::fleet::failed_paths::SendPath;
use crate::gateway::fleet::leases::Lease;
use crate::gateway::fleet::membership::RemoteWaiting;
use crate::gateway::fleet::message::{
    AskedUsage, Body, EndedPlace, GrantedPlace, PlaceAnswer, PlaceAsk, PlaceVerdict,
};
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::request_queue::QueueStanding;
use crate::gateway::sharing::sharer::Sharer;
use crate::gateway::state::{GatewayState, RETRY_SOON_MS};
use crate::name::Name;

/// What is answered to a request for a place.
struct AskDecision {
    /// The queue that it would have waited in.
    queue: Option<ToldQueue>,
    verdict: PlaceVerdict,
}

impl From<PlaceVerdict> for AskDecision {
    fn from(verdict: PlaceVerdict) -> Self {
        Self { queue: None, verdict }
    }
}

impl From<QueueStanding> for ToldQueue {
    fn from(standing: QueueStanding) -> Self {
        let QueueStanding { ahead, wait_ms, waiting } = standing;
        let count = |number| u32::try_from(number).unwrap_or(u32::MAX);
        Self { ahead: count(ahead), wait_ms, waiting: count(waiting) }
    }
}

impl GatewayState {
    pub(crate) fn receive_ask(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        holder: &Name,
        ask: &PlaceAsk,
        asker: Option<&ToldAsker>,
    ) {
        let sharer = Sharer::of_ask(holder, ask, asker);
        let AskDecision { queue, verdict } = self.decide_ask(now_ms, from, holder, ask, &sharer);
        let answer = PlaceAnswer { number: ask.number, verdict };
        let note = PlaceNote { queue, ..PlaceNote::default() };
        self.fleet.send_with_note(from, Body::Answer(answer), note);
    }

    fn decide_ask(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        holder: &Name,
        ask: &PlaceAsk,
        sharer: &Sharer,
    ) -> AskDecision {
        if !self.fleet.is_able(now_ms) {
            return PlaceVerdict::NotCoordinating.into();
        }
        if let Some(lease) = self.fleet.leases.get(holder, ask.number) {
            return PlaceVerdict::Granted(self.granted(lease)).into();
        }
        let waiting = self.fleet.remote_waiting.iter_mut();
        let mut same = waiting.filter(|known| known.place == ask.number && known.holder == *holder);
        if let Some(known) = same.next() {
            known.asked_ms = now_ms;
            return PlaceVerdict::Waiting.into();
        }
        if let Some(usage) = &ask.usage
            && let Err(refusal) = self.charge_units(now_ms, &usage.customer, usage.usage())
        {
            return match refusal.shortage {
                Some(shortage) => PlaceVerdict::OverLimit(shortage).into(),
                None => PlaceVerdict::NotCoordinating.into(),
            };
        }
        let decision = self.decide_charged(now_ms, from, holder, ask, sharer);
        if let Some(AskedUsage { customer, units, .. }) = &ask.usage {
            match &decision.verdict {
                PlaceVerdict::Granted(_) => self.settle_units(now_ms, customer, *units),
                PlaceVerdict::Waiting => {}
                _ => self.limits.refund(customer, *units),
            }
        }
        decision
    }

    fn decide_charged(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        holder: &Name,
        ask: &PlaceAsk,
        sharer: &Sharer,
    ) -> AskDecision {
        let query = PlaceQuery::from_ask(now_ms, ask, sharer);
        if !query.is_model {
            let chosen =
                self.backends.choose_plain(now_ms, &ask.service, &ask.tried, ask.is_repeatable);
            let verdict = match chosen {
                Some(chosen) => self.grant(now_ms, holder, ask.number, &chosen, None),
                None => {
                    let wait_ms = self.retry_within_limits_ms(now_ms, &ask.service, RETRY_SOON_MS);
                    PlaceVerdict::Refused(wait_ms)
                }
            };
            return verdict.into();
        }
        if let Err(refusal) = self.check_parts(now_ms, &query.engine.prompt) {
            return PlaceVerdict::Suspect(refusal).into();
        }
        if let Some(chosen) = self.free_engine(now_ms, &query) {
            self.charge_share(now_ms, &query, &chosen);
            let prompt = Some(query.engine.prompt.clone());
            return self.grant(now_ms, holder, ask.number, &chosen, prompt).into();
        }
        if ask.may_redirect
            && let Some(address) = self.take_place_elsewhere(now_ms, &ask.service)
        {
            return PlaceVerdict::Elsewhere(address).into();
        }
        if !ask.may_wait {
            let wait_ms = self.retry_after_ms(now_ms, query.engine.deadline_ms);
            return PlaceVerdict::Refused(wait_ms).into();
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
                PlaceVerdict::Waiting.into()
            }
            Err(RefusedWait { retry_after_ms, standing }) => AskDecision {
                queue: standing.map(ToldQueue::from),
                verdict: PlaceVerdict::Refused(retry_after_ms),
            },
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
            is_reported: false,
            number,
            unread_tokens,
            unstarted_parts: prompt.as_deref().map(PromptShape::shared_parts).unwrap_or_default(),
        };
        self.backends.take_allowance(now_ms, backend_server);
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
        self.record_start(&lease.backend_server, tokens_ahead, elapsed_ms);
        self.record_contact(now_ms, holder, &lease.backend_server);
    }

    pub(crate) fn end_lease(&mut self, now_ms: u64, holder: &Name, number: u64, end: &EndedPlace) {
        match self.fleet.leases.end(holder, number, &mut self.backends) {
            Some(lease) => {
                let Lease { backend_server, unstarted_parts, .. } = &lease;
                self.record_end_of_parts(now_ms, end.outcome, backend_server, unstarted_parts);
                let path =
                    SendPath { backend_server, begun_ms: lease.granted_ms, instance: holder };
                self.record_end(now_ms, path, end, lease.is_model);
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
}
