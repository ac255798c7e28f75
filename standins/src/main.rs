//! Runs one stand-in.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::run()
}
