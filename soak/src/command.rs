//! The command line of the soak.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::trial::{self, Setup};

/// Plays seeds of faults against a fleet of instances on loopback and prints what broke a rule.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,

    /// number of seeds, one after the other
    #[argh(option, default = "1")]
    runs: u64,

    /// seconds of faults in each run
    #[argh(option, default = "20")]
    seconds: u64,

    /// instances
    #[argh(option, default = "5")]
    instances: usize,

    /// backend servers
    #[argh(option, default = "4")]
    backend_servers: usize,

    /// callers
    #[argh(option, default = "24")]
    callers: usize,

    /// program of an instance
    #[argh(option, default = "PathBuf::from(\"target/debug/bergamotspan-gateway\")")]
    program: PathBuf,

    /// directory that keeps the logs of runs that broke a rule
    #[argh(option)]
    keep: Option<PathBuf>,
}

/// Plays the seeds and prints what was found.
pub fn run() -> ExitCode {
    let options: CommandLine = argh::from_env();
    let mut broken_trials = 0;
    for seed in options.seed..options.seed + options.runs {
        let setup = Setup {
            callers: options.callers,
            engines: options.backend_servers,
            instances: options.instances,
            keep: options.keep.clone(),
            length_ms: options.seconds * 1_000,
            program: options.program.clone(),
            seed,
        };
        match trial::run_trial(&setup) {
            Ok(outcome) => {
                println!("seed {seed}: {outcome}");
                broken_trials += u64::from(outcome.is_broken());
            }
            Err(error) => {
                eprintln!("seed {seed} could not be played: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{} seeds, {broken_trials} with a rule broken", options.runs);
    if broken_trials == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
