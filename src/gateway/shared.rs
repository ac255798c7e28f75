//! What the tasks of one instance share.

use std::cell::{Cell, RefCell};

use rand::random;
use tokio::sync::{Notify, oneshot};

use crate::gateway::backend::SendOutcome;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::Connections;
use crate::gateway::counters::Counters;
use crate::gateway::dispatching::{StartedSend, WaitOutcome};
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::state::GatewayState;
use crate::gateway::wire::Wire;

/// Time before the end of a stopping process at which idle connections are closed, in milliseconds.
const IDLE_CLOSE_MS: u64 = 4_500;

/// What the tasks of one instance share; all of them run on one thread.
pub(crate) struct Shared {
    /// Told when there is something that other instances should know soon.
    pub(crate) changed: Notify,
    pub(crate) connections: Connections,
    pub(crate) counters: Counters,
    /// Whether news are being fetched from another instance.
    pub(crate) fetching_update: Cell<bool>,
    pub(crate) in_progress: Cell<usize>,
    /// Told when the store should be read at once.
    pub(crate) read_now: Notify,
    pub(crate) state: RefCell<GatewayState>,
    /// When the process has to have ended, in milliseconds of the boot clock, once it is told to.
    pub(crate) stop_by_ms: Cell<Option<u64>>,
    pub(crate) wire: Box<dyn Wire>,
    waiters: RefCell<Vec<(u64, oneshot::Sender<Option<StartedSend>>)>>,
}

impl Shared {
    pub(crate) fn new(wire: Box<dyn Wire>, settings: GatewaySettings) -> Self {
        let state = GatewayState::new(settings, boot_ms(), random());
        Self {
            changed: Notify::new(),
            connections: Connections::default(),
            counters: Counters::default(),
            fetching_update: Cell::new(false),
            in_progress: Cell::new(0),
            read_now: Notify::new(),
            state: RefCell::new(state),
            stop_by_ms: Cell::new(None),
            wire,
            waiters: RefCell::new(Vec::new()),
        }
    }

    /// Returns where the decision on a request that waits will arrive.
    pub(crate) fn add_waiter(&self, number: u64) -> oneshot::Receiver<Option<StartedSend>> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push((number, sender));
        receiver
    }

    /// Forgets a request that waits no more.
    pub(crate) fn remove_waiter(&self, number: u64) {
        self.waiters.borrow_mut().retain(|(known, _)| *known != number);
    }

    /// Returns whether connections that no request uses are closed, since the process is about to
    /// end and the balancer knows.
    pub(crate) fn closes_idle_connections(&self, now_ms: u64) -> bool {
        self.stop_by_ms.get().is_some_and(|stop_by_ms| now_ms + IDLE_CLOSE_MS >= stop_by_ms)
    }

    /// Decides on requests that wait, and tells them.
    pub(crate) fn dispatch_waiting(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now_ms = boot_ms();
        let outcomes = self.state.borrow_mut().dispatch_waiting(now_ms);
        for wait_outcome in outcomes {
            self.send_outcome(now_ms, wait_outcome);
        }
    }

    fn send_outcome(&self, now_ms: u64, wait_outcome: WaitOutcome) {
        let mut waiters = self.waiters.borrow_mut();
        let index = waiters.iter().position(|(number, _)| *number == wait_outcome.number);
        let undelivered = match index {
            Some(index) => waiters.swap_remove(index).1.send(wait_outcome.sending).err().flatten(),
            None => wait_outcome.sending,
        };
        if let Some(sending) = undelivered {
            let mut state = self.state.borrow_mut();
            let outcome = SendOutcome::Abandoned;
            state.end_send(now_ms, &sending.backend_server, sending.unread_tokens, outcome);
        }
    }
}
