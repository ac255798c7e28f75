//! Requests of one service that wait for a backend server, in the order in which they get one.

use std::sync::Arc;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::admission::Rank;
use crate::gateway::backends::{Backends, EngineChoice};
use crate::gateway::engine_ask::EngineAsk;
use crate::gateway::request_facts::PromptFacts;
use crate::name::Name;

/// Weight of a new outcome in the share of requests that were given up.
const OUTCOME_WEIGHT: f64 = 0.05;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// What it asks of an engine.
    pub ask: EngineAsk,
    /// When it is given up, in milliseconds of the boot clock.
    pub give_up_ms: u64,
    /// Number of the request at this instance.
    pub number: u64,
    /// Rank; the lowest goes first.
    pub rank: Rank,
}

impl Waiting {
    fn place(&self) -> (Rank, u64, u64) {
        (self.rank, self.ask.due_ms, self.number)
    }
}

/// Requests of one rank that wait at another instance.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct LineEntry {
    /// Name of the service.
    pub service: Name,
    /// Rank of the requests.
    pub rank: Rank,
    /// Their number.
    pub waiting: u32,
}

/// What becomes of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LineDecision {
    /// It goes to this backend server.
    Send {
        /// Number of the request.
        number: u64,
        /// The backend server.
        backend_server: Name,
        /// What the request asks of a model.
        prompt: Arc<PromptFacts>,
    },
    /// It has waited too long.
    GiveUp {
        /// Number of the request.
        number: u64,
    },
}

/// Requests of one service that wait, highest rank first, then the one that is due first.
#[derive(Clone, Debug, Default)]
pub struct WaitingLine {
    /// Share of those that waited and were given up, by rank.
    given_up: Vec<(Rank, f64)>,
    waiting: Vec<Waiting>,
}

impl WaitingLine {
    /// Adds a request.
    pub fn join(&mut self, waiting: Waiting) {
        let index = self.waiting.partition_point(|other| other.place() < waiting.place());
        self.waiting.insert(index, waiting);
    }

    /// Removes a request.
    pub fn leave(&mut self, number: u64) {
        self.waiting.retain(|waiting| waiting.number != number);
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns which share of the requests of a rank that waited of late were given up.
    pub fn given_up_share(&self, rank: Rank) -> f64 {
        let index = self.given_up.binary_search_by_key(&rank, |(known, _)| *known);
        index.map(|index| self.given_up[index].1).unwrap_or_default()
    }

    fn note(&mut self, rank: Rank, given_up: f64) {
        let index = match self.given_up.binary_search_by_key(&rank, |(known, _)| *known) {
            Ok(index) => index,
            Err(index) => {
                self.given_up.insert(index, (rank, 0.0));
                index
            }
        };
        let share = &mut self.given_up[index].1;
        *share += OUTCOME_WEIGHT * (given_up - *share);
    }

    /// Returns the number of requests that go before one of this rank.
    pub fn ahead_of(&self, rank: Rank) -> usize {
        self.waiting.partition_point(|waiting| waiting.rank <= rank)
    }

    /// Returns what other instances should know.
    pub fn entries(&self, service: &Name) -> Vec<LineEntry> {
        let ranks = self.waiting.chunk_by(|left, right| left.rank == right.rank);
        ranks
            .map(|same| LineEntry {
                service: service.clone(),
                rank: same[0].rank,
                waiting: u32::try_from(same.len()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Decides on the next request, if there is one on which to decide now; `ahead` tells how many
    /// requests of other instances go before one of a rank.
    pub fn next<F>(
        &mut self,
        now_ms: u64,
        service: &str,
        backends: &Backends,
        ahead: F,
    ) -> Option<LineDecision>
    where
        F: Fn(Rank) -> usize,
    {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.give_up_ms <= now_ms) {
            let Waiting { number, rank, .. } = self.waiting.remove(index);
            self.note(rank, 1.0);
            return Some(LineDecision::GiveUp { number });
        }
        let first = self.waiting.first()?;
        let (_, free) = backends.slots(now_ms, service);
        if free <= ahead(first.rank) {
            return None;
        }
        match backends.choose_engine(now_ms, service, &first.ask) {
            EngineChoice::Chosen(backend_server) => {
                let Waiting { number, ask, rank, .. } = self.waiting.remove(0);
                self.note(rank, 0.0);
                Some(LineDecision::Send { number, backend_server, prompt: ask.prompt })
            }
            EngineChoice::AllBusy | EngineChoice::NoneUsable => None,
        }
    }
}
