//! Overhead of an instance on the time to the first token, and its limits.

use std::fmt::{self, Display, Formatter};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Limit of the overhead at the median, in microseconds.
const ADDED_P50_LIMIT_US: i64 = 1_000;
/// Limit of the overhead at the 99th percentile, in microseconds.
const ADDED_P99_LIMIT_US: i64 = 3_000;
/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Times to the first token, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FirstTokenUs {
    /// Requests without a complete answer.
    pub broken: u64,
    /// Requests with a complete answer.
    pub done: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Result of an overhead measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverheadReport {
    /// Requests sent directly to the engine.
    pub direct: FirstTokenUs,
    /// Requests to the same engine through the instance.
    pub instance: FirstTokenUs,
    /// Load average of the machine over the last minute, at the end of the measurement.
    pub load_average: f64,
    /// Growth of the resident memory of the instance per open stream, in kilobytes.
    pub kb_per_stream: f64,
    /// Streams that were open during the whole measurement.
    pub streams: usize,
}

impl FirstTokenUs {
    /// Summarises times; `None` stands for a request without a complete answer.
    ///
    /// # Panics
    ///
    /// Panics if a time exceeds the range of a histogram.
    pub fn from_times(times_us: &[Option<u64>]) -> Self {
        let mut histogram =
            Histogram::<u64>::new(HISTOGRAM_DIGITS).expect("the number of digits is in range");
        for time_us in times_us.iter().flatten() {
            histogram.record(*time_us).expect("the histogram resizes itself");
        }
        let done = histogram.len();
        let percentile = |quantile| histogram.value_at_quantile(quantile);
        let broken = times_us.len() as u64 - done;
        Self { broken, done, p50: percentile(0.5), p95: percentile(0.95), p99: percentile(0.99) }
    }
}

impl OverheadReport {
    /// Returns the overhead of the instance at the median and the 99th percentile, in microseconds.
    pub fn added_us(&self) -> (i64, i64) {
        let added = |instance: u64, direct: u64| instance as i64 - direct as i64;
        (added(self.instance.p50, self.direct.p50), added(self.instance.p99, self.direct.p99))
    }

    /// Returns whether the overhead is within its limits and every answer was complete.
    pub fn is_within_limits(&self) -> bool {
        let (p50_us, p99_us) = self.added_us();
        let whole = self.direct.broken == 0 && self.instance.broken == 0;
        whole && p50_us <= ADDED_P50_LIMIT_US && p99_us <= ADDED_P99_LIMIT_US
    }
}

impl Display for OverheadReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (p50_us, p99_us) = self.added_us();
        for (name, times) in [("direct", self.direct), ("instance", self.instance)] {
            let FirstTokenUs { broken, done, p50, p95, p99 } = times;
            writeln!(
                formatter,
                "{name}: {done} done, {broken} broken, p50 {p50} us, p95 {p95} us, p99 {p99} us"
            )?;
        }
        writeln!(formatter, "added: p50 {p50_us} us, p99 {p99_us} us")?;
        writeln!(
            formatter,
            "{} open streams, {:.1} kB each; load average {}",
            self.streams, self.kb_per_stream, self.load_average
        )
    }
}
