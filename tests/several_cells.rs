//! Tests of a fleet that is split into several cells, with real processes.

mod support;

use standins::caller::Outcome;
use support::{booking, draft, fresh_key, quick_fleet, wait_eligible};

/// More instances than one cell holds.
const INSTANCES: usize = 12;

#[test]
fn every_instance_serves_drafts_and_bookings() {
    let fleet = quick_fleet(INSTANCES)
        .setting("peer", "heartbeat_interval_ms", 200)
        .setting("peer", "confirmation_window_ms", 1_200)
        .start()
        .unwrap();
    wait_eligible(&fleet);

    for instance in 0..INSTANCES {
        let key = fresh_key();
        let prompt = format!("draft {instance}");
        let booked = booking(&fleet, instance, &key).send().unwrap();
        let again = booking(&fleet, (instance + 5) % INSTANCES, &key).send().unwrap();
        let drafted = draft(&fleet, instance, &prompt, 5).send().unwrap();

        assert_eq!(booked.outcome, Some(Outcome::Done), "{booked:?}");
        assert_eq!(again.outcome, Some(Outcome::Done), "{again:?}");
        assert!(drafted.matches(&prompt), "{drafted:?}");
        assert_eq!(fleet.executions_of_key(&key).unwrap(), 1);
    }
    for instance in &fleet.instances {
        let log = instance.process.log();
        assert!(!log.contains("nothing received for"), "a link was silent:\n{log}");
    }
}
