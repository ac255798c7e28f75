//! One request at the instance that received it.

use crate::event::Arrival;
use crate::final_answer::Outcome;
use crate::name::Name;
use crate::now::Now;
use crate::request_id::RequestId;
use crate::scheduling::GrantRequest;

/// Maximum number of steps recorded for one request.
const STEP_LIMIT: usize = 24;

/// One request at the instance that received it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as its caller sent it.
    pub arrival: Arrival,
    /// Monotonic time of its arrival, in milliseconds.
    pub arrived_ms: u64,
    /// Monotonic time of its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Backend servers that refused a connection for it.
    pub excluded: Vec<Name>,
    /// Monotonic time of its last grant, in milliseconds.
    pub granted_ms: u64,
    /// Whether the home of its key granted it the key.
    pub holds_key: bool,
    /// Identity.
    pub id: RequestId,
    /// Its state.
    pub state: RequestState,
    /// Steps of its processing, for operators.
    pub steps: Vec<RequestStep>,
    /// Name of its tier.
    pub tier: Name,
    /// Rank of its tier; 0 is the highest.
    pub tier_rank: u8,
}

/// State of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// It waits for the home of its key.
    Claiming {
        /// Monotonic time of the claim, in milliseconds.
        claimed_ms: u64,
        /// The home.
        home: Name,
    },
    /// It waits at the coordinator of its service.
    Waiting {
        /// Monotonic time of the last grant request, in milliseconds.
        requested_ms: u64,
        /// The coordinator.
        coordinator: Option<Name>,
    },
    /// It was dispatched to a backend server.
    Running {
        /// The backend server.
        backend_server: Name,
        /// Output tokens so far.
        output_tokens: u32,
        /// The coordinator that receives its progress.
        coordinator: Name,
    },
    /// It ended.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// Whether it was running when it ended, so that a backend server may have run it.
        ran: bool,
    },
}

/// One step in the processing of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestStep {
    /// Monotonic time, in milliseconds.
    pub at_ms: u64,
    /// What happened, as a short sentence.
    pub text: String,
}

impl Request {
    /// Builds the grant request for this request.
    pub fn grant_request(&self, now: Now) -> GrantRequest {
        GrantRequest {
            customer: self.arrival.customer.clone(),
            excluded: self.excluded.clone(),
            fingerprint: self.arrival.fingerprint,
            max_output_tokens: self.arrival.max_output_tokens,
            prefix_hashes: self.arrival.prefix_hashes.clone(),
            prompt_tokens: self.arrival.prompt_tokens,
            request: self.id.clone(),
            service: self.arrival.service.clone(),
            tier_rank: self.tier_rank,
            time_left_ms: self.deadline_ms.saturating_sub(now.monotonic_ms),
        }
    }

    /// Returns whether the request ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, RequestState::Ended { .. })
    }

    /// Returns whether the request was dispatched to a backend server and has not ended.
    pub fn is_running(&self) -> bool {
        matches!(self.state, RequestState::Running { .. })
    }

    /// Records a step, unless the request has the maximum number of them.
    pub fn add_step<S>(&mut self, now: Now, text: S)
    where
        S: Into<String>,
    {
        if self.steps.len() < STEP_LIMIT {
            self.steps.push(RequestStep { at_ms: now.monotonic_ms, text: text.into() });
        }
    }
}
