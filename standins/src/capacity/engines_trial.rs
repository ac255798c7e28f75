//! Capacity trial: cost of an idle coordinator by the number of its engines.

use std::thread;
use std::time::Duration;

use super::fit::Point;
use super::sampler::{Sample, UsageRates};
use super::series::Series;
use crate::fleet::{Fleet, FleetError, ServiceSpec};

/// Time for the coordinator to settle before the window begins.
const SETTLE_MS: u64 = 1_000;

const VARIED_QUANTITY: &str = "engines of one steward";

/// Measures one instance with idle engines.
pub(super) fn run(counts: &[usize], window: Duration) -> Result<Vec<Series>, FleetError> {
    let measurements: Vec<(f64, UsageRates)> =
        counts.iter().map(|count| measure(*count, window)).collect::<Result<_, _>>()?;
    let series = |name: &str, value: fn(&UsageRates) -> f64| {
        let points = measurements.iter().map(|(count, usage)| Point { x: *count, y: value(usage) });
        Series::new(VARIED_QUANTITY, name, points.collect())
    };
    Ok(vec![
        series("idle control, us of processor/s", |usage| usage.control_us_per_s),
        series("idle resident memory, kB", |usage| usage.resident_kb),
        series("threads", |usage| usage.threads),
    ])
}

fn measure(count: usize, window: Duration) -> Result<(f64, UsageRates), FleetError> {
    let service = ServiceSpec::model("plan", "m", count);
    let fleet = Fleet::builder().instances(1).service(service).start()?;
    thread::sleep(Duration::from_millis(SETTLE_MS));
    let before = Sample::take(&fleet, 0)?;
    thread::sleep(window);
    Ok((count as f64, before.rates_until(&Sample::take(&fleet, 0)?)))
}
