//! Command line of the program `standins`.

use std::io;
use std::process::ExitCode;

use argh::FromArgs;

use crate::capacity::{CapacityCommand, OverheadCommand};
use crate::engine::EngineCommand;
use crate::experiment::ExperimentCommand;
use crate::load::LoadCommand;
use crate::plain_service::PlainServiceCommand;
use crate::platform::PlatformCommand;
use crate::proxy::ProxyCommand;

/// Stand-ins for the systems around bergamotspan.
#[derive(Debug, FromArgs)]
pub struct Command {
    #[argh(subcommand)]
    verb: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Capacity(CapacityCommand),
    Engine(EngineCommand),
    Experiment(ExperimentCommand),
    Load(LoadCommand),
    Overhead(OverheadCommand),
    PlainService(PlainServiceCommand),
    Platform(PlatformCommand),
    Proxy(ProxyCommand),
}

/// Runs the command given on the command line.
pub fn run() -> ExitCode {
    let command: Command = argh::from_env();
    match dispatch(command.verb) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => crate::report_failure(&error),
    }
}

fn dispatch(verb: Subcommand) -> io::Result<()> {
    match verb {
        Subcommand::Capacity(command) => command.run(),
        Subcommand::Engine(command) => command.run(),
        Subcommand::Experiment(command) => command.run(),
        Subcommand::Load(command) => command.run(),
        Subcommand::Overhead(command) => command.run(),
        Subcommand::PlainService(command) => command.run(),
        Subcommand::Platform(command) => command.run(),
        Subcommand::Proxy(command) => command.run(),
    }
}
