//! Summary of the results of one policy over all seeds.

use std::fmt::{self, Display, Formatter};

use super::trial::TrialResult;
use crate::load::TierReport;

/// Summary of the results of one policy over all seeds.
#[derive(Clone, Debug)]
pub struct Summary<'a> {
    trials: &'a [TrialResult],
}

impl<'a> Summary<'a> {
    /// Creates a summary of the trials of one policy.
    pub fn new(trials: &'a [TrialResult]) -> Self {
        Self { trials }
    }

    fn sum<F>(&self, value: F) -> u64
    where
        F: Fn(&TrialResult) -> u64,
    {
        self.trials.iter().map(value).sum()
    }

    fn tier_sum<F>(&self, name: &str, value: F) -> u64
    where
        F: Fn(&TierReport) -> u64,
    {
        self.trials.iter().filter_map(|trial| trial.load.tier(name)).map(value).sum()
    }

    fn write_tier(&self, formatter: &mut Formatter<'_>, name: &str) -> fmt::Result {
        let offered = self.tier_sum(name, |tier| tier.offered);
        let done = self.tier_sum(name, |tier| tier.done_in_time);
        let lowest = self.trials.iter().filter_map(|trial| trial.load.tier(name));
        let lowest =
            lowest.map(|tier| percent(tier.done_in_time, tier.offered)).fold(100.0, f64::min);
        let shed = self.tier_sum(name, |tier| tier.not_run);
        writeln!(
            formatter,
            "  {name:<12} goodput {:>6.2} % (lowest run {lowest:>6.2} %) of {offered:>6}, shed {shed:>5}",
            percent(done, offered)
        )
    }
}

impl Display for Summary<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Some(first) = self.trials.first() else { return Ok(()) };
        let runs = self.trials.len();
        writeln!(formatter, "{} over {runs} runs", first.policy)?;
        for tier in &first.load.tiers {
            self.write_tier(formatter, &tier.tier)?;
        }
        let tiers = || self.trials.iter().flat_map(|trial| &trial.load.tiers);
        let offered: u64 = tiers().map(|tier| tier.offered).sum();
        let done: u64 = tiers().map(|tier| tier.done_in_time).sum();
        writeln!(formatter, "  total        goodput {:>6.2} %", percent(done, offered))?;
        let wasted = self.sum(|trial| trial.wasted_prefill_tokens);
        let prefilled = self.sum(|trial| trial.prefilled_tokens);
        writeln!(
            formatter,
            "  wasted prefill {} tokens a run ({:.1} % of {}), of streams cancelled {}",
            wasted / runs as u64,
            percent(wasted, prefilled),
            prefilled / runs as u64,
            self.sum(|trial| trial.wasted_tokens) / runs as u64
        )?;
        let inversions = self.sum(|trial| trial.coordinators.inversions);
        let averages = self.trials.iter().map(|trial| trial.load_average);
        let highest = averages.fold(0.0, f64::max);
        writeln!(formatter, "  inversions {inversions}, load average up to {highest:.1}")
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}
