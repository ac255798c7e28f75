//! The answers that this instance keeps for joins, within a memory limit.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::answer_log::AnswerLog;

/// Maximum size of the ended answers that are kept, in bytes; beyond it the oldest are removed.
pub const KEPT_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Answers by the sequence number of their request.
#[derive(Debug, Default)]
pub struct AnswerLogs {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    ended: VecDeque<u64>,
    ended_bytes: usize,
    logs: BTreeMap<u64, Arc<AnswerLog>>,
}

impl AnswerLogs {
    /// Returns the answer of a request.
    pub fn find(&self, sequence: u64) -> Option<Arc<AnswerLog>> {
        self.lock().logs.get(&sequence).cloned()
    }

    /// Removes the answer of a request.
    pub fn remove(&self, sequence: u64) {
        self.lock().remove(sequence);
    }

    /// Starts the answer of a request.
    pub fn open(&self, sequence: u64) -> Arc<AnswerLog> {
        let log = Arc::new(AnswerLog::default());
        self.lock().logs.insert(sequence, log.clone());
        log
    }

    /// Counts an ended answer towards the limit, and removes the oldest ended ones beyond it.
    pub fn settle(&self, sequence: u64) {
        let mut state = self.lock();
        let Some(bytes) = state.logs.get(&sequence).map(|log| log.bytes()) else { return };
        state.ended_bytes += bytes;
        state.ended.push_back(sequence);
        while state.ended_bytes > KEPT_LIMIT_BYTES
            && let Some(oldest) = state.ended.pop_front()
        {
            state.remove(oldest);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl State {
    fn remove(&mut self, sequence: u64) {
        let Some(log) = self.logs.remove(&sequence) else { return };
        if log.is_ended() {
            self.ended_bytes = self.ended_bytes.saturating_sub(log.bytes());
        }
    }
}
