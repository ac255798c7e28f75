//! Measures processor time and memory.

use std::fs;

use standins::capacity::{Point, Series, resident_kb};

/// Runs `work` and returns the processor time that this thread used for it, in microseconds.
pub fn processor_us_of<W, T>(work: W) -> f64
where
    W: FnOnce() -> T,
{
    let before_ns = thread_processor_ns();
    let result = work();
    let processor_us = (thread_processor_ns() - before_ns) as f64 / 1_000.0;
    drop(result);
    processor_us
}

/// Runs `work` and returns the growth of the resident memory while its result is held, in bytes.
pub fn resident_bytes_of<W, T>(work: W) -> f64
where
    W: FnOnce() -> T,
{
    let before_kb = resident_kb(std::process::id());
    let result = work();
    let after_kb = resident_kb(std::process::id());
    drop(result);
    after_kb.saturating_sub(before_kb) as f64 * 1_024.0
}

/// Measures one value for each size.
pub fn measure_series<M>(varied: &str, measured: &str, sizes: &[u64], measure: M) -> Series
where
    M: Fn(u64) -> f64,
{
    let points = sizes.iter().map(|size| Point { x: *size as f64, y: measure(*size) });
    Series::new(varied, measured, points.collect())
}

fn thread_processor_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}
