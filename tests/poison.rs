//! Tests, with real processes, of the quarantine of a request that crashes every engine it runs at.
//!
//! Without quarantine, each further send of such a request costs one more engine, and the requests
//! that run there.

mod answer_support;
mod support;

use answer_support::{LIMIT_MS, RunningCall};
use standins::caller::{Answer, Outcome};
use standins::fleet::{Fleet, ServiceSpec, wait_until};
use support::{draft, reason};

const ENGINES: [&str; 4] = ["plan-model-1", "plan-model-2", "plan-model-3", "plan-model-4"];
const INSTANCES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const POISON: &str = "a poison that crashes engines";
const TOKENS: u32 = 400;

/// A fleet whose engines crash on one prompt, and harmless requests that run in it.
struct Poisoned {
    fleet: Fleet,
    harmless_calls: Vec<RunningCall>,
    lost_engines: usize,
}

impl Poisoned {
    /// Starts a fleet and a harmless request for each engine.
    fn arrange() -> Self {
        let engines = ServiceSpec::model("plan-model", "plan-13b", ENGINES.len())
            .token_limit_tokens(16_384)
            .prefill_tokens_per_s(20_000)
            .options(&["--crash-on", POISON]);
        let fleet = Fleet::builder()
            .instances(INSTANCES.len())
            .service(engines)
            .setting("peer", "heartbeat_interval_ms", 100)
            .setting("peer", "confirmation_window_ms", 600)
            .start()
            .unwrap();
        let mut poisoned = Self { fleet, harmless_calls: Vec::new(), lost_engines: 0 };
        poisoned.start_harmless_calls();
        poisoned
    }

    fn start_harmless_calls(&mut self) {
        let fleet = &self.fleet;
        self.harmless_calls = (0..ENGINES.len())
            .map(|index| {
                let call = draft(fleet, index % INSTANCES.len(), &harmless_prompt(index), TOKENS);
                RunningCall::begin(call)
            })
            .collect();
        self.harmless_calls.iter().for_each(|call| call.wait_tokens(1));
    }

    /// Waits for the harmless requests; those that lost their engine are sent again.
    fn finish_harmless_calls(&mut self) {
        for (index, call) in std::mem::take(&mut self.harmless_calls).into_iter().enumerate() {
            let (mut answer, _) = call.finish();
            if answer.outcome == Some(Outcome::Unknown) {
                answer = draft(&self.fleet, 1, &harmless_prompt(index), TOKENS).send().unwrap();
            }
            assert!(answer.matches(&harmless_prompt(index)), "{answer:?}");
        }
    }

    fn send(&self, instance: usize) -> Answer {
        draft(&self.fleet, instance, POISON, 20).send().unwrap()
    }

    /// Restarts crashed engines, as the platform does.
    fn restart_crashed(&mut self) {
        for name in ENGINES {
            if !self.fleet.backend(name).unwrap().process.is_running() {
                self.lost_engines += 1;
                self.fleet.restart_backend(name).unwrap();
            }
        }
    }

    fn wait_quarantined(&mut self) {
        for name in INSTANCES {
            wait_until("the request is quarantined", LIMIT_MS, || {
                let status = self.fleet.status(name).unwrap();
                status["quarantined"].as_array().unwrap().len() == 1
            })
            .unwrap();
        }
    }

    fn assert_refused(&self) {
        for instance in 0..INSTANCES.len() {
            let answer = self.send(instance);
            assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
            assert_eq!(reason(&answer), "quarantined");
            assert!(answer.retry_after_ms.is_some_and(|retry_after_ms| retry_after_ms > 0));
        }
    }
}

fn harmless_prompt(index: usize) -> String {
    format!("a harmless draft {index}")
}

#[test]
fn a_request_that_crashes_its_engines_is_quarantined_after_the_second() {
    let mut poisoned = Poisoned::arrange();

    let first = poisoned.send(0);
    poisoned.restart_crashed();
    poisoned.finish_harmless_calls();
    poisoned.start_harmless_calls();
    let second = poisoned.send(1);
    poisoned.restart_crashed();
    poisoned.finish_harmless_calls();

    for answer in [first, second] {
        assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
    }
    poisoned.wait_quarantined();
    poisoned.assert_refused();
    poisoned.restart_crashed();
    assert_eq!(poisoned.lost_engines, 2);
    poisoned.start_harmless_calls();
    poisoned.finish_harmless_calls();
}

#[test]
fn a_suspect_sent_through_all_instances_at_once_costs_one_engine_more() {
    let mut poisoned = Poisoned::arrange();
    poisoned.finish_harmless_calls();
    let first = poisoned.send(0);
    poisoned.restart_crashed();

    let calls: Vec<RunningCall> = (0..2 * INSTANCES.len())
        .map(|index| {
            let instance = index % INSTANCES.len();
            RunningCall::begin(draft(&poisoned.fleet, instance, POISON, 20))
        })
        .collect();
    let outcomes: Vec<Option<Outcome>> =
        calls.into_iter().map(|call| call.finish().0.outcome).collect();
    poisoned.restart_crashed();

    assert_eq!(first.outcome, Some(Outcome::Unknown), "{first:?}");
    let ran = outcomes.iter().filter(|outcome| **outcome == Some(Outcome::Unknown)).count();
    let refused = outcomes.iter().filter(|outcome| **outcome == Some(Outcome::NotRun)).count();
    assert_eq!((ran, refused), (1, 2 * INSTANCES.len() - 1), "{outcomes:?}");
    assert_eq!(poisoned.lost_engines, 2);
    poisoned.wait_quarantined();
    poisoned.assert_refused();
}
