//! Capacity trial: cost of a configuration change by the size of the document.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::fit::Point;
use super::series::Series;
use super::usage::Usage;
use crate::fleet::{BackendServerRow, Fleet, FleetError, ServiceSpec, wait_until};

const ADOPTION_LIMIT_MS: u64 = 15_000;
const PREFILL_TOKENS_PER_S: u32 = 50_000;
const SERVICE: &str = "desk";
const TOKEN_LIMIT_TOKENS: u32 = 16_384;
const VARIED_QUANTITY: &str = "backend servers in the document";

struct Measurement {
    adoption_ms: f64,
    control_us_per_change: f64,
    document_bytes: f64,
    resident_kb: f64,
    servers: f64,
}

/// Measures one instance that adopts documents of a plain service with a growing number of servers.
pub(super) fn run(
    counts: &[usize],
    changes: u32,
    change_interval: Duration,
) -> Result<Vec<Series>, FleetError> {
    let service = ServiceSpec::plain(SERVICE, 1)
        .prefill_tokens_per_s(PREFILL_TOKENS_PER_S)
        .token_limit_tokens(TOKEN_LIMIT_TOKENS);
    let mut fleet = Fleet::builder().instances(1).service(service).start()?;
    let mut measurements = Vec::new();
    for count in counts {
        measurements.push(measure(&mut fleet, *count, changes, change_interval)?);
    }
    let series = |name: &str, value: fn(&Measurement) -> f64| {
        let points = measurements.iter().map(|item| Point { x: item.servers, y: value(item) });
        Series::new(VARIED_QUANTITY, name, points.collect())
    };
    Ok(vec![
        series("document, bytes", |item| item.document_bytes),
        series("one change, us of processor of control", |item| item.control_us_per_change),
        series("one change, ms until in force", |item| item.adoption_ms),
        series("resident memory, kB", |item| item.resident_kb),
    ])
}

fn measure(
    fleet: &mut Fleet,
    count: usize,
    changes: u32,
    change_interval: Duration,
) -> Result<Measurement, FleetError> {
    let rows = &mut fleet.inventory.backend_servers;
    for number in rows.len()..count {
        rows.push(BackendServerRow {
            name: format!("{SERVICE}-{number:05}"),
            service: SERVICE.to_owned(),
            data_centre: "dc-a".to_owned(),
            address: unused_address(number),
            token_limit_tokens: Some(TOKEN_LIMIT_TOKENS),
            prefill_tokens_per_s: Some(PREFILL_TOKENS_PER_S),
            leaving: false,
            fencing: false,
        });
    }
    let started_at = Instant::now();
    fleet.publish()?;
    wait_until_adopted(fleet)?;
    let adoption_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    let process_id = fleet.instances[0].process.id();
    let before = Usage::read(process_id);
    for _ in 0..changes {
        fleet.publish()?;
        thread::sleep(change_interval);
    }
    let after = Usage::read(process_id);
    let changes = f64::from(changes);
    Ok(Measurement {
        adoption_ms,
        control_us_per_change: (after.control_ns - before.control_ns) as f64 / 1_000.0 / changes,
        document_bytes: fleet.inventory.render().len() as f64,
        resident_kb: after.resident_kb as f64,
        servers: count as f64,
    })
}

/// Returns an address, different for each number, at which nothing listens.
fn unused_address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([127, 9, high, low], 9))
}

/// Waits until the instance has adopted the current document.
///
/// Not for use while the processor time of a change is measured: each status request costs the
/// instance more than the change.
fn wait_until_adopted(fleet: &mut Fleet) -> Result<(), FleetError> {
    let version = fleet.inventory.version;
    wait_until("the document is in force", ADOPTION_LIMIT_MS, || {
        fleet.status("entry-1").is_ok_and(|status| status["config_version"] == version)
    })
}
