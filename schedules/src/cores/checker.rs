//! Checks that the cores keep the invariants of each send and each key.

use std::collections::BTreeMap;

use bergamotspan::final_answer::Outcome;
use bergamotspan::name::Name;
use bergamotspan::scheduling::Progress;

use super::node::Node;

/// Time after its deadline within which a waiting request must be answered.
const DEADLINE_SLACK_MS: u64 = 100;

/// State of one send at the instance that received it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendRecord {
    pub answers: u32,
    pub deadline_ms: Option<u64>,
    pub dispatched: bool,
    pub answer_kept: bool,
    pub key: Option<Name>,
    /// Whether the first byte may have been sent.
    pub ran: bool,
}

/// Records violated invariants and completed requests.
#[derive(Debug, Default)]
pub struct Checker {
    /// Requests with a complete answer.
    pub done: u64,
    /// Violated invariants, in the order of time; the first ten are kept.
    pub findings: Vec<String>,
    runs_of_key: BTreeMap<Name, u32>,
}

impl SendRecord {
    pub(crate) fn request(deadline_ms: u64, key: Option<Name>) -> Self {
        Self { deadline_ms: Some(deadline_ms), answer_kept: true, key, ..Self::default() }
    }
}

impl Checker {
    /// Records a final answer, or the answer of another request if there is no outcome.
    pub(crate) fn record_answer(
        &mut self,
        node: &mut Node,
        sequence: u64,
        outcome: Option<Outcome>,
    ) {
        let name = node.name.clone();
        let Some(send) = node.send_mut(sequence) else {
            return self
                .add_finding(format!("{name}: an answer to {sequence}, which was never sent"));
        };
        send.answers += 1;
        let is_second = send.answers > 1;
        let is_false_not_run = outcome == Some(Outcome::NotRun) && send.dispatched;
        if is_second {
            self.add_finding(format!("{name}: a second answer to {sequence}: {outcome:?}"));
        }
        if is_false_not_run {
            self.add_finding(format!(
                "{name}: {sequence} is answered 'not_run' while it is dispatched"
            ));
        }
    }

    pub(crate) fn record_dispatch(&mut self, node: &mut Node, sequence: u64) {
        let name = node.name.clone();
        let instance = node.incarnation_id();
        let Some(send) = node.send_mut(sequence) else {
            return self
                .add_finding(format!("{name}: dispatches {sequence}, which was never sent"));
        };
        let is_again = send.dispatched || send.ran;
        let is_answered = send.answers > 0;
        send.dispatched = true;
        let key = send.key.clone();
        if is_again {
            self.add_finding(format!("{name}: {sequence} is dispatched twice"));
        }
        if is_answered {
            self.add_finding(format!("{name}: {sequence} is dispatched after its answer"));
        }
        // A key counts as run from its dispatch on, until progress shows that nothing was sent.
        let runs = self.runs_of_key.entry(key_of(key, &instance, sequence)).or_default();
        *runs += 1;
        if *runs > 1 {
            self.add_finding(format!("{name}: the key of {sequence} is dispatched twice"));
        }
    }

    /// Records progress of a backend server, before the core receives it.
    pub(crate) fn record_progress(&mut self, node: &mut Node, sequence: u64, progress: &Progress) {
        let name = node.name.clone();
        let instance = node.incarnation_id();
        let Some(send) = node.send_mut(sequence) else { return };
        match progress {
            Progress::Abandoned | Progress::ConnectFailed => {
                send.dispatched = false;
                let key = key_of(send.key.clone(), &instance, sequence);
                self.runs_of_key.entry(key).and_modify(|runs| *runs -= 1);
            }
            _ => {
                send.dispatched = false;
                send.ran = true;
                // The thread that serves the request answers it.
                send.answers += 1;
                let is_second = send.answers > 1;
                self.done += u64::from(matches!(progress, Progress::Finished { .. }));
                if is_second {
                    self.add_finding(format!("{name}: {sequence} ran after its answer"));
                }
            }
        }
    }

    pub(crate) fn check_deadlines(&mut self, node: &Node, now_ms: u64) {
        let is_late = |send: &SendRecord| {
            let limit_ms = send.deadline_ms.map(|deadline_ms| deadline_ms + DEADLINE_SLACK_MS);
            let is_waiting = send.answers == 0 && !send.dispatched;
            is_waiting && limit_ms.is_some_and(|limit_ms| limit_ms < now_ms)
        };
        for (index, _) in node.sends.iter().enumerate().filter(|(_, send)| is_late(send)) {
            self.add_finding(format!("{}: {} waits beyond its deadline", node.name, index + 1));
        }
    }

    /// Checks that a core keeps no state of ended requests and expired keys.
    pub(crate) fn check_leftovers(&mut self, node: &Node, now_ms: u64) {
        let open = node.open_requests(now_ms);
        if node.is_running(now_ms) && open > 0 {
            self.add_finding(format!("{}: {open} requests never end", node.name));
        }
        let remembered = node.remembered_keys(now_ms);
        if node.is_running(now_ms) && remembered > 0 {
            self.add_finding(format!(
                "{}: {remembered} keys stay beyond their lifetime",
                node.name
            ));
        }
        let kept = node.sends.iter().filter(|send| send.answer_kept && send.ran).count();
        if node.is_running(now_ms) && kept > 0 {
            self.add_finding(format!("{}: {kept} answers are never removed", node.name));
        }
    }

    fn add_finding(&mut self, text: String) {
        if self.findings.len() < 10 {
            self.findings.push(text);
        }
    }
}

/// Returns the key, or a unique name for a send without a key.
fn key_of(key: Option<Name>, instance: &str, sequence: u64) -> Name {
    key.unwrap_or_else(|| format!("{instance} {sequence}").into())
}
