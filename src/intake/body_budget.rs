//! Brings the decisions of a [`BodyLedger`] to the tasks that read bodies.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::intake::body_ledger::{BodyId, BodyLedger, GrowStep};

/// The memory for all request bodies of an instance.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    freed: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// What tells a body that it was evicted, sorted by body.
    evictions: Vec<(BodyId, Arc<Notify>)>,
    ledger: BodyLedger,
}

impl BodyBudget {
    /// Creates a budget of this size.
    pub fn new(budget_bytes: usize) -> Self {
        let state = State { evictions: Vec::new(), ledger: BodyLedger::new(budget_bytes) };
        Self(Arc::new(Shared { freed: Notify::new(), state: Mutex::new(state) }))
    }

    /// Returns the memory that bodies hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.lock().ledger.held_bytes()
    }

    /// Returns the share of a body that begins to arrive.
    pub fn begin(&self, now_ms: u64) -> BodyShare {
        let evicted = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.ledger.begin(now_ms);
        state.evictions.push((id, evicted.clone()));
        BodyShare { budget: self.clone(), evicted, id }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one body takes of a budget; it is given back when the share is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: BodyBudget,
    evicted: Arc<Notify>,
    id: BodyId,
}

impl BodyShare {
    /// Takes memory for a buffer of this capacity, and waits for evicted bodies to free theirs;
    /// returns whether there is enough.
    pub async fn grow<N>(&self, now_ms: N, capacity_bytes: usize) -> bool
    where
        N: Fn() -> u64,
    {
        loop {
            let freed = self.budget.0.freed.notified();
            let step = self.budget.lock().grow(now_ms(), self.id, capacity_bytes);
            match step {
                GrowStep::Evict(_) => {}
                GrowStep::Granted => return true,
                GrowStep::Refused => return false,
                GrowStep::Wait => tokio::select! {
                    () = freed => {}
                    () = self.evicted() => return false,
                },
            }
        }
    }

    /// Records that bytes have arrived.
    pub fn record_bytes(&self, now_ms: u64, bytes: usize) {
        self.budget.lock().ledger.record_bytes(now_ms, self.id, bytes);
    }

    /// Waits until the body must free its memory.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Keeps the memory of a body that has arrived until its bytes are dropped; `None` if it must
    /// free it.
    pub fn complete(self, bytes: Vec<u8>) -> Option<Bytes> {
        let is_kept = self.budget.lock().ledger.complete(self.id);
        is_kept.then(|| Bytes::from_owner(CountedBody { bytes, _share: self }))
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.lock().end(self.id);
        self.budget.0.freed.notify_waiters();
    }
}

impl State {
    fn end(&mut self, id: BodyId) {
        self.ledger.end(id);
        if let Ok(index) = self.evictions.binary_search_by_key(&id, |(known, _)| *known) {
            self.evictions.remove(index);
        }
    }

    fn grow(&mut self, now_ms: u64, id: BodyId, capacity_bytes: usize) -> GrowStep {
        let step = self.ledger.grow(now_ms, id, capacity_bytes);
        if let GrowStep::Evict(victim) = step
            && let Ok(index) = self.evictions.binary_search_by_key(&victim, |(known, _)| *known)
        {
            self.evictions[index].1.notify_one();
        }
        step
    }
}

/// A complete body; its bytes are dropped before its share.
struct CountedBody {
    bytes: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
