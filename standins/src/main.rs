//! Runs a stand-in or one of the tools.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::run()
}
