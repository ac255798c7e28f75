//! The process of one instance: starts its tasks, reloads its settings and stops it in time.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::{env, fs};

use argh::FromArgs;
use log::{info, warn};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::error::Error;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::readiness::Audience;
use crate::gateway::shared::Shared;
use crate::gateway::wire::Wire;
use crate::gateway::{caller_server, peer_socket, readiness, stdout_log, store_watch};

/// Connections that may wait to be accepted, per listener.
const BACKLOG: i32 = 1_024;
/// Time between two checks of waiting requests, in milliseconds.
const TICK_MS: u64 = 25;
/// Ticks between two checks of readiness and of idle connections to backend servers.
const SWEEP_INTERVAL_TICKS: u64 = 20;
/// Time between two checks of the settings file's modification time, in milliseconds.
const FILE_CHECK_INTERVAL_MS: u64 = 1_000;
/// Time before SIGKILL at which the process exits by itself, in milliseconds.
const EXIT_MARGIN_MS: u64 = 300;
/// Time before its exit at which a stopping process answers the requests whose answer has not begun, in
/// milliseconds.
const LAST_ANSWERS_MS: u64 = 200;
/// Time after SIGTERM for which the balancer may still send new connections, in milliseconds.
const BALANCER_NOTICE_MS: u64 = 4_000;

/// Runs one instance that forwards requests by published routes.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// settings file; by default the one that the platform names
    #[argh(option)]
    settings: Option<PathBuf>,

    /// port at which metrics are served, on the address of the operators' port
    #[argh(option)]
    metrics_port: Option<u16>,

    /// check the settings file, print all findings and end
    #[argh(switch)]
    check: bool,
}

/// Runs the process until a signal stops it.
pub fn run(wire: Box<dyn Wire>) -> ExitCode {
    let command_line: CommandLine = argh::from_env();
    let path = settings_path(&*wire, &command_line);
    let settings = match read_settings(&*wire, &path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if command_line.check {
        println!("{}: no findings.", path.display());
        return ExitCode::SUCCESS;
    }
    match start(wire, settings, path, command_line.metrics_port) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn settings_path(wire: &dyn Wire, command_line: &CommandLine) -> PathBuf {
    let named = command_line.settings.clone();
    named.or_else(|| env::var_os(wire.settings_variable()).map(PathBuf::from)).unwrap_or_default()
}

fn read_settings(wire: &dyn Wire, path: &Path) -> Result<GatewaySettings, Error> {
    let text = fs::read_to_string(path).map_err(|error| {
        Error::io(format!("Reading the settings file '{}' failed", path.display()), error)
    })?;
    wire.settings(&path.display().to_string(), &text)
}

fn start(
    wire: Box<dyn Wire>,
    settings: GatewaySettings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> Result<(), Error> {
    stdout_log::start()?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::io("Starting the runtime failed", error))?;
    LocalSet::new().block_on(&runtime, serve(wire, settings, path, metrics_port))
}

async fn serve(
    wire: Box<dyn Wire>,
    settings: GatewaySettings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> Result<(), Error> {
    let callers = listen(settings.caller_address)?;
    let readiness = listen(settings.readiness_address)?;
    let operators = listen(settings.operator_address)?;
    let metrics = metrics_port
        .map(|port| listen(SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), port)))
        .transpose()?;
    let peers = UdpSocket::bind(settings.peer_address)
        .await
        .map_err(|error| Error::io(format!("Binding {} failed", settings.peer_address), error))?;
    let signals = Signals::new()?;
    info!(
        target: "daemon",
        instance = &*settings.instance,
        callers:% = local_address(&callers)?,
        readiness:% = local_address(&readiness)?,
        operators:% = local_address(&operators)?,
        store:% = settings.store_address;
        "Instance starting."
    );
    let peers = Rc::new(peers);
    let shared =
        Rc::new_cyclic(|shared| Shared::new(shared.clone(), wire, settings, peers.clone()));
    spawn_local(store_watch::follow(shared.clone()));
    spawn_local(peer_socket::receive(shared.clone(), peers));
    spawn_local(peer_socket::report(shared.clone()));
    spawn_local(caller_server::serve(shared.clone(), callers));
    spawn_local(readiness::serve(shared.clone(), readiness, Audience::Anyone));
    spawn_local(readiness::serve(shared.clone(), operators, Audience::Fleet));
    if let Some(metrics) = metrics {
        spawn_local(readiness::serve(shared.clone(), metrics, Audience::Anyone));
    }
    spawn_local(tick(shared.clone()));
    spawn_local(watch_settings_file(shared.clone(), path.clone()));
    handle_signals(shared, signals, &path).await;
    Ok(())
}

struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> Result<Self, Error> {
        let catch = |kind| {
            signal(kind).map_err(|error| Error::io("Registering the signal handlers failed", error))
        };
        Ok(Self {
            hangup: catch(SignalKind::hangup())?,
            interrupt: catch(SignalKind::interrupt())?,
            terminate: catch(SignalKind::terminate())?,
        })
    }
}

async fn handle_signals(shared: Rc<Shared>, mut signals: Signals, path: &Path) {
    loop {
        tokio::select! {
            _ = signals.hangup.recv() => reload(&shared, path),
            _ = signals.interrupt.recv() => break,
            _ = signals.terminate.recv() => break,
        }
    }
    stop(&shared).await;
}

/// Reloads the settings when the modification time of their file changes.
async fn watch_settings_file(shared: Rc<Shared>, path: PathBuf) {
    let modified_time = |path: &Path| fs::metadata(path).and_then(|data| data.modified()).ok();
    let mut known = modified_time(&path);
    loop {
        sleep(Duration::from_millis(FILE_CHECK_INTERVAL_MS)).await;
        let now = modified_time(&path);
        if now.is_some() && now != known {
            known = now;
            reload(&shared, &path);
        }
    }
}

fn reload(shared: &Shared, path: &Path) {
    match read_settings(&*shared.wire, path) {
        Ok(settings) => {
            shared.state.borrow_mut().reload(settings);
            info!(target: "daemon", "Settings reloaded.");
        }
        Err(error) => {
            warn!(
                target: "daemon",
                error:%;
                "Settings could not be reloaded; the earlier ones stay in force."
            );
        }
    }
}

async fn stop(shared: &Rc<Shared>) {
    let now_ms = boot_ms();
    let grace_ms = shared.state.borrow().settings().bounds.grace_ms;
    let exit_ms = now_ms + grace_ms.saturating_sub(EXIT_MARGIN_MS);
    shared.stop_by_ms.set(Some(exit_ms));
    shared.state.borrow_mut().stop(now_ms, exit_ms);
    shared.report_soon.notify_one();
    info!(target: "daemon", in_progress = shared.in_progress.get(), grace_ms; "Instance stopping.");
    let started = Instant::now();
    let exit_at = started + Duration::from_millis(grace_ms.saturating_sub(EXIT_MARGIN_MS));
    sleep_until((started + Duration::from_millis(BALANCER_NOTICE_MS)).min(exit_at)).await;
    while shared.in_progress.get() > 0 && Instant::now() < exit_at {
        if Instant::now() + Duration::from_millis(LAST_ANSWERS_MS) >= exit_at {
            shared.end_requests();
        }
        sleep(Duration::from_millis(TICK_MS)).await;
    }
    info!(target: "daemon", in_progress = shared.in_progress.get(); "Instance stopped.");
    sleep(Duration::from_millis(TICK_MS)).await;
}

async fn tick(shared: Rc<Shared>) {
    let mut ticks = 0_u64;
    let mut was_ready = false;
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        ticks += 1;
        shared.dispatch_waiting();
        if ticks.is_multiple_of(SWEEP_INTERVAL_TICKS) {
            shared.connections.sweep();
            was_ready = readiness::log_readiness_change(&shared, was_ready);
        }
    }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener
        .local_addr()
        .map_err(|error| Error::io("Reading the address of a listener failed", error))
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    listen().map_err(|error| Error::io(format!("Listening on {address} failed"), error))
}
