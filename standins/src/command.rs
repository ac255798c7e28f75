//! The command line of the stand-ins.

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
    verb: Verb,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Verb {
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
        Err(error) => crate::failure(&error),
    }
}

fn dispatch(verb: Verb) -> io::Result<()> {
    match verb {
        Verb::Capacity(command) => command.run(),
        Verb::Engine(command) => command.run(),
        Verb::Experiment(command) => command.run(),
        Verb::Load(command) => command.run(),
        Verb::Overhead(command) => command.run(),
        Verb::PlainService(command) => command.run(),
        Verb::Platform(command) => command.run(),
        Verb::Proxy(command) => command.run(),
    }
}
