//! Runs a check for many seeds on several threads.

use std::ops::Range;
use std::thread;

/// Threads that the seeds are divided among.
const THREAD_COUNT: u64 = 6;

/// Runs a check for each seed, and returns its results in the order of the seeds.
///
/// # Panics
///
/// Panics if a check panics.
pub fn run_seeds<R, F>(seeds: Range<u64>, check: F) -> Vec<(u64, R)>
where
    R: Send,
    F: Fn(u64) -> R + Sync,
{
    let run_stride = |offset: u64| {
        let own = (seeds.start + offset..seeds.end).step_by(THREAD_COUNT as usize);
        own.map(|seed| (seed, check(seed))).collect::<Vec<_>>()
    };
    let mut results: Vec<(u64, R)> = thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREAD_COUNT).map(|offset| scope.spawn(move || run_stride(offset))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a check panicked")).collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results
}
