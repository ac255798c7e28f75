//! Tests of the two baseline schedulers.

use bergamotspan::least_outstanding::LeastOutstanding;
use bergamotspan::load_report::LoadReport;
use bergamotspan::round_robin::RoundRobin;
use bergamotspan::scheduling::{Progress, RefusalReason};
use schedules::schedulers::{GrantRequestBuilder, Harness, InventoryBuilder, SERVICE};

fn three_engines() -> InventoryBuilder {
    InventoryBuilder::new().engine("e1", 1_000).engine("e2", 1_000).engine("e3", 1_000)
}

fn round_robin() -> Harness {
    Harness::new(Box::new(RoundRobin::new(SERVICE.into())), three_engines())
}

fn least_outstanding() -> Harness {
    Harness::new(Box::new(LeastOutstanding::new(SERVICE.into())), three_engines())
}

fn granted_servers(harness: &mut Harness, sequences: std::ops::Range<u64>) -> Vec<String> {
    let mut servers = Vec::new();
    for sequence in sequences {
        let granted = harness.request_grant(GrantRequestBuilder::new(sequence)).granted();
        servers.extend(granted.into_iter().map(|(_, server)| server));
    }
    servers
}

#[test]
fn round_robin_takes_servers_in_turn() {
    let mut harness = round_robin();

    let servers = granted_servers(&mut harness, 0..4);

    assert_eq!(servers, ["e1", "e2", "e3", "e1"]);
}

#[test]
fn least_outstanding_chooses_the_server_with_the_fewest_requests() {
    let mut harness = least_outstanding();
    harness.load("e1", LoadReport { running_requests: 2, ..LoadReport::default() });

    let servers = granted_servers(&mut harness, 0..5);

    assert_eq!(servers, ["e2", "e3", "e2", "e3", "e1"]);
}

#[test]
fn least_outstanding_stops_counting_ended_requests() {
    let mut harness = least_outstanding();
    granted_servers(&mut harness, 0..3);

    harness.progress(1, Progress::Finished { cached_tokens: 0, output_tokens: 1 });
    let next = granted_servers(&mut harness, 3..4);

    assert_eq!(next, ["e2"]);
}

#[test]
fn both_skip_leaving_servers() {
    for mut harness in [round_robin(), least_outstanding()] {
        harness.leaving(&["e1", "e3"]);

        let servers = granted_servers(&mut harness, 0..3);

        assert_eq!(servers, ["e2", "e2", "e2"]);
    }
}

#[test]
fn both_skip_a_server_for_a_second_after_a_failed_connection() {
    for mut harness in [round_robin(), least_outstanding()] {
        granted_servers(&mut harness, 0..1);
        harness.progress(0, Progress::ConnectFailed);

        let skipping = granted_servers(&mut harness, 1..5);
        harness.advance(1_000);
        let after = granted_servers(&mut harness, 5..8);

        assert!(!skipping.contains(&"e1".to_owned()), "{skipping:?}");
        assert!(after.contains(&"e1".to_owned()), "{after:?}");
    }
}

#[test]
fn both_refuse_without_a_backend_server() {
    for mut harness in [round_robin(), least_outstanding()] {
        harness.leaving(&["e1", "e2", "e3"]);

        let effects = harness.request_grant(GrantRequestBuilder::new(1));

        assert_eq!(effects.refused(), vec![(1, RefusalReason::NoBackendServer)]);
    }
}

#[test]
fn both_grant_a_request_once_while_it_runs() {
    for mut harness in [round_robin(), least_outstanding()] {
        let first = harness.request_grant(GrantRequestBuilder::new(1));
        let again = harness.request_grant(GrantRequestBuilder::new(1));

        assert_eq!(first.granted().len(), 1);
        assert!(again.is_empty());
    }
}
