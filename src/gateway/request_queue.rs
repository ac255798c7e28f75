//! Queue of the model requests of one service that wait for a slot, and the decision on the next.

use std::sync::Arc;

use crate::gateway::admission::Rank;
use crate::gateway::backends::{Backends, EngineChoice};
use crate::gateway::engine_query::EngineQuery;
use crate::gateway::request_metadata::PromptShape;
use crate::name::Name;

/// Weight of a new outcome in the share of requests that expired.
const OUTCOME_WEIGHT: f64 = 0.05;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Its requirements.
    pub query: EngineQuery,
    /// When it expires, in milliseconds of the boot clock.
    pub expires_ms: u64,
    /// Number of the request at this instance.
    pub number: u64,
    /// Rank; the lowest is served first.
    pub rank: Rank,
}

impl WaitingRequest {
    fn order_key(&self) -> (Rank, u64, u64) {
        (self.rank, self.query.due_ms, self.number)
    }
}

/// Decision on a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It is sent.
    Send {
        /// Number of the request.
        number: u64,
        /// Id of the backend server.
        backend_server: Name,
        /// Prompt and expected answer.
        prompt: Arc<PromptShape>,
    },
    /// It has waited too long.
    Expire {
        /// Number of the request.
        number: u64,
    },
}

/// Waiting requests of one service: highest rank first, then the earliest due time.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    /// Share of waiting requests that expired, by rank.
    expired: Vec<(Rank, f64)>,
    waiting: Vec<WaitingRequest>,
}

impl RequestQueue {
    /// Adds a request.
    pub fn insert(&mut self, waiting: WaitingRequest) {
        let index = self.waiting.partition_point(|other| other.order_key() < waiting.order_key());
        self.waiting.insert(index, waiting);
    }

    /// Removes a request.
    pub fn remove(&mut self, number: u64) {
        self.waiting.retain(|waiting| waiting.number != number);
    }

    /// Removes all requests and returns their numbers.
    pub fn take_numbers(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.waiting).into_iter().map(|waiting| waiting.number).collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the share of recent waiting requests of a rank that expired.
    pub fn expired_share(&self, rank: Rank) -> f64 {
        let index = self.expired.binary_search_by_key(&rank, |(known, _)| *known);
        index.map(|index| self.expired[index].1).unwrap_or_default()
    }

    fn record_outcome(&mut self, rank: Rank, expired: f64) {
        let index = match self.expired.binary_search_by_key(&rank, |(known, _)| *known) {
            Ok(index) => index,
            Err(index) => {
                self.expired.insert(index, (rank, 0.0));
                index
            }
        };
        let share = &mut self.expired[index].1;
        *share += OUTCOME_WEIGHT * (expired - *share);
    }

    /// Returns the number of waiting requests that are ahead of a new one of this rank and could use
    /// any place; one that only few servers may serve waits for these.
    pub fn ahead_of(&self, rank: Rank) -> usize {
        let ahead = self.waiting.iter().take_while(|waiting| waiting.rank <= rank);
        ahead.filter(|waiting| !waiting.query.is_limited()).count()
    }

    /// Returns the next decision that is due now.
    pub fn next_decision(
        &mut self,
        now_ms: u64,
        service: &str,
        backends: &Backends,
    ) -> Option<QueueDecision> {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.expires_ms <= now_ms) {
            let WaitingRequest { number, rank, .. } = self.waiting.remove(index);
            self.record_outcome(rank, 1.0);
            return Some(QueueDecision::Expire { number });
        }
        for index in 0..self.waiting.len() {
            let query = &self.waiting[index].query;
            match backends.choose_engine(now_ms, service, query) {
                EngineChoice::Chosen(backend_server) => {
                    let WaitingRequest { number, query, rank, .. } = self.waiting.remove(index);
                    self.record_outcome(rank, 0.0);
                    let prompt = query.prompt;
                    return Some(QueueDecision::Send { number, backend_server, prompt });
                }
                // A request that few servers may serve does not hold up the others.
                EngineChoice::AllBusy | EngineChoice::NoneUsable if query.is_limited() => {}
                EngineChoice::AllBusy | EngineChoice::NoneUsable => return None,
            }
        }
        None
    }
}
