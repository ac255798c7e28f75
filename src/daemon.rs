//! The daemon of one entry instance: its services, in the order in which they start.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::apply_effects::EffectRouter;
use crate::build_core::build_core;
use crate::caller_edge::{CallerEdge, Usage};
use crate::clock::Clock;
use crate::control::{ControlInput, ControlPeerSink, run_control};
use crate::control_platform_sink::ControlPlatformSink;
use crate::error::Error;
use crate::event::Event;
use crate::kernel::{Directory, Kernel, Service};
use crate::load_poller::LoadPoller;
use crate::logging;
use crate::parse_settings::parse_settings;
use crate::peer_links::PeerLinks;
use crate::peer_links_settings::PeerLinksSettings;
use crate::platform_watch::PlatformWatch;
use crate::settings::Settings;
use crate::telemetry;
use crate::traffic::Traffic;
use crate::usage_metrics::UsageMetrics;

/// Inputs that may wait for the control thread.
const CONTROL_QUEUE_INPUTS: usize = 65_536;

/// Time for answers on their way to reach their callers, in milliseconds.
const LAST_WRITES_MS: u64 = 2_000;

/// Time between two looks at the requests that still write, in milliseconds.
const LAST_WRITES_INTERVAL_MS: u64 = 10;

const CALLER_EDGE: &str = "caller_edge";
const CONTROL: &str = "control";
const PEER_LINKS: &str = "peer_links";
const PLATFORM_WATCH: &str = "platform_watch";
const TRAFFIC: &str = "traffic";
const USAGE_METRICS: &str = "usage_metrics";

/// Runs one entry instance of bergamotspan until it is told to stop.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

struct CallerEdgeService {
    edge: Option<Arc<CallerEdge>>,
}

struct ControlService {
    inputs: flume::Receiver<ControlInput>,
    incarnation: u64,
    stopped: flume::Sender<()>,
}

struct PeerLinksService {
    incarnation: u64,
    peer_links: Option<Arc<PeerLinks>>,
}

struct PlatformWatchService;

struct UsageMetricsService;

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
        .map_err(|error| Error::io("Waiting for signals failed", error))?;
    let (control, inputs) = flume::bounded(CONTROL_QUEUE_INPUTS);
    let (stopped, stop_done) = flume::bounded(1);
    let telemetry = telemetry::start(&settings.telemetry, &settings.instance.name)?;
    let traffic = Arc::new(Traffic::new(Clock::start(), control.clone(), settings, telemetry));
    let mut kernel = build_kernel(&traffic, inputs, stopped);
    kernel.start()?;
    announce(kernel.directory())?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // The control thread only goes away when the process ends.
            let _ = control.send(ControlInput::Event(Event::Stop));
        }
    });
    // The sender is only gone if the control thread is, and then the process has to end too.
    let _ = stop_done.recv();
    wait_for_last_writes(&traffic);
    kernel.stop();
    log::info!(target: "stop", "Stopped.");
    Ok(())
}

fn build_kernel(
    traffic: &Arc<Traffic>,
    inputs: flume::Receiver<ControlInput>,
    stopped: flume::Sender<()>,
) -> Kernel {
    let incarnation = rand::random::<u64>().max(1);
    let mut kernel = Kernel::default();
    kernel.directory().register(TRAFFIC, traffic.clone());
    kernel.add(PeerLinksService { incarnation, peer_links: None });
    kernel.add(PlatformWatchService);
    kernel.add(ControlService { inputs, incarnation, stopped });
    kernel.add(CallerEdgeService { edge: None });
    kernel.add(UsageMetricsService);
    kernel
}

fn announce(directory: &Directory) -> Result<(), Error> {
    let edge = directory.find::<CallerEdge>(CALLER_EDGE)?;
    let peer_links = directory.find::<PeerLinks>(PEER_LINKS)?;
    let addresses = serde_json::json!({
        "caller": edge.listen_address(),
        "peer": peer_links.listen_address(),
    });
    println!("{addresses}");
    Ok(())
}

fn wait_for_last_writes(traffic: &Traffic) {
    let deadline_ms = traffic.clock.monotonic_ms() + LAST_WRITES_MS;
    while traffic.runners.count() > 0 && traffic.clock.monotonic_ms() < deadline_ms {
        std::thread::sleep(Duration::from_millis(LAST_WRITES_INTERVAL_MS));
    }
}

fn find_settings(directory: &Directory) -> Result<(Arc<Traffic>, Arc<Settings>), Error> {
    let traffic = directory.find::<Traffic>(TRAFFIC)?;
    let settings = traffic.settings.clone();
    Ok((traffic, settings))
}

impl Service for CallerEdgeService {
    fn name(&self) -> &'static str {
        CALLER_EDGE
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (traffic, _) = find_settings(directory)?;
        let usage = Usage {
            peer_links: directory.find::<PeerLinks>(PEER_LINKS)?,
            platform_watch: directory.find::<PlatformWatch>(PLATFORM_WATCH)?,
        };
        let edge = Arc::new(CallerEdge::start(traffic, usage)?);
        directory.register(CALLER_EDGE, edge.clone());
        self.edge = Some(edge);
        Ok(())
    }

    fn stop(&mut self) {
        if let Some(edge) = self.edge.take() {
            edge.stop();
        }
    }
}

impl Service for ControlService {
    fn name(&self) -> &'static str {
        CONTROL
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (traffic, settings) = find_settings(directory)?;
        let peer_links = directory.find::<PeerLinks>(PEER_LINKS)?;
        let platform_watch = directory.find::<PlatformWatch>(PLATFORM_WATCH)?;
        let clock = traffic.clock;
        let core = build_core(settings.clone(), self.incarnation, clock.now());
        let poller = LoadPoller::new(traffic.control.clone(), settings.dispatch.load_interval_ms);
        let stopped = self.stopped.clone();
        let inputs = self.inputs.clone();
        let mut router = EffectRouter { peer_links, platform_watch, poller, stopped, traffic };
        std::thread::Builder::new()
            .name(CONTROL.into())
            .spawn(move || run_control(clock, core, &inputs, &mut router))
            .map_err(|error| Error::io("Starting the control thread failed", error))?;
        Ok(())
    }
}

impl Service for PeerLinksService {
    fn name(&self) -> &'static str {
        PEER_LINKS
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (traffic, settings) = find_settings(directory)?;
        let links_settings =
            PeerLinksSettings::builder(settings.instance.name.clone(), self.incarnation)
                .heartbeat_interval_ms(settings.peer.heartbeat_interval_ms)
                .listen_address(settings.peer.listen_address)
                .build();
        let sink = Arc::new(ControlPeerSink { control: traffic.control.clone() });
        let peer_links = Arc::new(PeerLinks::start(links_settings, sink)?);
        directory.register(PEER_LINKS, peer_links.clone());
        self.peer_links = Some(peer_links);
        Ok(())
    }

    /// What was decided last, as a handover of keys, still has to reach the others.
    fn stop(&mut self) {
        if let Some(peer_links) = self.peer_links.take() {
            peer_links.stop();
        }
    }
}

impl Service for PlatformWatchService {
    fn name(&self) -> &'static str {
        PLATFORM_WATCH
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (traffic, settings) = find_settings(directory)?;
        let sink = Arc::new(ControlPlatformSink { control: traffic.control.clone() });
        let watch = PlatformWatch::start(&settings.platform, sink)?;
        directory.register(PLATFORM_WATCH, Arc::new(watch));
        Ok(())
    }
}

impl Service for UsageMetricsService {
    fn name(&self) -> &'static str {
        USAGE_METRICS
    }

    fn start(&mut self, directory: &mut Directory) -> Result<(), Error> {
        let (traffic, settings) = find_settings(directory)?;
        let metrics = UsageMetrics {
            peer_links: directory.find::<PeerLinks>(PEER_LINKS)?,
            platform_watch: directory.find::<PlatformWatch>(PLATFORM_WATCH)?,
            telemetry: traffic.telemetry.clone(),
        };
        metrics.start(settings.telemetry.export_interval_ms);
        Ok(())
    }
}
