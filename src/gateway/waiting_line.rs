//! Requests of one service that wait for a backend server, in the order in which they get one.

use std::sync::Arc;

use crate::gateway::admission::Rank;
use crate::gateway::backends::{Backends, EngineChoice};
use crate::gateway::request_facts::PromptFacts;
use crate::name::Name;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// When it is given up, in milliseconds of the boot clock.
    pub give_up_ms: u64,
    /// When its answer has to begin to be timely, in milliseconds of the boot clock.
    pub due_ms: u64,
    /// Number of the request at this instance.
    pub number: u64,
    /// What it asks of a model.
    pub prompt: Arc<PromptFacts>,
    /// Rank; the lowest goes first.
    pub rank: Rank,
    /// Backend servers that it was sent to before.
    pub tried: Vec<Name>,
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
    waiting: Vec<Waiting>,
}

impl WaitingLine {
    /// Adds a request.
    pub fn join(&mut self, waiting: Waiting) {
        let place = |other: &Waiting| (other.rank, other.due_ms, other.number);
        let index = self.waiting.partition_point(|other| place(other) < place(&waiting));
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

    /// Decides on the next request, if there is one on which to decide now.
    pub fn next(
        &mut self,
        now_ms: u64,
        service: &str,
        backends: &Backends,
    ) -> Option<LineDecision> {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.give_up_ms <= now_ms) {
            return Some(LineDecision::GiveUp { number: self.waiting.remove(index).number });
        }
        let first = self.waiting.first()?;
        match backends.choose_engine(now_ms, service, &first.prompt, &first.tried) {
            EngineChoice::Chosen(backend_server) => {
                let Waiting { number, prompt, .. } = self.waiting.remove(0);
                Some(LineDecision::Send { number, backend_server, prompt })
            }
            EngineChoice::AllBusy | EngineChoice::NoneUsable => None,
        }
    }
}
