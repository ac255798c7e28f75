//! `bergamotspan`, the command-line program for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotspan::command_line::run()
}
