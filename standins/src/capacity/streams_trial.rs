//! Capacity trial: memory and relay cost of open streams.

use std::thread;
use std::time::Duration;

use serde_json::json;

use super::fit::Point;
use super::sampler::{Sample, UsageRates};
use super::series::Series;
use crate::caller::Call;
use crate::fleet::{Fleet, FleetError, ServiceSpec, wait_until};

const OPEN_LIMIT_MS: u64 = 20_000;
const STACK_BYTES: usize = 128 * 1024;
/// Options of an engine that sends a token of every stream every 73 ms.
pub(super) const STREAM_OPTIONS: [&str; 8] = [
    "--max-running",
    "4096",
    "--step-base-us",
    "73000",
    "--decode-us-per-token",
    "0",
    "--batch-tokens",
    "8192",
];
const TOKENS_PER_S: f64 = 1_000_000.0 / 73_000.0;
/// Long enough for a stream to stay open during the whole trial.
const OUTPUT_TOKENS: u64 = 2_000;
const VARIED_QUANTITY: &str = "open streams of one instance";

/// Measures one instance with a growing number of open streams.
pub(super) fn run(counts: &[usize], window: Duration) -> Result<Vec<Series>, FleetError> {
    let service =
        ServiceSpec::model("plan", "m", 1).options(&STREAM_OPTIONS).token_limit_tokens(100_000_000);
    let mut fleet = Fleet::builder().instances(1).service(service).tier("high", 600_000).start()?;
    let mut opened = 0;
    let mut measurements: Vec<(f64, UsageRates)> = Vec::new();
    for count in counts {
        open_streams(&fleet, count - opened);
        opened = *count;
        wait_until_running(&mut fleet, opened)?;
        let before = Sample::take(&fleet, 0)?;
        thread::sleep(window);
        measurements.push((*count as f64, before.rates_until(&Sample::take(&fleet, 0)?)));
    }
    let series = |name: &str, value: fn(&UsageRates) -> f64| {
        let points = measurements.iter().map(|(count, usage)| Point { x: *count, y: value(usage) });
        Series::new(VARIED_QUANTITY, name, points.collect())
    };
    let per_token = measurements
        .iter()
        .map(|(count, usage)| Point { x: count * TOKENS_PER_S, y: usage.total_us_per_s });
    Ok(vec![
        series("resident memory, kB", |usage| usage.resident_kb),
        series("threads", |usage| usage.threads),
        series("control, us of processor/s", |usage| usage.control_us_per_s),
        Series::new("relayed tokens/s", "whole process, us of processor/s", per_token.collect()),
    ])
}

/// Opens streams whose callers stay connected until the fleet ends.
pub(super) fn open_streams(fleet: &Fleet, count: usize) {
    let address = fleet.caller_addresses()[0];
    for number in 0..count {
        let work = move || {
            let body = json!({
                "prompt": format!("stream {number}"),
                "max_output_tokens": OUTPUT_TOKENS,
                "output_tokens": OUTPUT_TOKENS,
            });
            // The stream breaks when the fleet ends.
            let _ = Call::new(address, "plan", body).customer("customer-1").send();
        };
        let thread = thread::Builder::new().stack_size(STACK_BYTES);
        // `wait_until_running` detects streams that were not opened.
        let _ = thread.spawn(work);
    }
}

/// Waits until at least `count` requests run at the first instance.
pub(super) fn wait_until_running(fleet: &mut Fleet, count: usize) -> Result<(), FleetError> {
    let mut running = || {
        let status = fleet.status("entry-1").ok();
        status.and_then(|status| status["requests"]["running"].as_u64()).unwrap_or(0)
    };
    wait_until("all streams run", OPEN_LIMIT_MS, || running() >= count as u64)
}
