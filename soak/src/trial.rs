//! Trial of one seed: starts a fleet and its callers, injects the faults and reports the findings.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::runtime;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::caller::{self, CallerContext, elapsed_ms};
use crate::fleet::{Fleet, LIMITED_KEYS, UNLIMITED_KEY, poll_readiness};
use crate::injection::inject_fault;
use crate::schedule::{crowd_schedule, random_schedule, silence_schedule};
use crate::streams::StreamCounts;

/// Time without faults at the end of a trial, in milliseconds; all changes are in force well before
/// its end.
const FAULT_FREE_MS: u64 = 4_000;
/// Time after the last fault in which instances receive the last changes, in milliseconds; requests
/// sent in it do not count for the share that must be served.
const SETTLE_MS: u64 = 2_500;
/// Smallest share of requests that must be served once the fleet has recovered.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Settings of one trial.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of callers.
    pub callers: usize,
    /// Number of backend servers; half of them answer with streams.
    pub engines: usize,
    /// Number of instances.
    pub instances: usize,
    /// Directory to which the logs are copied if anything was found.
    pub keep: Option<PathBuf>,
    /// Duration of the schedule of faults, in milliseconds.
    pub length_ms: u64,
    /// Executable of an instance.
    pub program: PathBuf,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Further lines of the settings of all instances.
    pub settings: Vec<String>,
    /// Whether backend servers fall silent beside changes of the document, in place of all faults.
    pub silences: bool,
}

/// Outcome of a trial.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Findings of the checker, whose rules hold however slow the machine is.
    pub findings: Vec<String>,
    /// Findings about recovery: the fleet must be ready, up to date and serving in time after the
    /// last fault.
    pub recovery_findings: Vec<String>,
    /// Number of requests that were sent.
    pub sent: usize,
    /// Share of the requests with the unlimited key that were served.
    pub served_share: f64,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Numbers of streams that their callers took up.
    pub streams: StreamCounts,
}

impl Outcome {
    /// Returns whether anything was found.
    pub fn is_broken(&self) -> bool {
        !self.findings.is_empty() || !self.recovery_findings.is_empty()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { findings, recovery_findings, sent, served_share, faults, streams } = self;
        write!(formatter, "{faults} faults, {sent} requests, {served_share:.3} served, {streams}")?;
        findings
            .iter()
            .chain(recovery_findings)
            .try_for_each(|finding| write!(formatter, "\n  {finding}"))
    }
}

/// Runs the trial of one seed.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, a task panics or the logs cannot be copied.
pub fn run_trial(setup: &Setup) -> io::Result<Outcome> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let directory = tempfile::tempdir()?;
    let outcome = LocalSet::new().block_on(&runtime, run_trial_in(setup, directory.path()))?;
    if let (true, Some(keep)) = (outcome.is_broken(), &setup.keep) {
        keep_logs(directory.path(), &keep.join(format!("seed-{}", setup.seed)))?;
    }
    Ok(outcome)
}

fn keep_logs(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}

async fn run_trial_in(setup: &Setup, directory: &Path) -> io::Result<Outcome> {
    let fleet = Rc::new(Fleet::start(setup, directory).await?);
    spawn_local(poll_readiness(fleet.clone()));
    let all_ready = fleet.wait_until_ready().await;
    let ended = Rc::new(Cell::new(false));
    let keys = [UNLIMITED_KEY].into_iter().chain(LIMITED_KEYS).map(str::to_owned).collect();
    let context = CallerContext {
        ended: ended.clone(),
        checker: fleet.checker.clone(),
        keys: Rc::new(keys),
        ready: fleet.ready.clone(),
        started: fleet.started,
    };
    let running: Vec<_> = (0..setup.callers)
        .map(|number| spawn_local(caller::run(context.clone(), setup.seed, number)))
        .collect();
    let mut faults = if setup.silences {
        silence_schedule(setup.seed, setup.engines, setup.length_ms)
    } else {
        random_schedule(setup.seed, setup.instances, setup.engines, setup.length_ms)
    };
    if !setup.silences {
        faults.extend(crowd_schedule(setup.seed, setup.instances, setup.length_ms));
    }
    let faults_start_ms = elapsed_ms(fleet.started);
    let injections: Vec<_> = faults
        .iter()
        .map(|timed_fault| spawn_local(inject_fault(fleet.clone(), faults_start_ms, *timed_fault)))
        .collect();
    for injection in injections {
        injection.await.map_err(io::Error::other)??;
    }
    let ready_again = fleet.wait_until_ready().await;
    let settled_ms = elapsed_ms(fleet.started) + SETTLE_MS;
    sleep(Duration::from_millis(FAULT_FREE_MS)).await;
    ended.set(true);
    for caller in running {
        caller.await.map_err(io::Error::other)?;
    }
    let mut findings = fleet.checker.borrow().findings();
    if setup.silences {
        findings.extend(fleet.checker.borrow().losses());
    }
    let mut recovery_findings = Vec::new();
    if !all_ready || !ready_again {
        recovery_findings.push("not all instances are ready though no fault is active".to_owned());
    }
    let share = fleet.checker.borrow().served_share(UNLIMITED_KEY, settled_ms);
    if share < MIN_SERVED_SHARE {
        recovery_findings
            .push(format!("{share:.3} of the requests are served though no fault is active"));
    }
    recovery_findings.extend(fleet.outdated_instances().await);
    let checker = fleet.checker.borrow();
    Ok(Outcome {
        findings,
        recovery_findings,
        sent: checker.sent.len(),
        served_share: checker.served_share(UNLIMITED_KEY, 0),
        faults: faults.len(),
        streams: checker.stream_counts(),
    })
}
