//! The command line of `bergamotspan`, the program for operators.
//!
//! Exit codes are those of [`ExitStatus`]: 0 on success, 1 if a document has findings or an
//! instance refused the request, 2 if the command line is wrong or a file can't be read, and 3 if
//! an instance can't be reached or its answer can't be read.

use std::env;
use std::net::SocketAddr;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use serde::Serialize;

use crate::check_file::check_file;
use crate::command_output::CommandOutput;
use crate::document_kind::DocumentKind;
use crate::drain_report::DrainReport;
use crate::error::Error;
use crate::exit_status::ExitStatus;
use crate::operator_client::OperatorClient;
use crate::query_fleet::query_fleet;
use crate::render_explain::render_explain;
use crate::render_fleet::render_fleet;
use crate::render_status::render_status;

const PROGRAM: &str = "bergamotspan";

/// Checks documents and queries instances of bergamotspan.
///
/// Exit codes: 0 success, 1 findings or refused, 2 wrong usage or unreadable file, 3 an instance
/// can't be reached.
#[derive(Debug, FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckCommand),
    Drain(DrainCommand),
    Explain(ExplainCommand),
    Fleet(FleetCommand),
    Status(StatusCommand),
}

/// Checks an inventory or settings and prints all findings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// inventory in force now; the file is checked as its successor
    #[argh(option, arg_name = "OLD")]
    against: Option<String>,
    /// file to check
    #[argh(positional)]
    file: String,
    /// inventory or settings; guessed from the sections if left out
    #[argh(option)]
    kind: Option<DocumentKind>,
}

/// Makes an instance finish its requests and then stop.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainCommand {
    /// IP address and port of the instance's interface for callers
    #[argh(option)]
    address: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Shows the steps of a request: why it waits, was refused or ran on its backend server.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainCommand {
    /// IP address and port of the instance's interface for callers
    #[argh(option)]
    address: SocketAddr,
    /// id or key of the request
    #[argh(positional)]
    id: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Shows the state of all instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetCommand {
    /// IP address and port of one instance's interface for callers
    #[argh(option)]
    address: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Shows the state of one instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusCommand {
    /// IP address and port of the instance's interface for callers
    #[argh(option)]
    address: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the program for operators with the arguments of the process.
pub fn run() -> ExitCode {
    let arguments: Vec<String> =
        env::args_os().skip(1).map(|argument| argument.to_string_lossy().into_owned()).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let output = match CommandLine::from_args(&[PROGRAM], &arguments) {
        Ok(command_line) => run_command(command_line.command),
        Err(early_exit) => usage_output(early_exit),
    };
    output.write()
}

fn usage_output(early_exit: EarlyExit) -> CommandOutput {
    match early_exit.status {
        Ok(()) => CommandOutput::new(ExitStatus::Success, early_exit.output),
        Err(()) => CommandOutput::usage(early_exit.output),
    }
}

fn run_command(command: Command) -> CommandOutput {
    let output = match command {
        Command::Check(check) => Ok(check_file(&check.file, check.against.as_deref(), check.kind)),
        Command::Drain(drain) => run_drain(&drain),
        Command::Explain(explain) => run_explain(&explain),
        Command::Fleet(fleet) => run_fleet(&fleet),
        Command::Status(status) => run_status(&status),
    };
    output.unwrap_or_else(CommandOutput::from)
}

fn run_drain(command: &DrainCommand) -> Result<CommandOutput, Error> {
    let report = OperatorClient::new(command.address).drain()?;
    Ok(CommandOutput::new(ExitStatus::Success, format_report(&report, command.json, render_drain)))
}

fn run_explain(command: &ExplainCommand) -> Result<CommandOutput, Error> {
    let report = OperatorClient::new(command.address).explain(&command.id)?;
    Ok(CommandOutput::new(
        ExitStatus::Success,
        format_report(&report, command.json, render_explain),
    ))
}

fn run_fleet(command: &FleetCommand) -> Result<CommandOutput, Error> {
    let report = query_fleet(command.address)?;
    let status = if report.is_complete() { ExitStatus::Success } else { ExitStatus::Unreachable };
    Ok(CommandOutput::new(status, format_report(&report, command.json, render_fleet)))
}

fn run_status(command: &StatusCommand) -> Result<CommandOutput, Error> {
    let report = OperatorClient::new(command.address).status()?;
    Ok(CommandOutput::new(ExitStatus::Success, format_report(&report, command.json, render_status)))
}

fn format_report<T, R>(report: &T, json: bool, render: R) -> String
where
    T: Serialize,
    R: Fn(&T) -> String,
{
    if json {
        return serde_json::to_string_pretty(report).expect("a report has only string keys");
    }
    render(report)
}

fn render_drain(report: &DrainReport) -> String {
    format!(
        "{} stops after {} running requests; {} were waiting.",
        report.instance, report.requests.running, report.requests.waiting
    )
}
