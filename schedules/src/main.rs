//! The program that checks decisions over random schedules.

use std::process::ExitCode;

fn main() -> ExitCode {
    schedules::command::run()
}
