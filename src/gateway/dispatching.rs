//! Decides which model requests are sent, which wait for a slot and which are rejected.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::gateway::admission::{Rank, RequestPlan};
use crate::gateway::backend::SendOutcome;
use crate::gateway::backends::EngineChoice;
use crate::gateway::engine_query::{EngineQuery, VersionNeed};
use crate::gateway::fleet::message::EndedPlace;
use crate::gateway::fleet::part_evidence::PartRefusal;
use crate::gateway::request_metadata::PromptShape;
use crate::gateway::request_queue::{QueueDecision, QueueStanding, RequestQueue, WaitingRequest};
use crate::gateway::sharing::sharer::Sharer;
use crate::gateway::state::{GatewayState, RETRY_SOON_MS, entry_or_default};
use crate::name::Name;

/// Part of the time left that a wait may be expected to take; estimates err, and a request that waits in
/// vain is told late.
const MAX_WAIT_SHARE: f64 = 0.75;
/// Longest time that is kept for the start of an answer, as a share of its goal.
const MAX_START_SHARE: f64 = 0.5;
/// Longest time that a stream waits to go on, as a share of its goal.
const MAX_RESUME_WAIT_SHARE: f64 = 1.0;
/// Longest time until the retry of a rejected request, as a share of the time left to its
/// deadline.
const RETRY_AFTER_SHARE: f64 = 0.33;
/// Longest time until the retry of a rejected request, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 4_000;

/// What a request needs of a place at a backend server.
#[derive(Clone, Debug)]
pub struct PlaceQuery {
    /// When it arrived, in milliseconds of the boot clock.
    pub arrived_ms: u64,
    /// What it needs of an engine.
    pub engine: EngineQuery,
    /// Time within which an answer is timely, in milliseconds.
    pub goal_ms: u64,
    /// Whether a model serves it, so that it needs a slot.
    pub is_model: bool,
    /// Its rank.
    pub rank: Rank,
    /// Its service.
    pub service: Name,
    /// Who sends it, as far as the room is shared.
    pub sharer: Sharer,
}

/// A request that would wait for too long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RefusedWait {
    /// Time after which the caller may retry, in milliseconds.
    pub(crate) retry_after_ms: u64,
    /// What it would have waited for.
    pub(crate) standing: Option<QueueStanding>,
}

/// Decision on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchDecision {
    /// It is sent at once.
    Send(StartedSend),
    /// It would not be served in time; the caller may retry after this time, in milliseconds.
    Reject(u64),
    /// A part of its prompt may have crashed engines.
    Suspect(PartRefusal),
    /// It waits under this number.
    Wait(u64),
}

/// A send that is counted as running, and the state of the backend server at that time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedSend {
    /// Address of the backend server; `None` if it is no longer known.
    pub address: Option<SocketAddr>,
    /// Id of the backend server.
    pub backend_server: Name,
    /// Whether it is a model request.
    pub is_model: bool,
    /// Number of its place.
    pub place: u64,
    /// Requests running there, this one included.
    pub running: u32,
    /// Prompt tokens still to be prefilled there, those of this request included.
    pub tokens_ahead: u64,
    /// Version of the backend server's software; `None` if it is no longer known.
    pub software_version: Option<Name>,
    /// Prompt tokens of this request that are probably not cached.
    pub unread_tokens: u64,
}

impl StartedSend {
    pub(crate) fn to_unknown(backend_server: Name) -> Self {
        Self {
            address: None,
            backend_server,
            is_model: false,
            place: 0,
            running: 0,
            software_version: None,
            tokens_ahead: 0,
            unread_tokens: 0,
        }
    }
}

/// The end of a send.
#[derive(Clone, Debug, PartialEq)]
pub struct SendEnd {
    /// How it ended.
    pub place: EndedPlace,
    /// Whether its first event had arrived.
    pub prompt_was_read: bool,
    /// Whether the connection was refused, so that no process listens there or the path is cut.
    pub was_refused: bool,
}

impl SendEnd {
    /// Returns the end of a send with an outcome and nothing measured.
    pub fn new(outcome: SendOutcome) -> Self {
        let place = EndedPlace { outcome, slot_ms: None, token_ms: None, pause_ms: None };
        Self { place, prompt_was_read: false, was_refused: false }
    }

    /// Returns the end of a send whose connection was refused.
    pub fn refused_connection() -> Self {
        Self { was_refused: true, ..Self::new(SendOutcome::Unreachable) }
    }

    /// Returns the end of a send that was not carried out.
    pub fn unused() -> Self {
        Self::new(SendOutcome::Abandoned)
    }
}

/// Outcome of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitOutcome {
    /// Number of the request.
    pub number: u64,
    /// What became of it.
    pub result: WaitResult,
}

/// What became of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitResult {
    /// It expired.
    Expired,
    /// Another instance decides now, and is to be asked.
    Moved,
    /// A part of its prompt may have crashed engines.
    Suspect(PartRefusal),
    /// Its send was started.
    Sent(StartedSend),
}

/// What is decided on a waiting request.
#[derive(Clone, Debug)]
pub(crate) enum WaitDecision {
    Expire,
    Refuse(PartRefusal),
    /// It is sent to this backend server with this prompt.
    Send(Name, Arc<PromptShape>),
}

impl GatewayState {
    /// Sends a request, queues it, or rejects it if its wait would be too long.
    pub fn dispatch(
        &mut self,
        now_ms: u64,
        plan: &RequestPlan,
        tried: &[Name],
    ) -> DispatchDecision {
        let query = PlaceQuery::new(plan, tried);
        if !query.is_model {
            let is_repeatable = plan.route.is_repeatable();
            let chosen = self.backends.choose_plain(now_ms, &plan.service, tried, is_repeatable);
            return match chosen {
                Some(chosen) => DispatchDecision::Send(self.start_own_place(now_ms, &chosen, None)),
                None => DispatchDecision::Reject(self.retry_within_limits_ms(
                    now_ms,
                    &plan.service,
                    RETRY_SOON_MS,
                )),
            };
        }
        if let Err(refusal) = self.check_parts(now_ms, &query.engine.prompt) {
            return DispatchDecision::Suspect(refusal);
        }
        if let Some(chosen) = self.free_engine(now_ms, &query) {
            self.charge_share(now_ms, &query, &chosen);
            let prompt = Some(&*query.engine.prompt);
            return DispatchDecision::Send(self.start_own_place(now_ms, &chosen, prompt));
        }
        match self.enqueue(now_ms, &query) {
            Ok(number) => DispatchDecision::Wait(number),
            Err(refused) => DispatchDecision::Reject(refused.retry_after_ms),
        }
    }

    /// Charges a place that is granted at once to the customer of its request.
    pub(crate) fn charge_share(&mut self, now_ms: u64, query: &PlaceQuery, backend_server: &str) {
        let known = self.backends.get(backend_server);
        let cost_us = known.map(|known| known.expected_use_us(&query.engine.prompt));
        let queue = entry_or_default(&mut self.queues, &query.service);
        queue.charge(now_ms, query.rank, &query.sharer, cost_us.unwrap_or_default());
    }

    /// Returns the engine to which a model request can be sent at once.
    pub(crate) fn free_engine(&mut self, now_ms: u64, query: &PlaceQuery) -> Option<Name> {
        let ahead = self.queue(&query.service).ahead_of(query.rank);
        let (_, free) = self.backends.slots_for(now_ms, &query.service, &query.engine.version_need);
        if free <= ahead {
            return None;
        }
        match self.backends.choose_engine(now_ms, &query.service, &query.engine) {
            EngineChoice::Chosen(chosen) => Some(chosen),
            EngineChoice::AllBusy | EngineChoice::NoneUsable => None,
        }
    }

    /// Returns whether a model request can't be sent at once.
    pub(crate) fn has_no_place(&mut self, now_ms: u64, query: &PlaceQuery) -> bool {
        query.is_model && self.free_engine(now_ms, query).is_none()
    }

    /// Adds a model request to the queue and returns its number.
    ///
    /// # Errors
    ///
    /// Returns the refusal if its first event would come too late.
    pub(crate) fn enqueue(&mut self, now_ms: u64, query: &PlaceQuery) -> Result<u64, RefusedWait> {
        if self.backends.is_closed(&query.service) {
            let retry_after_ms = self.retry_after_ms(now_ms, query.engine.deadline_ms);
            return Err(RefusedWait { retry_after_ms, standing: None });
        }
        if !self.backends.has_untried(&query.service, &query.engine) {
            return Err(RefusedWait { retry_after_ms: RETRY_SOON_MS, standing: None });
        }
        let (slots, _) =
            self.backends.slots_for(now_ms, &query.service, &query.engine.version_need);
        let modelled_per_ms = slots as f64 / self.mean_slot_ms.max(1.0);
        let PlaceQuery { engine, rank, sharer, .. } = query;
        // Those ahead of a stream that goes on can use other servers as well.
        let goes_on = matches!(engine.version_need, VersionNeed::Only(_));
        let queue = entry_or_default(&mut self.queues, &query.service);
        let standing = queue.standing(now_ms, *rank, sharer, modelled_per_ms);
        let latest_ms = if goes_on {
            let max_wait_ms = query.goal_ms as f64 * MAX_RESUME_WAIT_SHARE;
            query.arrived_ms.saturating_add(max_wait_ms as u64)
        } else {
            // A large prompt may wait as well, though its start is expected to take all of its goal.
            let longest_ms = (query.goal_ms as f64 * MAX_START_SHARE) as u64;
            engine.due_ms.saturating_sub(queue.start_ms(&engine.prompt).min(longest_ms))
        };
        let expires_ms = latest_ms.min(engine.deadline_ms);
        let left_ms = expires_ms.saturating_sub(now_ms) as f64;
        let left_ms = left_ms * MAX_WAIT_SHARE * queue.trust(*rank, sharer);
        let is_too_long = if goes_on { slots == 0 } else { standing.wait_ms as f64 >= left_ms };
        if is_too_long {
            queue.record_refusal(*rank, sharer);
            let retry_after_ms = self.retry_after_ms(now_ms, engine.deadline_ms);
            return Err(RefusedWait { retry_after_ms, standing: Some(standing) });
        }
        self.last_number += 1;
        let number = self.last_number;
        self.queue(&query.service).insert(WaitingRequest {
            begun_ms: now_ms,
            query: engine.clone(),
            expires_ms,
            number,
            rank: *rank,
            sharer: sharer.clone(),
        });
        Ok(number)
    }

    /// Returns the time after which the caller of a rejected request may retry, in milliseconds.
    pub fn retry_after_ms(&self, now_ms: u64, deadline_ms: u64) -> u64 {
        let left_ms = deadline_ms.saturating_sub(now_ms) as f64;
        (left_ms * RETRY_AFTER_SHARE).min(MAX_RETRY_AFTER_MS as f64) as u64
    }

    /// Returns the number of requests that wait for a service.
    pub fn queue_length(&self, service: &str) -> usize {
        let index = self.queues.binary_search_by(|(known, _)| (**known).cmp(service));
        index.map(|index| self.queues[index].1.len()).unwrap_or_default()
    }

    /// Removes a waiting request.
    pub fn remove_waiting(&mut self, service: &Name, number: u64) {
        self.queue(service).remove(number);
    }

    /// Decides on waiting requests and returns the outcomes of those of this instance; other
    /// instances are answered. Requests to be sent are counted as running.
    pub fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<WaitOutcome> {
        let mut outcomes =
            if self.waiting_count() > 0 { self.decide_waiting(now_ms) } else { Vec::new() };
        // Those that were handed over are in no queue any more.
        let moved = self.fleet.handover.take_moved().into_iter();
        outcomes.extend(moved.map(|number| WaitOutcome { number, result: WaitResult::Moved }));
        outcomes
    }

    fn decide_waiting(&mut self, now_ms: u64) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        let mut queues = std::mem::take(&mut self.queues);
        for (service, queue) in &mut queues {
            while let Some(decision) = queue.next_decision(now_ms, service, &self.backends) {
                outcomes.extend(self.apply_decision(now_ms, decision));
            }
            if queue.take_growth() {
                let (slots, _) = self.backends.slots(now_ms, service);
                let modelled_per_ms = slots as f64 / self.mean_slot_ms.max(1.0);
                while let Some(number) = queue.displace(now_ms, modelled_per_ms) {
                    let decision = QueueDecision::Expire { number };
                    outcomes.extend(self.apply_decision(now_ms, decision));
                }
            }
        }
        self.queues = queues;
        outcomes
    }

    fn apply_decision(&mut self, now_ms: u64, decision: QueueDecision) -> Option<WaitOutcome> {
        let (number, decision) = match decision {
            QueueDecision::Expire { number } => (number, WaitDecision::Expire),
            QueueDecision::Send { number, backend_server, prompt } => {
                let decision = match self.check_parts(now_ms, &prompt) {
                    Ok(()) => WaitDecision::Send(backend_server, prompt),
                    Err(refusal) => WaitDecision::Refuse(refusal),
                };
                (number, decision)
            }
        };
        if self.answer_waiting(now_ms, number, &decision) {
            return None;
        }
        let result = match decision {
            WaitDecision::Expire => WaitResult::Expired,
            WaitDecision::Refuse(refusal) => WaitResult::Suspect(refusal),
            WaitDecision::Send(backend_server, prompt) => {
                WaitResult::Sent(self.start_own_place(now_ms, &backend_server, Some(&prompt)))
            }
        };
        Some(WaitOutcome { number, result })
    }

    fn queue(&mut self, service: &Name) -> &mut RequestQueue {
        entry_or_default(&mut self.queues, service)
    }
}
