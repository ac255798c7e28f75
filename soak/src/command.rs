//! Command line of the soak: runs one trial for each seed and prints the findings.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::streams::StreamCounts;
use crate::trial::{self, Setup};

/// Runs trials with random faults against a fleet of instances on loopback and prints each broken
/// rule.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,

    /// number of seeds, which are run one after the other
    #[argh(option, default = "1")]
    runs: u64,

    /// seconds of faults in each run
    #[argh(option, default = "20")]
    seconds: u64,

    /// instances
    #[argh(option, default = "5")]
    instances: usize,

    /// backend servers
    #[argh(option, default = "6")]
    backend_servers: usize,

    /// callers
    #[argh(option, default = "24")]
    callers: usize,

    /// only silences of backend servers and changes of the document, which excuse no lost answer
    #[argh(switch)]
    silences: bool,

    /// further line of the settings of all instances
    #[argh(option)]
    setting: Vec<String>,

    /// executable of an instance
    #[argh(option, default = "PathBuf::from(\"target/debug/bergamotspan-gateway\")")]
    program: PathBuf,

    /// directory for the logs of runs with a broken rule
    #[argh(option)]
    keep: Option<PathBuf>,
}

/// Runs the trials and prints their outcomes.
pub fn run() -> ExitCode {
    let options: CommandLine = argh::from_env();
    let mut broken_trials = 0;
    let mut streams = StreamCounts::default();
    for seed in options.seed..options.seed + options.runs {
        let setup = Setup {
            callers: options.callers,
            engines: options.backend_servers,
            instances: options.instances,
            keep: options.keep.clone(),
            length_ms: options.seconds * 1_000,
            program: options.program.clone(),
            seed,
            settings: options.setting.clone(),
            silences: options.silences,
        };
        match trial::run_trial(&setup) {
            Ok(outcome) => {
                println!("seed {seed}: {outcome}");
                streams.add(&outcome.streams);
                broken_trials += u64::from(outcome.is_broken());
            }
            Err(error) => {
                eprintln!("seed {seed} could not be run: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{} seeds, {broken_trials} with a rule broken, {streams}", options.runs);
    if broken_trials == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
