//! Processor time and memory of a process, as the kernel counts them.

use std::fs;
use std::path::Path;

/// Threads of an instance that carry control, by the names that the kernel keeps.
const CONTROL_THREADS: [&str; 5] =
    ["control", "load-poll", "peer-links", "platform-confi", "platform-list"];

/// Nanoseconds in one clock tick of the kernel's process times.
const TICK_NS: u64 = 10_000_000;

/// Fields of `stat` before the name's closing bracket don't count; these follow it.
const STAT_USER_TICKS_INDEX: usize = 11;
const STAT_SYSTEM_TICKS_INDEX: usize = 12;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Processor time of its control threads that still run, in nanoseconds.
    pub control_ns: u64,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time of all its threads, in nanoseconds.
    pub total_ns: u64,
}

impl Usage {
    /// Reads what a process has used; nothing is zero if it has ended.
    pub fn read(process_id: u32) -> Self {
        let folder = format!("/proc/{process_id}");
        let mut usage = Self {
            resident_kb: resident_kb(process_id),
            total_ns: total_ns(Path::new(&folder)),
            ..Self::default()
        };
        for task in fs::read_dir(format!("{folder}/task")).into_iter().flatten().flatten() {
            usage.threads += 1;
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            if CONTROL_THREADS.iter().any(|thread| name.trim().starts_with(thread)) {
                usage.control_ns += thread_ns(&task.path());
            }
        }
        usage
    }
}

/// Returns the resident memory of a process in kilobytes; 0 if it has ended.
pub fn resident_kb(process_id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn thread_ns(task: &Path) -> u64 {
    let text = fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn total_ns(process: &Path) -> u64 {
    let text = fs::read_to_string(process.join("stat")).unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = |index: usize| {
        fields.split_whitespace().nth(index).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0)
    };
    (ticks(STAT_USER_TICKS_INDEX) + ticks(STAT_SYSTEM_TICKS_INDEX)) * TICK_NS
}
