//! The budget of memory for answers that are buffered at the same time.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use bytes::Bytes;

use crate::name::Name;

/// Part of each answer that needs no budget, in bytes, so that short answers pass while long ones
/// use it up.
const UNCOUNTED_BYTES: usize = 16_384;

/// A backend server, and what its answers hold, in bytes.
type ServerBytes = (Name, Weak<AtomicUsize>);

/// Memory for the answers that are buffered at the same time.
///
/// The answers of one backend server may hold as much as they leave free for others, so several that
/// take all they can get still leave a part of the same size.
#[derive(Clone, Debug)]
pub struct AnswerBudget {
    free_bytes: Arc<AtomicUsize>,
    /// What the answers of each backend server hold, in bytes, sorted by server.
    servers: Arc<Mutex<Vec<ServerBytes>>>,
}

impl AnswerBudget {
    /// Creates a budget of this size.
    pub fn new(bytes: usize) -> Self {
        Self { free_bytes: Arc::new(AtomicUsize::new(bytes)), servers: Arc::default() }
    }

    /// Returns the part that is not taken, in bytes.
    pub fn free_bytes(&self) -> usize {
        self.free_bytes.load(Ordering::Relaxed)
    }

    /// Returns the share of one answer, which is empty at first.
    pub fn share(&self) -> BudgetShare {
        BudgetShare { budget: self.clone(), server_bytes: None, taken_bytes: 0 }
    }

    /// Returns the share of one answer of a backend server, which is empty at first.
    pub fn share_of(&self, backend_server: &Name) -> BudgetShare {
        let mut share = self.share();
        share.server_bytes = Some(self.bytes_of(backend_server));
        share
    }

    fn bytes_of(&self, backend_server: &Name) -> Arc<AtomicUsize> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let found = servers.binary_search_by(|(known, _)| known.cmp(backend_server));
        if let Ok(index) = found
            && let Some(bytes) = servers[index].1.upgrade()
        {
            return bytes;
        }
        servers.retain(|(_, bytes)| bytes.strong_count() > 0);
        let index = servers.partition_point(|(known, _)| known < backend_server);
        let bytes = Arc::default();
        servers.insert(index, (backend_server.clone(), Arc::downgrade(&bytes)));
        bytes
    }
}

/// What one answer takes of a budget; it is given back when the share is dropped.
#[derive(Debug)]
pub struct BudgetShare {
    budget: AnswerBudget,
    /// What all answers of the same backend server hold, in bytes.
    server_bytes: Option<Arc<AtomicUsize>>,
    taken_bytes: usize,
}

impl BudgetShare {
    /// Resizes the share to a buffer of this capacity; returns whether the budget allows it, and
    /// leaves the share as it is if not.
    #[must_use]
    pub fn resize(&mut self, capacity_bytes: usize) -> bool {
        let wanted_bytes = capacity_bytes.saturating_sub(UNCOUNTED_BYTES);
        let least_free_bytes = self.least_free_bytes(wanted_bytes);
        let free_bytes = &self.budget.free_bytes;
        let resized = free_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
            let left = (free + self.taken_bytes).checked_sub(wanted_bytes);
            left.filter(|left| *left >= least_free_bytes)
        });
        if resized.is_err() {
            return false;
        }
        if let Some(server_bytes) = &self.server_bytes {
            server_bytes.fetch_add(wanted_bytes, Ordering::Relaxed);
            server_bytes.fetch_sub(self.taken_bytes, Ordering::Relaxed);
        }
        self.taken_bytes = wanted_bytes;
        true
    }

    /// Returns how much of the budget must stay free if this share takes `wanted_bytes`.
    fn least_free_bytes(&self, wanted_bytes: usize) -> usize {
        let grows = wanted_bytes > self.taken_bytes;
        let server_bytes = self.server_bytes.as_ref().filter(|_| grows);
        let held_bytes = server_bytes.map(|bytes| bytes.load(Ordering::Relaxed));
        held_bytes.map(|held| held - self.taken_bytes + wanted_bytes).unwrap_or_default()
    }

    /// Takes the share out, and leaves an empty one of the same backend server.
    pub fn take(&mut self) -> Self {
        let empty = Self {
            budget: self.budget.clone(),
            server_bytes: self.server_bytes.clone(),
            taken_bytes: 0,
        };
        std::mem::replace(self, empty)
    }

    /// Keeps the share until these bytes are dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        if self.taken_bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(CountedBytes { bytes, _share: self })
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        if let Some(server_bytes) = &self.server_bytes {
            server_bytes.fetch_sub(self.taken_bytes, Ordering::Relaxed);
        }
        self.budget.free_bytes.fetch_add(self.taken_bytes, Ordering::Relaxed);
    }
}

struct CountedBytes {
    bytes: Bytes,
    _share: BudgetShare,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why an answer can't be buffered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BufferFull {
    /// Other answers, of its backend server or of all, have used up the budget.
    BudgetUsedUp,
    /// The answer is longer than this number of bytes.
    TooLong(usize),
}

impl fmt::Display for BufferFull {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BudgetUsedUp => {
                write!(
                    formatter,
                    "the answers of its backend server, or of all, have used up the memory for answers"
                )
            }
            Self::TooLong(limit_bytes) => {
                write!(formatter, "it is longer than {limit_bytes} bytes")
            }
        }
    }
}

/// Buffers an answer within a limit and a budget.
///
/// The bytes are copied, since a chunk of a few bytes may keep a large buffer of its connection.
#[derive(Debug)]
pub struct AnswerBuffer {
    bytes: Vec<u8>,
    limit_bytes: usize,
    share: BudgetShare,
}

impl AnswerBuffer {
    /// Creates a buffer for an answer of at most `limit_bytes`.
    pub fn new(budget: &AnswerBudget, limit_bytes: usize) -> Self {
        Self { bytes: Vec::new(), limit_bytes, share: budget.share() }
    }

    /// Creates a buffer for an answer of a backend server, of at most `limit_bytes`.
    pub fn of_server(budget: &AnswerBudget, backend_server: &Name, limit_bytes: usize) -> Self {
        Self { share: budget.share_of(backend_server), ..Self::new(budget, limit_bytes) }
    }

    /// Checks the length that an answer announces.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull::TooLong`] if it exceeds the limit.
    pub fn check_length(&self, bytes: u64) -> Result<(), BufferFull> {
        match usize::try_from(bytes) {
            Ok(bytes) if bytes <= self.limit_bytes => Ok(()),
            _ => Err(BufferFull::TooLong(self.limit_bytes)),
        }
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] if they exceed the limit or the budget.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BufferFull> {
        let length = self.bytes.len() + bytes.len();
        if length > self.limit_bytes {
            return Err(BufferFull::TooLong(self.limit_bytes));
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(2 * self.bytes.capacity()).min(self.limit_bytes);
            if !self.share.resize(capacity) {
                return Err(BufferFull::BudgetUsedUp);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the answer, which takes its share of the budget until it is dropped.
    pub fn into_bytes(self) -> Bytes {
        self.share.attach_to(self.bytes.into())
    }
}
