//! The next step of an instance that has asked a coordinator for a place.
//!
//! A datagram may be lost and a coordinator may fall silent: the request is repeated once, then
//! another coordinator is asked, and in the end the instance decides alone, so that a request waits
//! no longer for the fleet than a small part of its goal.

use std::net::SocketAddr;

use crate::gateway::fleet::additions::{PlaceNote, ToldAsker};
use crate::gateway::fleet::message::{GrantedPlace, PlaceAsk, PlaceVerdict};
use crate::gateway::fleet::part_evidence::PartRefusal;
use crate::gateway::usage_limits::UsageShortage;

/// Longest time until the first answer, in milliseconds.
const MAX_PATIENCE_MS: u64 = 60;
/// Shortest time until the first answer, in milliseconds.
const MIN_PATIENCE_MS: u64 = 20;
/// Part of the goal that may pass until the first answer.
const PATIENCE_DIVISOR: u64 = 6;
/// Time after which a waiting request asks again whether it still waits, in milliseconds.
const WAITING_PATIENCE_MS: u64 = 200;
/// Number of unanswered datagrams after which a coordinator is given up.
const MAX_UNANSWERED: u32 = 2;

/// A request for a place that has not been decided.
#[derive(Clone, Debug)]
pub struct PendingAsk {
    /// For whom it is.
    pub asker: ToldAsker,
    /// The request for a place.
    pub ask: PlaceAsk,
    /// Whom it is sent to.
    pub to: SocketAddr,
    /// Coordinator of the own cell, unless that is this instance.
    home: Option<SocketAddr>,
    phase: Phase,
    unanswered: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Asking,
    Redirected,
    Waiting,
}

/// What follows an answer, or its absence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskStep {
    /// The instance decides without a coordinator.
    Alone,
    /// This coordinator does not answer; another one is asked.
    Another,
    /// The place may be used.
    Granted(GrantedPlace),
    /// The caller is refused, since its customer has too few units left.
    OverLimit(UsageShortage),
    /// The caller is refused and may retry after this time, in milliseconds.
    Refused(u64),
    /// The request for a place is sent to `to`.
    Send,
    /// The caller is refused, since a part of its prompt may have crashed engines.
    Suspect(PartRefusal),
    /// The answer is awaited.
    Wait,
}

impl PendingAsk {
    /// Returns a request for a place to the coordinator of the own cell.
    pub fn at_home(ask: PlaceAsk, home: SocketAddr) -> Self {
        let asker = ToldAsker::default();
        Self { asker, ask, to: home, home: Some(home), phase: Phase::Asking, unanswered: 0 }
    }

    /// Returns a request to the coordinator of another cell; `home` is asked if that one has no
    /// place, or this instance decides itself.
    pub fn elsewhere(ask: PlaceAsk, to: SocketAddr, home: Option<SocketAddr>) -> Self {
        let ask = PlaceAsk { may_redirect: false, may_wait: false, ..ask };
        let asker = ToldAsker::default();
        Self { asker, ask, to, home, phase: Phase::Redirected, unanswered: 0 }
    }

    /// Returns the same request, made for a customer.
    pub fn asked_for(self, asker: ToldAsker) -> Self {
        Self { asker, ..self }
    }

    /// Returns what is told beside the request.
    pub fn note(&self) -> PlaceNote {
        PlaceNote { asker: Some(self.asker.clone()), ..PlaceNote::default() }
    }

    /// Returns how long the next answer is awaited, in milliseconds.
    pub fn patience_ms(&self) -> u64 {
        match self.phase {
            Phase::Waiting => WAITING_PATIENCE_MS,
            Phase::Asking | Phase::Redirected => {
                (self.ask.goal_ms / PATIENCE_DIVISOR).clamp(MIN_PATIENCE_MS, MAX_PATIENCE_MS)
            }
        }
    }

    /// Returns the step after an answer.
    pub fn on_answer(&mut self, verdict: PlaceVerdict) -> AskStep {
        self.unanswered = 0;
        match (verdict, self.phase) {
            (PlaceVerdict::Granted(place), _) => AskStep::Granted(place),
            (PlaceVerdict::Waiting, Phase::Redirected) => AskStep::Wait,
            (PlaceVerdict::Waiting, _) => {
                self.phase = Phase::Waiting;
                AskStep::Wait
            }
            (PlaceVerdict::Elsewhere(address), Phase::Asking) => {
                let asker = self.asker.clone();
                *self = Self::elsewhere(self.ask.clone(), address, self.home).asked_for(asker);
                AskStep::Send
            }
            (PlaceVerdict::Elsewhere(_), _) => AskStep::Wait,
            (PlaceVerdict::NotCoordinating | PlaceVerdict::Refused(_), Phase::Redirected) => {
                self.return_home()
            }
            (PlaceVerdict::OverLimit(shortage), _) => AskStep::OverLimit(shortage),
            (PlaceVerdict::NotCoordinating, _) => AskStep::Another,
            (PlaceVerdict::Refused(wait_ms), _) => AskStep::Refused(wait_ms),
            (PlaceVerdict::Suspect(refusal), _) => AskStep::Suspect(refusal),
        }
    }

    /// Returns the step after no answer came in time.
    pub fn on_silence(&mut self) -> AskStep {
        self.unanswered += 1;
        match self.phase {
            Phase::Redirected => self.return_home(),
            _ if self.unanswered < MAX_UNANSWERED => AskStep::Send,
            _ => AskStep::Another,
        }
    }

    fn return_home(&mut self) -> AskStep {
        let Some(home) = self.home else { return AskStep::Alone };
        self.ask.may_wait = true;
        self.to = home;
        self.phase = Phase::Asking;
        self.unanswered = 0;
        AskStep::Send
    }
}
