//! Command line of the checks over random schedules.

use std::process::ExitCode;

use argh::FromArgs;
use bergamotspan::home_rules::HomeRules;

use crate::cores::run_cores;
use crate::key_homes::Plan;
use crate::run_seeds::run_seeds;

/// Checks decisions over random schedules; prints each seed that breaks a rule and exits with 1 if
/// there is one.
#[derive(Debug, FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Cores(CoresCommand),
    KeyHomes(KeyHomesCommand),
}

/// Checks whole decision cores: one final answer to each send, none dispatched twice, no false
/// `not_run`, no request that waits beyond its deadline.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cores")]
struct CoresCommand {
    /// number of seeds to run; 60 if left out
    #[argh(option, default = "60")]
    runs: u64,
    /// first seed; 0 if left out
    #[argh(option, default = "0")]
    seed: u64,
}

/// Checks that no key is granted to two requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key-homes")]
struct KeyHomesCommand {
    /// number of seeds to run; 400 if left out
    #[argh(option, default = "400")]
    runs: u64,
    /// first seed; 0 if left out
    #[argh(option, default = "0")]
    seed: u64,
    /// rule to switch off
    #[argh(option, from_str_fn(parse_rule))]
    without: Option<HomeRules>,
}

/// Runs the program with the arguments of the process.
pub fn run() -> ExitCode {
    let command_line: CommandLine = argh::from_env();
    match command_line.command {
        Command::Cores(command) => check_cores(&command),
        Command::KeyHomes(command) => check_key_homes(&command),
    }
}

fn check_cores(command: &CoresCommand) -> ExitCode {
    let results = run_seeds(command.seed..command.seed + command.runs, run_cores);
    let mut broken = 0;
    for (seed, checker) in results.iter().filter(|(_, checker)| !checker.findings.is_empty()) {
        println!("seed {seed}: {:?}", checker.findings);
        broken += 1;
    }
    let done: u64 = results.iter().map(|(_, checker)| checker.done).sum();
    println!("{broken} of {} schedules broken; {done} requests done", command.runs);
    ExitCode::from(u8::from(broken > 0))
}

fn check_key_homes(command: &KeyHomesCommand) -> ExitCode {
    let rules = command.without.unwrap_or_default();
    let seeds = command.seed..command.seed + command.runs;
    let results = run_seeds(seeds, |seed| Plan::new(seed).rules(rules).run());
    let mut broken = 0;
    for (seed, outcome) in results.iter().filter(|(_, outcome)| !outcome.double_grants.is_empty()) {
        println!("seed {seed}: granted twice: {:?}", outcome.double_grants);
        broken += 1;
    }
    let granted: usize = results.iter().map(|(_, outcome)| outcome.granted).sum();
    let keys: usize = results.iter().map(|(_, outcome)| outcome.keys).sum();
    println!("{broken} of {} schedules broken; {granted} of {keys} keys granted", command.runs);
    ExitCode::from(u8::from(broken > 0))
}

fn parse_rule(name: &str) -> Result<HomeRules, String> {
    HomeRules::without(name).ok_or_else(|| format!("There is no rule '{name}'."))
}
