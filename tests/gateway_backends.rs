//! Tests of the state of backend servers, the choice among them and their assignment to cells.

mod gateway_support;

use bergamotspan::gateway::backend::SendOutcome;
use bergamotspan::gateway::backends::{Backends, EngineChoice, RecordChange};
use bergamotspan::gateway::engine_query::{EngineQuery, VersionNeed};
use bergamotspan::gateway::fleet::cells::CellLayout;
use bergamotspan::gateway::fleet::message::LeavingServer;
use bergamotspan::name::Name;

use crate::gateway_support::{START_MS, name, prompt, record};

fn query(prompt_tokens: u64, output_tokens: u64) -> EngineQuery {
    EngineQuery {
        deadline_ms: START_MS + 15_000,
        due_ms: START_MS + 400,
        event_gap_goal_ms: 300,
        prompt: prompt(prompt_tokens, output_tokens).into(),
        tried: Vec::new(),
        version_need: VersionNeed::Any,
    }
}

fn two_engines() -> Backends {
    let mut backends = Backends::default();
    backends.upsert(0, &name("m-1"), record("model", 1));
    backends.upsert(0, &name("m-2"), record("model", 2));
    backends
}

fn chosen(backends: &Backends, query: &EngineQuery) -> Name {
    match backends.choose_engine(START_MS, "model", query) {
        EngineChoice::Chosen(name) => name,
        choice => panic!("{choice:?}"),
    }
}

#[test]
fn an_outdated_record_is_ignored() {
    let mut backends = two_engines();
    let mut leaving = record("model", 1);
    leaving.leaving = true;
    leaving.sequence = 5;
    assert_eq!(backends.upsert(0, &name("m-1"), leaving), RecordChange::Left);
    assert_eq!(backends.upsert(0, &name("m-1"), record("model", 1)), RecordChange::Outdated);
    assert_eq!(chosen(&backends, &query(100, 10)), name("m-2"));
}

#[test]
fn a_record_of_an_older_start_is_ignored_and_one_of_a_newer_start_counts_as_a_restart() {
    let mut backends = two_engines();
    let mut older = record("model", 1);
    (older.born_ms, older.sequence) = (Some(4_000), 99);
    assert_eq!(backends.upsert(0, &name("m-1"), older), RecordChange::Outdated);
    let mut newer = record("model", 1);
    (newer.born_ms, newer.sequence) = (Some(6_000), 0);
    assert_eq!(backends.upsert(0, &name("m-1"), newer), RecordChange::Restarted);
}

#[test]
fn a_removed_backend_server_returns_only_with_a_newer_record() {
    let mut backends = two_engines();
    let mut known = record("model", 1);
    known.sequence = 5;
    backends.upsert(0, &name("m-1"), known.clone());
    assert_eq!(backends.remove(START_MS, "m-1"), RecordChange::Left);
    known.sequence = 4;
    assert_eq!(backends.upsert(0, &name("m-1"), known.clone()), RecordChange::Outdated);
    known.sequence = 6;
    assert_eq!(backends.upsert(0, &name("m-1"), known), RecordChange::Arrived);
}

#[test]
fn full_engines_receive_no_request() {
    let mut backends = two_engines();
    for id in ["m-1", "m-2"] {
        let backend = backends.get_mut(id).expect("a backend server");
        backend.record_send(START_MS, None, 0);
        backend.record_send(START_MS, None, 0);
    }
    let choice = backends.choose_engine(START_MS, "model", &query(100, 10));
    assert_eq!(choice, EngineChoice::AllBusy);
    assert_eq!(backends.slots(START_MS, "model"), (4, 0));
}

#[test]
fn an_unreachable_backend_server_receives_nothing_during_its_backoff() {
    let mut backends = two_engines();
    let backend = backends.get_mut("m-1").expect("a backend server");
    backend.record_send(START_MS, None, 0);
    backend.release(0);
    backend.record_end(START_MS, SendOutcome::Unreachable);
    assert!(!backend.may_serve(START_MS + 200));
    assert!(backend.may_serve(START_MS + 300));
}

#[test]
fn connections_that_fail_together_prolong_a_backoff_once() {
    let mut backends = two_engines();
    let backend = backends.get_mut("m-1").expect("a backend server");
    (0..5).for_each(|at_ms| backend.record_end(START_MS + at_ms, SendOutcome::Unreachable));
    assert!(backend.may_serve(START_MS + 260));
    backend.record_end(START_MS + 260, SendOutcome::Unreachable);
    assert!(!backend.may_serve(START_MS + 750));
    assert!(backend.may_serve(START_MS + 770));
}

#[test]
fn a_large_prompt_avoids_the_engine_with_slow_prefill() {
    let mut backends = two_engines();
    for (id, elapsed_ms, token_ms) in [("m-1", 762.0, 15.0), ("m-2", 162.0, 3.0)] {
        let backend = backends.get_mut(id).expect("a backend server");
        for _ in 0..20 {
            backend.record_send(START_MS, None, 10_000);
            backend.record_first_event(10_000, 10_000, elapsed_ms);
            backend.record_token_interval(token_ms);
            backend.release(0);
            backend.record_end(START_MS, SendOutcome::Answered);
        }
    }
    assert_eq!(chosen(&backends, &query(10_000, 100)), name("m-2"));
}

#[test]
fn a_sent_prompt_part_counts_as_cached() {
    let mut backends = two_engines();
    let sent_prompt = prompt(500, 10);
    let backend = backends.get_mut("m-1").expect("a backend server");
    assert_eq!(backend.uncached_tokens(&sent_prompt), 500);
    backend.record_send(START_MS, Some(&sent_prompt), 500);
    assert_eq!(backend.uncached_tokens(&sent_prompt), 0);
}

#[test]
fn engines_of_a_large_service_are_assigned_to_cells_evenly_and_completely() {
    let cells = 4;
    let mut seen = [0; 40];
    for index in 0..cells {
        let mut backends = Backends::default();
        for number in 0..40_u16 {
            backends.upsert(0, &name(&format!("m-{number:02}")), record("model", number));
        }
        backends.set_layout(&CellLayout { own: index, sizes: vec![20; cells] });
        let mut own = 0;
        for (number, count) in seen.iter_mut().enumerate() {
            let others: Vec<_> = (0..40)
                .filter(|other| *other != number)
                .map(|other| name(&format!("m-{other:02}")))
                .collect();
            let only = EngineQuery { tried: others, ..query(100, 10) };
            if backends.choose_engine(START_MS, "model", &only) != EngineChoice::NoneUsable {
                *count += 1;
                own += 1;
            }
        }
        assert_eq!(own, 10);
    }
    assert!(seen.iter().all(|count| *count == 1));
}

#[test]
fn a_small_service_is_coordinated_by_one_cell_for_all() {
    let home = |own| {
        let mut backends = two_engines();
        backends.set_layout(&CellLayout { own, sizes: vec![20; 4] });
        assert_eq!(backends.slots(START_MS, "model"), (4, 4));
        backends.coordinating_cell("model")
    };
    let homes: Vec<_> = (0..4).map(home).collect();
    assert!(homes.iter().all(|cell| *cell == homes[0] && *cell < 4), "{homes:?}");
}

fn leaving(id: &str) -> LeavingServer {
    LeavingServer { backend_server: name(id), born_ms: Some(5_000) }
}

#[test]
fn a_backend_server_that_announced_its_leaving_gets_nothing_whatever_its_stale_record_says() {
    let mut backends = two_engines();
    assert!(backends.mark_leaving(&leaving("m-1")));
    assert!(!backends.mark_leaving(&leaving("m-1")));
    assert_eq!(chosen(&backends, &query(100, 10)), name("m-2"));
    let mut newer = record("model", 1);
    newer.sequence = 9;
    backends.upsert(0, &name("m-1"), newer);
    assert_eq!(chosen(&backends, &query(100, 10)), name("m-2"));
    assert_eq!(backends.announced_leaving(), [leaving("m-1")]);
}

#[test]
fn a_backend_server_that_announced_its_leaving_returns_with_its_next_start() {
    let mut backends = two_engines();
    backends.mark_leaving(&leaving("m-1"));
    let mut restarted = record("model", 1);
    (restarted.born_ms, restarted.sequence) = (Some(6_000), 0);
    backends.upsert(0, &name("m-1"), restarted);
    assert_eq!(backends.usable().count(), 2);
    // What was said of the start before does not hold for this one.
    assert!(!backends.mark_leaving(&leaving("m-1")));
}

#[test]
fn a_backend_server_that_announced_its_leaving_returns_once_its_record_took_that_back() {
    let mut backends = two_engines();
    backends.mark_leaving(&leaving("m-1"));
    let mut said = record("model", 1);
    (said.leaving, said.sequence) = (true, 2);
    backends.upsert(0, &name("m-1"), said);
    assert_eq!(backends.usable().count(), 1);
    let mut taken_back = record("model", 1);
    taken_back.sequence = 3;
    backends.upsert(0, &name("m-1"), taken_back);
    assert_eq!(backends.usable().count(), 2);
}

#[test]
fn a_backend_server_that_asked_for_a_pause_gets_nothing_before_its_end() {
    let mut backends = two_engines();
    for id in ["m-1", "m-2"] {
        backends.get_mut(id).expect("a backend server").pause(START_MS, 3_000);
    }
    let early = START_MS + 2_999;
    assert_eq!(backends.choose_engine(early, "model", &query(100, 10)), EngineChoice::NoneUsable);
    // The choice for plain requests ignores a back-off if there is no other, but not a pause.
    assert_eq!(backends.choose_plain(early, "model", &[], false), None);
    assert!(backends.choose_plain(START_MS + 3_000, "model", &[], false).is_some());
}

#[test]
fn an_absurd_pause_is_capped() {
    let mut backends = two_engines();
    backends.get_mut("m-1").expect("a backend server").pause(START_MS, u64::MAX);
    assert!(backends.get("m-1").is_some_and(|known| known.may_serve(START_MS + 60_000)));
}
