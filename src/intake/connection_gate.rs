//! Brings the decisions of a [`ConnectionTable`] to the tasks of connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::gateway::boot_clock::boot_ms;
use crate::intake::connection_table::{AcceptStep, ConnectionId, ConnectionStage, ConnectionTable};

/// The connections at one address of an instance.
#[derive(Debug)]
pub struct ConnectionGate(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    /// What tells a connection to close, sorted by connection.
    closings: RefCell<Vec<(ConnectionId, Rc<Notify>)>>,
    table: RefCell<ConnectionTable>,
}

/// What became of a connection that asked to be accepted.
#[derive(Debug)]
pub enum Accepted {
    /// It is kept.
    Kept(ConnectionSlot),
    /// It is kept, and another one was told to close.
    Replacing(ConnectionSlot),
    /// It must be closed.
    Refused,
}

impl ConnectionGate {
    /// Creates a gate for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        let table = RefCell::new(ConnectionTable::new(limit));
        Self(Rc::new(Shared { closings: RefCell::default(), table }))
    }

    /// Decides on a new connection.
    pub fn accept(&self) -> Accepted {
        let step = self.0.table.borrow_mut().accept(boot_ms());
        match step {
            AcceptStep::Accept(id) => Accepted::Kept(self.slot(id)),
            AcceptStep::Refuse => Accepted::Refused,
            AcceptStep::Replace { accepted, closed } => {
                self.0.close(closed);
                Accepted::Replacing(self.slot(accepted))
            }
        }
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.0.table.borrow().count()
    }

    fn slot(&self, id: ConnectionId) -> ConnectionSlot {
        let replaced = Rc::new(Notify::new());
        self.0.closings.borrow_mut().push((id, replaced.clone()));
        ConnectionSlot {
            blocked_since_ms: Cell::new(None),
            id,
            replaced,
            shared: self.0.clone(),
            stage: Cell::new(ConnectionStage::Idle),
        }
    }
}

impl Shared {
    fn close(&self, id: ConnectionId) {
        let closings = self.closings.borrow();
        if let Ok(index) = closings.binary_search_by_key(&id, |(known, _)| *known) {
            closings[index].1.notify_one();
        }
    }
}

/// The place of one connection; it is free once the slot is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    blocked_since_ms: Cell<Option<u64>>,
    id: ConnectionId,
    replaced: Rc<Notify>,
    shared: Rc<Shared>,
    /// Stage apart from whether the caller takes bytes.
    stage: Cell<ConnectionStage>,
}

impl ConnectionSlot {
    /// Waits until the connection must give way to another one.
    pub async fn replaced(&self) {
        self.replaced.notified().await;
    }

    /// Records what the connection is at.
    pub fn set_stage(&self, stage: ConnectionStage) {
        self.stage.set(stage);
        self.blocked_since_ms.set(None);
        self.shared.table.borrow_mut().set_stage(boot_ms(), self.id, stage);
    }

    /// Records that bytes of a body have arrived.
    pub fn record_bytes(&self, bytes: usize) {
        self.shared.table.borrow_mut().record_bytes(boot_ms(), self.id, bytes);
    }

    /// Records whether the caller takes bytes of its answer.
    pub fn record_write(&self, is_blocked: bool) {
        if self.blocked_since_ms.get().is_some() == is_blocked {
            return;
        }
        let now_ms = boot_ms();
        self.blocked_since_ms.set(is_blocked.then_some(now_ms));
        let stage = if is_blocked { ConnectionStage::Blocked } else { self.stage.get() };
        self.shared.table.borrow_mut().set_stage(now_ms, self.id, stage);
    }

    /// Returns for how long the caller has taken no bytes of its answer, in milliseconds.
    pub fn blocked_ms(&self) -> u64 {
        let since_ms = self.blocked_since_ms.get();
        since_ms.map(|since_ms| boot_ms().saturating_sub(since_ms)).unwrap_or_default()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.shared.table.borrow_mut().end(self.id);
        let mut closings = self.shared.closings.borrow_mut();
        if let Ok(index) = closings.binary_search_by_key(&self.id, |(known, _)| *known) {
            closings.remove(index);
        }
    }
}
