//! Options of the experiment tool.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use argh::FromArgs;

use super::chart;
use super::trial::{Setup, TrialResult, run_trial};
use crate::load::Mix;

/// Runs the same load under each policy and compares the results.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentCommand {
    /// duration of the arrivals in milliseconds
    #[argh(option, default = "10000")]
    pub duration_ms: u64,
    /// engines of each service
    #[argh(option, default = "4")]
    pub engines: usize,
    /// instances
    #[argh(option, default = "3")]
    pub instances: usize,
    /// JSON file with the classes of requests, highest tier first
    #[argh(option)]
    pub mix: Option<PathBuf>,
    /// folder for results.json and goodput.svg
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// policy to run, or `direct`; may be repeated
    #[argh(option)]
    pub policy: Vec<String>,
    /// requests per second
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
    /// Runs every policy with every seed and prints a table.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is wrong, a trial fails or results can't be written.
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
        self.out.as_deref().map_or(Ok(()), |out| write(out, &results))
    }

    fn setup(&self) -> io::Result<Setup> {
        if self.rate_per_s.is_nan() || self.rate_per_s <= 0.0 {
            return Err(io::Error::other("--rate-per-s must be positive"));
        }
        Ok(Setup {
            duration: Duration::from_millis(self.duration_ms),
            engines: self.engines,
            instances: self.instances,
            mix: self.mix.as_deref().map_or_else(|| Ok(Mix::default()), Mix::read)?,
            rate_per_s: self.rate_per_s,
            straggler_at: self.straggler_at_ms.map(Duration::from_millis),
            straggler_speed: self.straggler_speed,
        })
    }
}

fn print_result(result: &TrialResult) {
    println!(
        "{} seed {}: prefilled {} cached {} wasted {} tokens",
        result.policy,
        result.seed,
        result.prefilled_tokens,
        result.cached_tokens,
        result.wasted_tokens
    );
    println!("{}", result.load);
}

fn write(out: &Path, results: &[TrialResult]) -> io::Result<()> {
    fs::create_dir_all(out)?;
    fs::write(out.join("results.json"), serde_json::to_string_pretty(results)?)?;
    chart::goodput(&out.join("goodput.svg"), results).map_err(io::Error::other)
}
