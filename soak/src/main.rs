//! Runs trials with random faults against a fleet of instances.

use std::process::ExitCode;

fn main() -> ExitCode {
    soak::command::run()
}
