//! The operators' program.

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotspan::command_line::run()
}
