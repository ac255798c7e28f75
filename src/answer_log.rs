//! The answer to one request, stored as it arrives so that several callers can read it from any
//! offset.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::final_answer::FinalAnswer;
use crate::server_sent_events::with_line_feeds;

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// The answer is complete.
    Done(AnswerTotals),
    /// The answer is incomplete; callers get this final answer.
    Final(FinalAnswer),
}

/// Count and digest of a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerTotals {
    /// SHA-256 over the data of the token events as a stream carries it, each followed by a newline,
    /// in lower-case hex.
    pub digest: String,
    /// Number of token events.
    pub events: usize,
}

/// Result of a read at an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerRead {
    /// The answer ended at the offset.
    End(AnswerEnd),
    /// Token events from the offset on.
    Events(Vec<Arc<str>>),
    /// Nothing new arrived before the timeout.
    Nothing,
}

/// The answer to one request.
#[derive(Debug, Default)]
pub struct AnswerLog {
    changed: Condvar,
    state: Mutex<AnswerState>,
}

#[derive(Debug, Default)]
struct AnswerState {
    bytes: usize,
    end: Option<AnswerEnd>,
    events: Vec<Arc<str>>,
}

/// Computes the totals of a list of token events.
pub fn totals(events: &[Arc<str>]) -> AnswerTotals {
    let mut hasher = Sha256::new();
    for event in events {
        hasher.update(with_line_feeds(event).as_bytes());
        hasher.update(b"\n");
    }
    let digest = hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    AnswerTotals { digest, events: events.len() }
}

impl AnswerLog {
    /// Returns the size of the kept events, in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Ends the answer as complete, unless it ended already, and returns its totals.
    pub fn finish(&self) -> AnswerTotals {
        let mut state = self.lock();
        let totals = totals(&state.events);
        state.end.get_or_insert(AnswerEnd::Done(totals.clone()));
        self.changed.notify_all();
        totals
    }

    /// Ends the answer with the given end, unless it ended already.
    pub fn finish_as(&self, end: AnswerEnd) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_all();
    }

    /// Ends an incomplete answer with a final answer, unless it ended already.
    pub fn finish_with(&self, answer: FinalAnswer) {
        self.finish_as(AnswerEnd::Final(answer));
    }

    /// Returns whether the answer ended.
    pub fn is_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Adds a token event.
    pub fn push(&self, data: Arc<str>) {
        let mut state = self.lock();
        state.bytes += data.len();
        state.events.push(data);
        self.changed.notify_all();
    }

    /// Waits until there are events at an offset or the answer ends, at most for the timeout.
    pub fn read(&self, offset: usize, timeout: Duration) -> AnswerRead {
        let state = self.lock();
        let (state, _) = self
            .changed
            .wait_timeout_while(state, timeout, |state| {
                state.events.len() <= offset && state.end.is_none()
            })
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        match (state.events.get(offset..), &state.end) {
            (Some(events), _) if !events.is_empty() => AnswerRead::Events(events.to_vec()),
            (_, Some(end)) => AnswerRead::End(end.clone()),
            _ => AnswerRead::Nothing,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
