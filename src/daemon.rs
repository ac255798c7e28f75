//! The daemon of one entry instance: reads the settings, starts the services in order, and stops
//! them on a signal or after a drain.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::caller_edge::CallerEdge;
use crate::clock::Clock;
use crate::control::ControlInput;
use crate::daemon_services::{
    CALLER_EDGE, CallerEdgeService, ControlService, PEER_LINKS, PeerLinksService,
    PlatformWatchService, SERVING_CONTEXT, UsageMetricsService,
};
use crate::error::Error;
use crate::event::Event;
use crate::kernel::{Directory, Kernel};
use crate::logging;
use crate::parse_settings::parse_settings;
use crate::peer_links::PeerLinks;
use crate::serving_context::ServingContext;
use crate::telemetry;

/// Maximum number of inputs that wait for the control thread.
const CONTROL_QUEUE_INPUTS: usize = 65_536;

/// Longest wait at a stop for answers that are still being written, in milliseconds.
const LAST_WRITES_LIMIT_MS: u64 = 2_000;

/// Time between two checks for answers that are still being written, in milliseconds.
const LAST_WRITES_INTERVAL_MS: u64 = 10;

/// Runs one entry instance of bergamotspan until a signal or a drain stops it.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the daemon with the arguments of the process.
pub fn run() -> ExitCode {
    let command_line: CommandLine = argh::from_env();
    match serve(&command_line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(command_line: &CommandLine) -> Result<(), Error> {
    let file = command_line.settings.display().to_string();
    let text = std::fs::read_to_string(&command_line.settings)
        .map_err(|error| Error::io(format!("Reading {file} failed"), error))?;
    let settings = Arc::new(parse_settings(&file, &text)?);
    logging::start(&settings.log)?;
    let mut signals = Signals::new([SIGINT, SIGTERM])
        .map_err(|error| Error::io("Registering the signal handlers failed", error))?;
    let (control, inputs) = flume::bounded(CONTROL_QUEUE_INPUTS);
    let (stopped, stop_done) = flume::bounded(1);
    let telemetry = telemetry::start(&settings.telemetry, &settings.instance.name)?;
    let incarnation = rand::random::<u64>().max(1);
    let clock = Clock::start();
    let context = ServingContext::new(clock, control.clone(), incarnation, settings, telemetry);
    let context = Arc::new(context);
    let mut kernel = build_kernel(&context, incarnation, inputs, stopped);
    kernel.start()?;
    print_addresses(kernel.directory())?;
    let edge = kernel.directory().find::<CallerEdge>(CALLER_EDGE)?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // The control thread only ends with the process.
            let _ = control.send(ControlInput::Event(Event::Stop));
        }
    });
    // A disconnected channel means that the control thread ended, so the process stops as well.
    let _ = stop_done.recv();
    wait_for_last_writes(&context, &edge);
    kernel.stop();
    log::info!(target: "stop", "Stopped.");
    Ok(())
}

fn build_kernel(
    context: &Arc<ServingContext>,
    incarnation: u64,
    inputs: flume::Receiver<ControlInput>,
    stopped: flume::Sender<()>,
) -> Kernel {
    let mut kernel = Kernel::default();
    kernel.directory().register(SERVING_CONTEXT, context.clone());
    kernel.add(PeerLinksService { incarnation, peer_links: None });
    kernel.add(PlatformWatchService);
    kernel.add(ControlService { inputs, incarnation, stopped });
    kernel.add(CallerEdgeService { edge: None });
    kernel.add(UsageMetricsService);
    kernel
}

fn print_addresses(directory: &Directory) -> Result<(), Error> {
    let edge = directory.find::<CallerEdge>(CALLER_EDGE)?;
    let peer_links = directory.find::<PeerLinks>(PEER_LINKS)?;
    let addresses = serde_json::json!({
        "caller": edge.listen_address(),
        "peer": peer_links.listen_address(),
    });
    println!("{addresses}");
    Ok(())
}

fn wait_for_last_writes(context: &ServingContext, edge: &CallerEdge) {
    let deadline_ms = context.clock.monotonic_ms() + LAST_WRITES_LIMIT_MS;
    let writes = || context.runners.count() > 0 || edge.in_progress() > 0;
    while writes() && context.clock.monotonic_ms() < deadline_ms {
        std::thread::sleep(Duration::from_millis(LAST_WRITES_INTERVAL_MS));
    }
}
