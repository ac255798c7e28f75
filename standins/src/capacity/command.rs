//! Command that measures how the cost of an instance grows with its document, its fleet and its
//! load.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use super::series::CapacityReport;
use super::{config_trial, engines_trial, peers_trial, requests_trial, streams_trial};

const ONE_CELL_LABEL: &str = "instances in one cell";
const SEVERAL_CELLS_LABEL: &str = "instances in several cells";

/// Measures how the cost of an instance grows with its document, its fleet and its load, with real
/// processes.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityCommand {
    /// trial to run: config, engines, peers, requests or streams; may be repeated
    #[argh(option)]
    pub only: Vec<String>,
    /// file for the results as JSON
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// measures small sizes for a short time, to check that the tool works
    #[argh(switch)]
    pub quick: bool,
}

/// Sizes and times of all trials.
struct TrialSizes {
    /// Longer than the pause of an instance after it reads a document.
    change_interval: Duration,
    changes: u32,
    config: &'static [usize],
    engines: &'static [usize],
    one_cell: &'static [usize],
    rates_per_s: &'static [f64],
    several_cells: &'static [usize],
    streams: &'static [usize],
    window: Duration,
}

impl TrialSizes {
    fn full() -> Self {
        Self {
            change_interval: Duration::from_secs(5),
            changes: 2,
            config: &[100, 1_000, 2_000, 3_000, 4_500],
            engines: &[2, 4, 8, 16, 32],
            one_cell: &[2, 4, 6, 7, 9],
            rates_per_s: &[25.0, 50.0, 100.0, 150.0],
            several_cells: &[12, 18, 24, 36],
            streams: &[100, 250, 500, 1_000],
            window: Duration::from_secs(6),
        }
    }

    fn quick() -> Self {
        Self {
            change_interval: Duration::from_millis(100),
            changes: 1,
            config: &[10, 20, 40, 80],
            engines: &[1, 2, 3, 4],
            one_cell: &[1, 2, 3, 4],
            rates_per_s: &[5.0, 10.0, 15.0, 20.0],
            several_cells: &[],
            streams: &[2, 4, 6, 8],
            window: Duration::from_millis(300),
        }
    }
}

impl CapacityCommand {
    /// Runs the trials, prints each series with its fit and writes the results to `--out`.
    ///
    /// # Errors
    ///
    /// Returns an error if a trial is unknown or fails, or if the results can't be written.
    pub fn run(self) -> io::Result<()> {
        let known = ["config", "engines", "peers", "requests", "streams"];
        if let Some(name) = self.only.iter().find(|name| !known.contains(&name.as_str())) {
            return Err(io::Error::other(format!(
                "--only accepts {}, not {name}",
                known.join(", ")
            )));
        }
        let sizes = if self.quick { TrialSizes::quick() } else { TrialSizes::full() };
        let mut report = CapacityReport::default();
        report.record_load_average();
        for name in known.into_iter().filter(|name| self.is_selected(name)) {
            run_trial(name, &sizes, &mut report)?;
            report.record_load_average();
        }
        self.out.as_deref().map_or(Ok(()), |out| report.write(out))
    }

    fn is_selected(&self, name: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|selected| selected == name)
    }
}

fn run_trial(name: &str, sizes: &TrialSizes, report: &mut CapacityReport) -> io::Result<()> {
    let series = match name {
        "config" => config_trial::run(sizes.config, sizes.changes, sizes.change_interval),
        "engines" => engines_trial::run(sizes.engines, sizes.window),
        "peers" => peers_trial::run(sizes.one_cell, sizes.window, ONE_CELL_LABEL),
        "requests" => requests_trial::run(sizes.rates_per_s, sizes.window),
        _ => streams_trial::run(sizes.streams, sizes.window),
    };
    report.add(series.map_err(io::Error::other)?);
    if name == "peers" && !sizes.several_cells.is_empty() {
        let series = peers_trial::run(sizes.several_cells, sizes.window, SEVERAL_CELLS_LABEL);
        report.add(series.map_err(io::Error::other)?);
    }
    Ok(())
}
