//! Cost of an idle instance by the number of instances.

use std::thread;
use std::time::Duration;

use super::fit::Point;
use super::sampler::{Sample, Spent};
use super::series::Series;
use crate::fleet::{Fleet, FleetError, ServiceSpec};

/// Time that links and membership get before a window begins.
const SETTLE_MS: u64 = 1_500;

struct Measured {
    instances: f64,
    platform_reads_per_s: f64,
    spent: Spent,
}

/// Measures fleets without load, each with one engine.
pub(super) fn run(
    sizes: &[usize],
    window: Duration,
    label: &str,
) -> Result<Vec<Series>, FleetError> {
    let measured: Vec<Measured> =
        sizes.iter().map(|size| measure(*size, window)).collect::<Result<_, _>>()?;
    let series = |name: &str, value: fn(&Measured) -> f64| {
        let points = measured.iter().map(|item| Point { x: item.instances, y: value(item) });
        Series::new(label, name, points.collect())
    };
    Ok(vec![
        series("idle control, us of processor/s", |item| item.spent.control_us_per_s),
        series("idle peer messages, bytes/s", |item| item.spent.peer_bytes_per_s),
        series("idle resident memory, kB", |item| item.spent.resident_kb),
        series("platform calls of one instance, 1/s", |item| item.platform_reads_per_s),
    ])
}

/// The last instance is measured: a service's coordinator may cost more.
fn measure(size: usize, window: Duration) -> Result<Measured, FleetError> {
    let service =
        ServiceSpec::plain("desk", 1).prefill_tokens_per_s(50_000).token_limit_tokens(16_384);
    let fleet = Fleet::builder().instances(size).service(service).start()?;
    thread::sleep(Duration::from_millis(SETTLE_MS));
    let calls =
        |fleet: &Fleet| fleet.platform_counters().map(|counters| counters.reads + counters.watches);
    let calls_before = calls(&fleet)?;
    let before = Sample::take(&fleet, size - 1)?;
    thread::sleep(window);
    let after = Sample::take(&fleet, size - 1)?;
    let calls = (calls(&fleet)? - calls_before) as f64;
    Ok(Measured {
        instances: size as f64,
        platform_reads_per_s: calls / window.as_secs_f64() / size as f64,
        spent: before.until(&after),
    })
}
