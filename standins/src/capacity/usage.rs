//! Processor time and memory of a process, read from `/proc`.

use std::fs;
use std::path::Path;

/// Prefixes of the names of the control threads of an instance, as the kernel keeps them.
const CONTROL_THREADS: [&str; 5] =
    ["control", "load-poll", "peer-links", "platform-confi", "platform-list"];

/// Nanoseconds in a clock tick of the kernel's process times.
const TICK_NS: u64 = 10_000_000;

/// Indexes into the fields of `stat` that follow the closing bracket of the process name.
const STAT_USER_TICKS_INDEX: usize = 11;
const STAT_SYSTEM_TICKS_INDEX: usize = 12;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Processor time of its control threads that still run, in nanoseconds.
    pub control_ns: u64,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Number of threads.
    pub threads: u64,
    /// Processor time of all its threads, in nanoseconds.
    pub total_ns: u64,
}

impl Usage {
    /// Reads the usage of a process; all values are 0 if the process has ended.
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

/// Returns the resident memory of a process in kilobytes, or 0 if the process has ended.
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
