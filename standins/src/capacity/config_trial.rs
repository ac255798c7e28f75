//! Cost of a change of configuration by the size of the document.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::fit::Point;
use super::series::Series;
use super::usage::Usage;
use crate::fleet::{BackendServerRow, Fleet, FleetError, ServiceSpec, wait_until};

const IN_FORCE_LIMIT_MS: u64 = 15_000;
const PREFILL_TOKENS_PER_S: u32 = 50_000;
const SERVICE: &str = "desk";
const TOKEN_LIMIT_TOKENS: u32 = 16_384;
const VARIED: &str = "backend servers in the document";

struct Measured {
    change_ms: f64,
    change_us: f64,
    document_bytes: f64,
    resident_kb: f64,
    servers: f64,
}

/// Measures one instance that adopts documents of a plain service with more and more servers.
pub(super) fn run(
    counts: &[usize],
    changes: u32,
    interval: Duration,
) -> Result<Vec<Series>, FleetError> {
    let service = ServiceSpec::plain(SERVICE, 1)
        .prefill_tokens_per_s(PREFILL_TOKENS_PER_S)
        .token_limit_tokens(TOKEN_LIMIT_TOKENS);
    let mut fleet = Fleet::builder().instances(1).service(service).start()?;
    let mut measured = Vec::new();
    for count in counts {
        measured.push(measure(&mut fleet, *count, changes, interval)?);
    }
    let series = |name: &str, value: fn(&Measured) -> f64| {
        let points = measured.iter().map(|item| Point { x: item.servers, y: value(item) });
        Series::new(VARIED, name, points.collect())
    };
    Ok(vec![
        series("document, bytes", |item| item.document_bytes),
        series("one change, us of processor of control", |item| item.change_us),
        series("one change, ms until in force", |item| item.change_ms),
        series("resident memory, kB", |item| item.resident_kb),
    ])
}

fn measure(
    fleet: &mut Fleet,
    count: usize,
    changes: u32,
    interval: Duration,
) -> Result<Measured, FleetError> {
    let rows = &mut fleet.inventory.backend_servers;
    for number in rows.len()..count {
        rows.push(BackendServerRow {
            name: format!("{SERVICE}-{number:05}"),
            service: SERVICE.to_owned(),
            data_centre: "dc-a".to_owned(),
            address: nowhere(number),
            token_limit_tokens: Some(TOKEN_LIMIT_TOKENS),
            prefill_tokens_per_s: Some(PREFILL_TOKENS_PER_S),
            leaving: false,
            fencing: false,
        });
    }
    let started = Instant::now();
    fleet.publish()?;
    wait_in_force(fleet)?;
    let change_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let process_id = fleet.instances[0].process.id();
    let before = Usage::of(process_id);
    for _ in 0..changes {
        fleet.publish()?;
        thread::sleep(interval);
    }
    let after = Usage::of(process_id);
    let changes = f64::from(changes);
    Ok(Measured {
        change_ms,
        change_us: (after.control_ns - before.control_ns) as f64 / 1_000.0 / changes,
        document_bytes: fleet.inventory.render().len() as f64,
        resident_kb: after.resident_kb as f64,
        servers: count as f64,
    })
}

/// Returns an address of its own at which nothing listens.
fn nowhere(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([127, 9, high, low], 9))
}

/// Asks for the status, which costs the instance more than the change: not for use while the
/// processor time of a change is measured.
fn wait_in_force(fleet: &mut Fleet) -> Result<(), FleetError> {
    let version = fleet.inventory.version;
    wait_until("the document is in force", IN_FORCE_LIMIT_MS, || {
        fleet.status("entry-1").is_ok_and(|status| status["config_version"] == version)
    })
}
