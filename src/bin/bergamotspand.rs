//! `bergamotspand`, the daemon of one entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotspan::daemon::run()
}
