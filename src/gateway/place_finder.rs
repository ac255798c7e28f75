//! Finds a place for a request: asks the coordinator of its cell, or has this instance decide.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::gateway::admission::{Refusal, RefusalReason, RequestPlan};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::dispatching::{DispatchDecision, SendEnd, StartedSend, WaitResult};
use crate::gateway::fleet::additions::ToldQueue;
use crate::gateway::fleet::message::{Body, PlaceVerdict};
use crate::gateway::fleet::pending_ask::{AskStep, PendingAsk};
use crate::gateway::fleet::placing::Placement;
use crate::gateway::shared::Shared;
use crate::name::Name;

/// Number of coordinators that are asked before the instance decides alone.
const MAX_COORDINATORS: u32 = 2;

/// Returns a started send for a request; waits in a queue if no place is free.
///
/// # Errors
///
/// Returns the refusal if it would not be served in time.
pub(crate) async fn find_place(
    shared: &Rc<Shared>,
    plan: &mut RequestPlan,
    tried: &[Name],
) -> Result<StartedSend, Refusal> {
    let mut asked = 0;
    while asked < MAX_COORDINATORS {
        let placement = shared.state.borrow_mut().find_place(boot_ms(), plan, tried)?;
        let ask = match placement {
            Placement::Decided(decision) => match await_decision(shared, plan, decision).await {
                Some(result) => return result,
                None => {
                    asked += 1;
                    continue;
                }
            },
            Placement::Ask(ask) => ask,
            Placement::Await(wait_ms) => {
                sleep(Duration::from_millis(wait_ms)).await;
                continue;
            }
        };
        asked += 1;
        match ask_coordinator(shared, plan, *ask).await {
            Asked::Decided(result) => return result,
            Asked::Alone => break,
            Asked::Unanswered => {}
        }
    }
    let decision = shared.state.borrow_mut().decide_alone(boot_ms(), plan, tried)?;
    let result = await_decision(shared, plan, decision).await;
    result.unwrap_or_else(|| Err(expired(shared, plan)))
}

/// Outcome of asking a coordinator.
enum Asked {
    Alone,
    Decided(Result<StartedSend, Refusal>),
    Unanswered,
}

/// Gives back a place that was asked for, unless it is used.
struct AskGuard<'a> {
    number: u64,
    shared: &'a Shared,
    /// Coordinators that may have granted it.
    to: Vec<SocketAddr>,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.shared.remove_asker(self.number);
        for to in std::mem::take(&mut self.to) {
            self.shared.state.borrow_mut().abandon_place(to, self.number);
        }
        self.shared.flush();
    }
}

async fn ask_coordinator(
    shared: &Rc<Shared>,
    plan: &mut RequestPlan,
    mut ask: PendingAsk,
) -> Asked {
    let number = ask.ask.number;
    let answers = shared.add_asker(number);
    let mut guard = AskGuard { number, shared, to: vec![ask.to] };
    let mut step = AskStep::Send;
    let mut queue = None;
    loop {
        match step {
            AskStep::Send => {
                send_ask(shared, plan, &mut ask);
                if !guard.to.contains(&ask.to) {
                    guard.to.push(ask.to);
                }
            }
            AskStep::Wait => {}
            AskStep::Granted(place) => {
                let mut state = shared.state.borrow_mut();
                if !state.may_accept(plan, &place) {
                    shared.counters.record_held_back();
                    return Asked::Alone;
                }
                guard.to.retain(|to| *to != ask.to);
                let started_send = state.accept_place(boot_ms(), plan, &ask, place);
                return Asked::Decided(Ok(started_send));
            }
            AskStep::OverLimit(shortage) => {
                guard.to.clear();
                return Asked::Decided(Err(Refusal::over_limit(shortage)));
            }
            AskStep::Refused(wait_ms) => {
                guard.to.clear();
                return Asked::Decided(Err(Refusal { queue, ..not_in_time(wait_ms) }));
            }
            AskStep::Suspect(refusal) => {
                guard.to.clear();
                return Asked::Decided(Err(Refusal::for_parts(refusal)));
            }
            AskStep::Another => {
                shared.state.borrow_mut().suspect_coordinator(boot_ms(), ask.to);
                return Asked::Unanswered;
            }
            AskStep::Alone => return Asked::Alone,
        }
        let limit = Duration::from_millis(ask.patience_ms());
        step = match timeout(limit, answers.recv_async()).await {
            Ok(Ok((verdict, told))) => {
                queue = told;
                ask.on_answer(verdict)
            }
            Ok(Err(_)) | Err(_) => ask.on_silence(),
        };
    }
}

fn send_ask(shared: &Shared, plan: &RequestPlan, ask: &mut PendingAsk) {
    let now_ms = boot_ms();
    let due_ms = plan.wanted_ms + plan.route.goal_ms;
    ask.ask.due_left_ms = due_ms.saturating_sub(now_ms);
    ask.ask.deadline_left_ms = plan.deadline_ms.saturating_sub(now_ms);
    let body = Body::Ask(Box::new(ask.ask.clone()));
    shared.state.borrow_mut().fleet_mut().send_with_note(ask.to, body, ask.note());
    shared.flush();
}

/// Removes a request from the queue when it stops waiting or its caller disconnects, and gives back
/// a place that was granted and not taken.
struct QueueGuard<'a> {
    number: u64,
    outcome: oneshot::Receiver<WaitResult>,
    plan: &'a RequestPlan,
    shared: &'a Shared,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.shared.remove_waiter(self.number);
        self.shared.state.borrow_mut().remove_waiting(&self.plan.service, self.number);
        if let Ok(WaitResult::Sent(started_send)) = self.outcome.try_recv() {
            let end = SendEnd::unused();
            self.shared.state.borrow_mut().end_send(boot_ms(), &started_send, &end);
            self.shared.dispatch_waiting();
        }
    }
}

/// Returns what became of a request; `None` if another instance decides on it now.
async fn await_decision(
    shared: &Rc<Shared>,
    plan: &RequestPlan,
    decision: DispatchDecision,
) -> Option<Result<StartedSend, Refusal>> {
    let number = match decision {
        DispatchDecision::Send(started_send) => return Some(Ok(started_send)),
        DispatchDecision::Reject(wait_ms) => return Some(Err(not_in_time(wait_ms))),
        DispatchDecision::Suspect(refusal) => return Some(Err(Refusal::for_parts(refusal))),
        DispatchDecision::Wait(number) => number,
    };
    let mut guard = QueueGuard { number, outcome: shared.add_waiter(number), plan, shared };
    Some(match (&mut guard.outcome).await {
        Ok(WaitResult::Sent(started_send)) => Ok(started_send),
        Ok(WaitResult::Suspect(refusal)) => Err(Refusal::for_parts(refusal)),
        Ok(WaitResult::Moved) => return None,
        Ok(WaitResult::Expired) | Err(_) => Err(expired(shared, plan)),
    })
}

fn expired(shared: &Shared, plan: &RequestPlan) -> Refusal {
    not_in_time(shared.state.borrow().retry_after_ms(boot_ms(), plan.deadline_ms))
}

fn not_in_time(wait_ms: u64) -> Refusal {
    Refusal::retryable(RefusalReason::NotInTime, wait_ms)
}

/// Delivers the answers to requests for places.
pub(crate) type Asker = flume::Sender<(PlaceVerdict, Option<ToldQueue>)>;
