//! Capacity trial: cost of an idle instance by the number of instances.

use std::thread;
use std::time::Duration;

use super::fit::Point;
use super::sampler::{Sample, UsageRates};
use super::series::Series;
use crate::fleet::{Fleet, FleetError, ServiceSpec};

/// Time for links and membership to settle before the window begins.
const SETTLE_MS: u64 = 1_500;

struct Measurement {
    instances: f64,
    platform_calls_per_s: f64,
    usage: UsageRates,
}

/// Measures fleets without load, each with one plain server.
pub(super) fn run(
    sizes: &[usize],
    window: Duration,
    label: &str,
) -> Result<Vec<Series>, FleetError> {
    let measurements: Vec<Measurement> =
        sizes.iter().map(|size| measure(*size, window)).collect::<Result<_, _>>()?;
    let series = |name: &str, value: fn(&Measurement) -> f64| {
        let points = measurements.iter().map(|item| Point { x: item.instances, y: value(item) });
        Series::new(label, name, points.collect())
    };
    Ok(vec![
        series("idle control, us of processor/s", |item| item.usage.control_us_per_s),
        series("idle peer messages, bytes/s", |item| item.usage.peer_bytes_per_s),
        series("idle resident memory, kB", |item| item.usage.resident_kb),
        series("platform calls of one instance, 1/s", |item| item.platform_calls_per_s),
    ])
}

/// Measures the last instance, since the coordinator of a service may cost more.
fn measure(size: usize, window: Duration) -> Result<Measurement, FleetError> {
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
    Ok(Measurement {
        instances: size as f64,
        platform_calls_per_s: calls / window.as_secs_f64() / size as f64,
        usage: before.rates_until(&after),
    })
}
