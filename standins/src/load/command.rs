//! Command that runs the load driver, with its options.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use super::drive::{Target, drive};
use super::mix::Mix;
use super::plan::LoadPlan;

/// Sends a seeded load and reports its results by tier.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// address to send to; may be repeated
    #[argh(option)]
    pub address: Vec<SocketAddr>,
    /// sends directly to engines
    #[argh(switch)]
    pub direct: bool,
    /// duration of the arrivals in milliseconds
    #[argh(option, default = "10000")]
    pub duration_ms: u64,
    /// prints JSON instead of a table
    #[argh(switch)]
    pub json: bool,
    /// JSON file with the classes of requests
    #[argh(option)]
    pub mix: Option<PathBuf>,
    /// requests per second
    #[argh(option, default = "10.0")]
    pub rate_per_s: f64,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    pub seed: u64,
}

impl LoadCommand {
    /// Runs the load and prints its report.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is given, the rate isn't positive or the mix can't be read.
    pub fn run(self) -> io::Result<()> {
        self.check()?;
        let duration = Duration::from_millis(self.duration_ms);
        let mix = self.mix.as_deref().map_or_else(|| Ok(Mix::default()), Mix::read)?;
        let plan = LoadPlan::poisson(mix, self.rate_per_s, duration, self.seed);
        let target = match self.direct {
            true => Target::Direct(self.address),
            false => Target::Instances(self.address),
        };
        let report = drive(&plan, &target);
        match self.json {
            true => println!("{}", serde_json::to_string(&report)?),
            false => print!("{report}"),
        }
        Ok(())
    }

    fn check(&self) -> io::Result<()> {
        if self.address.is_empty() {
            return Err(io::Error::other("at least one --address is required"));
        }
        if self.rate_per_s.is_nan() || self.rate_per_s <= 0.0 {
            return Err(io::Error::other("--rate-per-s must be positive"));
        }
        Ok(())
    }
}
