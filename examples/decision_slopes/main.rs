//! Measures what the decisions cost by the size of what they hold, without processes and sockets.
//!
//! `cargo run --release --example decision_slopes -- [--quick] [--out FILE]`

mod coordinators;
mod cost;
mod documents;
mod keys;
mod memory_case;
mod messages;

use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use standins::capacity::CapacityReport;

use crate::memory_case::MemoryCase;

/// Measures what the decisions cost by the size of what they hold.
#[derive(Debug, FromArgs)]
struct Options {
    /// prints the memory of one thing, for a run that needs a process without a past
    #[argh(option)]
    held: Option<MemoryCase>,
    /// size of that thing
    #[argh(option, default = "0")]
    count: u64,
    /// file for the results as JSON
    #[argh(option)]
    out: Option<PathBuf>,
    /// measures small sizes, to see that the tool works
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
    report.note_load_average();
    report.add(keys::measure(divisor));
    report.add(coordinators::measure(divisor));
    report.add(messages::measure(divisor));
    report.add(documents::measure(divisor));
    report.note_load_average();
    options.out.as_deref().map_or(Ok(()), |out| report.write(out))
}
