//! The state, connections and counters that the tasks of one instance share.

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

/// State, connections and counters of one instance; all its tasks run on one thread.
pub(crate) struct Shared {
    /// Notified when a digest should be sent to other instances soon.
    pub(crate) changed: Notify,
    pub(crate) connections: Connections,
    pub(crate) counters: Counters,
    /// Whether a store update is being fetched from another instance.
    pub(crate) fetching_update: Cell<bool>,
    pub(crate) in_progress: Cell<usize>,
    /// Notified when the store should be read at once.
    pub(crate) read_now: Notify,
    pub(crate) state: RefCell<GatewayState>,
    /// When a stopping process must have exited, in milliseconds of the boot clock.
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

    /// Returns the channel that receives the decision on a waiting request.
    pub(crate) fn add_waiter(&self, number: u64) -> oneshot::Receiver<Option<StartedSend>> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push((number, sender));
        receiver
    }

    /// Removes the channel of a request that no longer waits.
    pub(crate) fn remove_waiter(&self, number: u64) {
        self.waiters.borrow_mut().retain(|(known, _)| *known != number);
    }

    /// Returns whether idle connections of callers are closed, since the process is about to exit
    /// and the balancer has stopped sending to it.
    pub(crate) fn closes_idle_connections(&self, now_ms: u64) -> bool {
        self.stop_by_ms.get().is_some_and(|stop_by_ms| now_ms + IDLE_CLOSE_MS >= stop_by_ms)
    }

    /// Decides on waiting requests and sends them the outcomes.
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
            Some(index) => {
                waiters.swap_remove(index).1.send(wait_outcome.started_send).err().flatten()
            }
            None => wait_outcome.started_send,
        };
        if let Some(started_send) = undelivered {
            let mut state = self.state.borrow_mut();
            let outcome = SendOutcome::Abandoned;
            state.end_send(
                now_ms,
                &started_send.backend_server,
                started_send.unread_tokens,
                outcome,
            );
        }
    }
}
