//! Command that runs experiments, with its options.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use argh::FromArgs;

use super::chart;
use super::deployment::Deployment;
use super::setup::{Burst, Setup};
use super::summary::Summary;
use super::timed_faults::{FaultAction, TimedFault};
use super::trial::{TrialResult, run_trial};
use crate::load::Mix;

/// Instance that `--kill-instance-at-ms` kills.
const KILLED_INSTANCE: &str = "entry-2";
/// Engine that `--kill-engine-at-ms` kills.
const KILLED_ENGINE: usize = 2;
/// Engine that `--straggler-at-ms` slows down.
const STRAGGLER_ENGINE: usize = 1;

/// Runs the same load under each policy and compares the results.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentCommand {
    /// start of a burst in milliseconds
    #[argh(option)]
    pub burst_at_ms: Option<u64>,
    /// duration of the burst in milliseconds
    #[argh(option, default = "3000")]
    pub burst_ms: u64,
    /// rate of the burst, in addition to the base load, as a multiple of that load
    #[argh(option, default = "2.0")]
    pub burst_factor: f64,
    /// deployment: norrland or sierra-norte
    #[argh(option)]
    pub deployment: Option<Deployment>,
    /// duration of the arrivals in milliseconds
    #[argh(option, default = "10000")]
    pub duration_ms: u64,
    /// engines of each service, without a deployment
    #[argh(option, default = "4")]
    pub engines: usize,
    /// instances, without a deployment
    #[argh(option, default = "3")]
    pub instances: usize,
    /// time at which the second engine is killed, in milliseconds
    #[argh(option)]
    pub kill_engine_at_ms: Option<u64>,
    /// time at which the second instance is killed, in milliseconds
    #[argh(option)]
    pub kill_instance_at_ms: Option<u64>,
    /// load as a fraction of the deployment's capacity
    #[argh(option)]
    pub load: Option<f64>,
    /// JSON file with the classes of requests, highest tier first
    #[argh(option)]
    pub mix: Option<PathBuf>,
    /// folder for results.json and goodput.svg
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// policy to run, or `direct`; may be repeated
    #[argh(option)]
    pub policy: Vec<String>,
    /// requests per second, if --load is not given
    #[argh(option, default = "40.0")]
    pub rate_per_s: f64,
    /// seed to run; may be repeated
    #[argh(option)]
    pub seed: Vec<u64>,
    /// time at which the first engine becomes a straggler, in milliseconds
    #[argh(option)]
    pub straggler_at_ms: Option<u64>,
    /// speed of the straggler
    #[argh(option, default = "0.1")]
    pub straggler_speed: f64,
}

impl ExperimentCommand {
    /// Runs every policy with every seed and prints the results and a summary of each policy.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is invalid, a trial fails or the results can't be written.
    pub fn run(mut self) -> io::Result<()> {
        if self.policy.is_empty() {
            self.policy = ["steward", "round_robin", "least_outstanding"].map(String::from).into();
        }
        if self.seed.is_empty() {
            self.seed = vec![1];
        }
        let setup = self.setup()?;
        let mut results = Vec::new();
        for policy in &self.policy {
            for seed in &self.seed {
                let result = run_trial(&setup, policy, *seed).map_err(io::Error::other)?;
                print_result(&result);
                results.push(result);
            }
        }
        for trials in results.chunk_by(|a, b| a.policy == b.policy) {
            println!("{}", Summary::new(trials));
        }
        self.out.as_deref().map_or(Ok(()), |out| write_results(out, &results))
    }

    fn setup(&self) -> io::Result<Setup> {
        let rate_per_s = self.rate_per_s()?;
        let burst_rate_per_s = rate_per_s * self.burst_factor;
        let mix = match (self.deployment, self.mix.as_deref()) {
            (_, Some(path)) => Mix::read(path)?,
            (Some(deployment), None) => deployment.mix(),
            (None, None) => Mix::default(),
        };
        Ok(Setup {
            burst: self.burst_at_ms.map(|at_ms| Burst {
                at: Duration::from_millis(at_ms),
                duration: Duration::from_millis(self.burst_ms),
                rate_per_s: burst_rate_per_s,
            }),
            deployment: self.deployment,
            duration: Duration::from_millis(self.duration_ms),
            engines: self.engines,
            faults: self.faults(&mix),
            instances: self.instances,
            mix,
            rate_per_s,
        })
    }

    fn rate_per_s(&self) -> io::Result<f64> {
        let rate_per_s = match (self.deployment, self.load) {
            (Some(deployment), Some(load)) => {
                let capacity_per_s = deployment.capacity_per_s();
                let rate_per_s = capacity_per_s * load;
                println!("capacity {capacity_per_s:.1} requests/s, offered {rate_per_s:.1}");
                rate_per_s
            }
            (None, Some(_)) => return Err(io::Error::other("--load needs a --deployment")),
            (_, None) => self.rate_per_s,
        };
        let positive = rate_per_s > 0.0 && self.burst_factor > 0.0;
        match positive {
            true => Ok(rate_per_s),
            false => Err(io::Error::other("rates and factors must be positive")),
        }
    }

    fn faults(&self, mix: &Mix) -> Vec<TimedFault> {
        let engine = |number| match self.deployment {
            Some(deployment) => deployment.engine(number),
            None => {
                let service = mix.classes.first().map_or("", |class| class.service.as_str());
                format!("{service}-{number}")
            }
        };
        let optional_faults = [
            (self.kill_engine_at_ms, FaultAction::KillBackend(engine(KILLED_ENGINE))),
            (self.kill_instance_at_ms, FaultAction::KillInstance(KILLED_INSTANCE.to_owned())),
            (
                self.straggler_at_ms,
                FaultAction::SetEngineSpeed(engine(STRAGGLER_ENGINE), self.straggler_speed),
            ),
        ];
        let timed_fault = |(at_ms, action): (Option<u64>, FaultAction)| {
            Some(TimedFault { at: Duration::from_millis(at_ms?), action })
        };
        optional_faults.into_iter().filter_map(timed_fault).collect()
    }
}

fn print_result(result: &TrialResult) {
    println!(
        "{} seed {}: prefilled {} cached {} wasted {} (cancelled {}) tokens, inversions {}, load average {:.1}",
        result.policy,
        result.seed,
        result.prefilled_tokens,
        result.cached_tokens,
        result.wasted_prefill_tokens,
        result.wasted_tokens,
        result.coordinators.inversions,
        result.load_average
    );
    println!("{}", result.load);
}

fn write_results(out: &Path, results: &[TrialResult]) -> io::Result<()> {
    fs::create_dir_all(out)?;
    fs::write(out.join("results.json"), serde_json::to_string_pretty(results)?)?;
    chart::draw_goodput(&out.join("goodput.svg"), results).map_err(io::Error::other)
}
