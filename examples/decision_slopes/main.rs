//! Measures how the cost of decisions grows with the size of their state, without running instances
//! or sockets.
//!
//! `cargo run --release --example decision_slopes -- [--quick] [--out FILE]`

mod coordinators;
mod cost;
mod documents;
mod keys;
mod memory_case;
mod messages;
mod sharing;

use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use standins::capacity::CapacityReport;

use crate::memory_case::MemoryCase;

/// Measures how the cost of decisions grows with the size of their state.
#[derive(Debug, FromArgs)]
struct Options {
    /// prints the memory of one structure; used by the tool for its child processes
    #[argh(option)]
    held: Option<MemoryCase>,
    /// size of that structure
    #[argh(option, default = "0")]
    count: u64,
    /// file for the results as JSON
    #[argh(option)]
    out: Option<PathBuf>,
    /// measures small sizes, to check that the tool works
    #[argh(switch)]
    quick: bool,
}

fn main() -> io::Result<()> {
    let options: Options = argh::from_env();
    if let Some(memory_case) = options.held {
        println!("{}", memory_case.resident_bytes(options.count));
        return Ok(());
    }
    // Small sizes are a hundredth of the full ones.
    let divisor = if options.quick { 100 } else { 1 };
    let mut report = CapacityReport::default();
    report.record_load_average();
    report.add(keys::measure(divisor));
    report.add(coordinators::measure(divisor));
    report.add(messages::measure(divisor));
    report.add(sharing::measure(divisor));
    report.add(documents::measure(divisor));
    report.record_load_average();
    options.out.as_deref().map_or(Ok(()), |out| report.write(out))
}
