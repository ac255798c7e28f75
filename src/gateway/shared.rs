//! The state, connections and counters that the tasks of one instance share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use log::{info, warn};
use rand::random;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};

use crate::gateway::admission::RefusalReason;
use crate::gateway::answer_budget::{AnswerBudget, AnswerBuffer};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::Connections;
use crate::gateway::counters::Counters;
use crate::gateway::crash_records::CrashNotice;
use crate::gateway::dispatching::{SendEnd, WaitOutcome, WaitResult};
use crate::gateway::engine_paths::EnginePaths;
use crate::gateway::fleet::additions::ToldQueue;
use crate::gateway::fleet::cold_servers::ColdNotice;
use crate::gateway::fleet::message::PlaceVerdict;
use crate::gateway::fleet::origin_message::OriginAnswer;
use crate::gateway::fleet::pending_origin::OriginSource;
use crate::gateway::fleet_dialer::FleetDialer;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::origin_finder::{OriginAsker, OriginReport};
use crate::gateway::peer_socket;
use crate::gateway::place_finder::Asker;
use crate::gateway::state::GatewayState;
use crate::gateway::wire::Wire;
use crate::intake::body_budget::BodyBudget;
use crate::intake::closing_cause::ClosingCause;
use crate::intake::connection_gate::{Accepted, ConnectionGate, ConnectionSlot};
use crate::intake::log_limit::LogLimit;
use crate::name::Name;

/// Time before the end of a stopping process at which idle connections are closed, in milliseconds.
const IDLE_CLOSE_MS: u64 = 4_500;

/// Memory for the answers of backend servers that are buffered at the same time, in bytes.
const ANSWER_BUDGET_BYTES: usize = 32 * 1_048_576;
/// Longest answer of a backend server that is read completely before it is passed on, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 * 1_048_576;

/// State, connections and counters of one instance; all its tasks run on one thread.
pub(crate) struct Shared {
    pub(crate) answer_budget: AnswerBudget,
    askers: RefCell<Vec<(u64, Asker)>>,
    pub(crate) body_budget: BodyBudget,
    pub(crate) caller_gate: ConnectionGate,
    pub(crate) connections: Connections,
    pub(crate) counters: Counters,
    pub(crate) in_progress: Cell<usize>,
    pub(crate) log_limit: RefCell<LogLimit>,
    origin_askers: RefCell<Vec<(u64, OriginAsker)>>,
    pub(crate) paths: RefCell<EnginePaths>,
    /// Notified when the store should be read at once.
    pub(crate) read_now: Notify,
    /// Notified when reports should be sent to other instances soon.
    pub(crate) report_soon: Notify,
    /// Connections to backend servers that are relayed for other instances.
    pub(crate) relayed: Cell<usize>,
    socket: Rc<UdpSocket>,
    pub(crate) state: RefCell<GatewayState>,
    /// When a stopping process must have exited, in milliseconds of the boot clock.
    pub(crate) stop_by_ms: Cell<Option<u64>>,
    /// Whether a stopping process is about to exit.
    exits_soon: watch::Sender<bool>,
    pub(crate) wire: Box<dyn Wire>,
    waiters: RefCell<Vec<(u64, oneshot::Sender<WaitResult>)>>,
}

impl Shared {
    /// Returns the shared state, which knows itself as `shared`.
    pub(crate) fn new(
        shared: Weak<Self>,
        wire: Box<dyn Wire>,
        settings: GatewaySettings,
        socket: Rc<UdpSocket>,
    ) -> Self {
        let body_budget = BodyBudget::new(settings.intake.body_memory_bytes);
        let caller_gate = ConnectionGate::new(settings.intake.connections);
        let state = GatewayState::new(settings, boot_ms(), random());
        Self {
            answer_budget: AnswerBudget::new(ANSWER_BUDGET_BYTES),
            askers: RefCell::default(),
            body_budget,
            caller_gate,
            connections: Connections::new(Box::new(FleetDialer::new(shared))),
            counters: Counters::default(),
            in_progress: Cell::new(0),
            log_limit: RefCell::default(),
            origin_askers: RefCell::default(),
            paths: RefCell::default(),
            read_now: Notify::new(),
            relayed: Cell::new(0),
            report_soon: Notify::new(),
            socket,
            state: RefCell::new(state),
            stop_by_ms: Cell::new(None),
            exits_soon: watch::Sender::new(false),
            wire,
            waiters: RefCell::new(Vec::new()),
        }
    }

    /// Returns an empty buffer for an answer of a backend server.
    pub(crate) fn answer_buffer(&self, backend_server: &Name) -> AnswerBuffer {
        AnswerBuffer::of_server(&self.answer_budget, backend_server, ANSWER_LIMIT_BYTES)
    }

    /// Decides on a new connection at an address; `None` if it must be closed.
    pub(crate) fn accept(
        &self,
        gate: &ConnectionGate,
        address: &'static str,
    ) -> Option<ConnectionSlot> {
        match gate.accept() {
            Accepted::Kept(slot) => Some(slot),
            Accepted::Refused => {
                self.record_closing(gate, address, ClosingCause::NoRoom);
                None
            }
            Accepted::Replacing(slot) => {
                self.record_closing(gate, address, ClosingCause::Replaced);
                Some(slot)
            }
        }
    }

    /// Counts and logs a connection that the instance closes for its limits.
    pub(crate) fn record_closing(
        &self,
        gate: &ConnectionGate,
        address: &'static str,
        cause: ClosingCause,
    ) {
        self.counters.record_closing(address, cause);
        let Some(left_out) = self.log_limit.borrow_mut().begin_line(boot_ms(), cause.name()) else {
            return;
        };
        info!(
            target: "callers",
            address,
            cause = cause.name(),
            connections = gate.count(),
            left_out;
            "Connection closed by a limit."
        );
    }

    /// Returns how many lines on refusals like this one were left out before it; `None` if its own is
    /// left out too.
    pub(crate) fn begin_refusal_line(&self, now_ms: u64, reason: RefusalReason) -> Option<u64> {
        match reason.leaves_body_unread() {
            true => self.log_limit.borrow_mut().begin_line(now_ms, reason.name()),
            false => Some(0),
        }
    }

    /// Returns the memory that buffered answers hold, in bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        ANSWER_BUDGET_BYTES.saturating_sub(self.answer_budget.free_bytes())
    }

    /// Returns the channel that receives the decision on a waiting request.
    pub(crate) fn add_waiter(&self, number: u64) -> oneshot::Receiver<WaitResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push((number, sender));
        receiver
    }

    /// Returns the number of requests that await a decision of this instance.
    pub(crate) fn waiter_count(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Removes the channel of a request that no longer waits.
    pub(crate) fn remove_waiter(&self, number: u64) {
        self.waiters.borrow_mut().retain(|(known, _)| *known != number);
    }

    /// Returns the channel that receives the answers to a request for a place.
    pub(crate) fn add_asker(
        &self,
        number: u64,
    ) -> flume::Receiver<(PlaceVerdict, Option<ToldQueue>)> {
        let (sender, receiver) = flume::unbounded();
        self.askers.borrow_mut().push((number, sender));
        receiver
    }

    /// Removes the channel of a request for a place.
    pub(crate) fn remove_asker(&self, number: u64) {
        self.askers.borrow_mut().retain(|(known, _)| *known != number);
    }

    /// Delivers an answer to a request for a place; returns it if nobody waits for it.
    pub(crate) fn deliver_answer(
        &self,
        number: u64,
        verdict: PlaceVerdict,
        queue: Option<ToldQueue>,
    ) -> Option<PlaceVerdict> {
        let askers = self.askers.borrow();
        match askers.iter().find(|(known, _)| *known == number) {
            Some((_, asker)) => {
                asker.send((verdict, queue)).err().map(|undelivered| undelivered.into_inner().0)
            }
            None => Some(verdict),
        }
    }

    /// Returns the channel that receives the answers to a question for the origin of a stream.
    pub(crate) fn add_origin_asker(&self, number: u64) -> flume::Receiver<OriginReport> {
        let (sender, receiver) = flume::unbounded();
        self.origin_askers.borrow_mut().push((number, sender));
        receiver
    }

    /// Removes the channel of a question for the origin of a stream.
    pub(crate) fn remove_origin_asker(&self, number: u64) {
        self.origin_askers.borrow_mut().retain(|(known, _)| *known != number);
    }

    /// Delivers an answer to a question for the origin of a stream, if it is still awaited.
    pub(crate) fn deliver_origin(&self, from: SocketAddr, answer: OriginAnswer) {
        let OriginAnswer { number, origin, is_only } = answer;
        let source = if is_only { OriginSource::OnlyVersion } else { OriginSource::Home };
        let report: OriginReport = (from, origin.map(|origin| (origin.into(), source)));
        let mut askers = self.origin_askers.borrow_mut();
        askers.retain(|(known, asker)| *known != number || asker.send(report.clone()).is_ok());
    }

    /// Sends the datagrams that the state has for other instances.
    pub(crate) fn flush(&self) {
        peer_socket::send_outbox(self, &self.socket);
    }

    /// Has requests whose answer has not begun answered, since the process is about to exit.
    pub(crate) fn end_requests(&self) {
        self.exits_soon.send_replace(true);
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn exit_soon(&self) {
        // The sender lives as long as this.
        drop(self.exits_soon.subscribe().wait_for(|exits_soon| *exits_soon).await);
    }

    /// Returns whether idle connections of callers are closed, since the process is about to exit
    /// and the balancer has stopped sending to it.
    pub(crate) fn closes_idle_connections(&self, now_ms: u64) -> bool {
        self.stop_by_ms.get().is_some_and(|stop_by_ms| now_ms + IDLE_CLOSE_MS >= stop_by_ms)
    }

    /// Decides on waiting requests and sends them, and other instances, the outcomes.
    pub(crate) fn dispatch_waiting(&self) {
        let now_ms = boot_ms();
        let outcomes = self.state.borrow_mut().dispatch_waiting(now_ms);
        log_handover(&outcomes);
        for wait_outcome in outcomes {
            self.send_outcome(now_ms, wait_outcome);
        }
        self.flush();
        self.log_crashes();
        self.log_standing_changes();
        self.log_cold_changes();
    }

    fn log_standing_changes(&self) {
        let changes = self.state.borrow_mut().take_standing_changes();
        for change in changes {
            self.report_soon.notify_one();
            self.counters.record_standing_change(change.is_ejected);
            info!(
                target: "outliers",
                backend_server = &*change.backend_server,
                ejected = change.is_ejected,
                failures = change.failures,
                outcomes = change.outcomes,
                ejected_for_ms = change.ejected_for_ms;
                "Backend server ejected or trusted again."
            );
        }
    }

    fn log_cold_changes(&self) {
        let notices = self.state.borrow_mut().take_cold_notices();
        for notice in notices {
            match notice {
                ColdNotice::Turned { backend_server, is_from_record, left_ms, requests_per_s } => {
                    self.counters.record_cold_change(left_ms.is_some());
                    info!(
                        target: "limits",
                        backend_server = &*backend_server,
                        is_from_record,
                        left_ms,
                        requests_per_s;
                        "Backend server turned cold or warm."
                    );
                }
                ColdNotice::Unreadable { backend_server } => warn!(
                    target: "limits",
                    backend_server = &*backend_server;
                    "How long a backend server stays cold can't be read; the rest of its record holds."
                ),
            }
        }
    }

    fn log_crashes(&self) {
        let notices = self.state.borrow_mut().take_crash_notices();
        if !notices.is_empty() {
            self.report_soon.notify_one();
        }
        for notice in notices {
            match notice {
                CrashNotice::PartChanged(change) => {
                    self.counters.record_part_change(change.stage);
                    info!(
                        target: "crash",
                        part = part_id(change.part),
                        stage = change.stage.name(),
                        crashes = change.backend_servers.len(),
                        backend_servers:? = change.backend_servers,
                        reported_by = change.reported_by.as_deref();
                        "Prompt part suspected, quarantined or released."
                    );
                }
                CrashNotice::Crashed {
                    backend_server,
                    confirmed_after_ms,
                    fingerprint,
                    unstarted_parts,
                } => info!(
                    target: "crash",
                    backend_server = &*backend_server,
                    confirmed_after_ms,
                    fingerprint,
                    unstarted_parts:? = unstarted_parts.into_iter().map(part_id).collect::<Vec<_>>();
                    "Backend server crashed under a request."
                ),
            }
        }
    }

    fn send_outcome(&self, now_ms: u64, wait_outcome: WaitOutcome) {
        let mut waiters = self.waiters.borrow_mut();
        let index = waiters.iter().position(|(number, _)| *number == wait_outcome.number);
        let undelivered = match index {
            Some(index) => waiters.swap_remove(index).1.send(wait_outcome.result).err(),
            None => Some(wait_outcome.result),
        };
        if let Some(WaitResult::Sent(started_send)) = undelivered {
            self.state.borrow_mut().end_send(now_ms, &started_send, &SendEnd::unused());
        }
    }
}

fn log_handover(outcomes: &[WaitOutcome]) {
    let moved = outcomes.iter().filter(|outcome| outcome.result == WaitResult::Moved).count();
    if moved > 0 {
        info!(target: "peers", requests = moved; "Waiting requests ask another coordinator.");
    }
}

/// Returns the id of a prompt part as callers write it.
fn part_id(part: u64) -> String {
    format!("{part:x}")
}
