//! Results of a load by tier.

use std::fmt::{self, Display, Formatter};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TimesMs {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Outcome of a request as seen by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestOutcome {
    Broken,
    Done,
    Failed,
    Late,
    NotRun,
    Unknown,
    Wrong,
}

/// A prompt prefix shared by requests.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct SharedPrefix {
    pub customer: String,
    pub number: u64,
    pub service: String,
    pub tokens: u64,
}

/// Prompt of a request to a model service.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    pub own_tokens: u64,
    pub prefix: Option<SharedPrefix>,
}

/// Result of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestResult {
    pub outcome: RequestOutcome,
    pub prompt: Option<Prompt>,
    pub tier: String,
    pub ttft_ms: Option<u64>,
}

/// Results of one tier.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TierReport {
    /// Tier.
    pub tier: String,
    /// Requests sent.
    pub offered: u64,
    /// Requests with a complete answer in time.
    pub done_in_time: u64,
    /// Requests with a complete answer that was late.
    pub late: u64,
    /// Requests whose answer says that they did not run.
    pub not_run: u64,
    /// Requests whose answer says that they may have run.
    pub unknown: u64,
    /// Requests whose answer says that they failed.
    pub failed: u64,
    /// Requests without a final answer.
    pub broken: u64,
    /// Requests answered as done whose answer is incomplete or incorrect.
    pub wrong: u64,
    /// Time to the first token.
    pub ttft_ms: TimesMs,
}

/// Results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Results by tier, sorted by name.
    pub tiers: Vec<TierReport>,
    /// Minimum of prompt tokens that the answers in time needed: the tokens after the shared
    /// prefixes, and each shared prefix once.
    pub useful_prompt_tokens: u64,
}

impl LoadReport {
    pub(super) fn new(mut results: Vec<RequestResult>) -> Self {
        let useful_prompt_tokens = useful_prompt_tokens(&results);
        results.sort_by(|a, b| a.tier.cmp(&b.tier));
        let groups = results.chunk_by(|a, b| a.tier == b.tier);
        Self { tiers: groups.map(tier_report).collect(), useful_prompt_tokens }
    }

    /// Returns the results of a tier.
    pub fn tier(&self, name: &str) -> Option<&TierReport> {
        let index = self.tiers.binary_search_by(|tier| tier.tier.as_str().cmp(name)).ok()?;
        self.tiers.get(index)
    }
}

impl Display for LoadReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<12} {:>8} {:>8} {:>6} {:>8} {:>8} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8}",
            "tier",
            "offered",
            "in time",
            "late",
            "not run",
            "unknown",
            "failed",
            "broken",
            "wrong",
            "ttft p50",
            "p95",
            "p99"
        )?;
        self.tiers.iter().try_for_each(|tier| writeln!(formatter, "{tier}"))
    }
}

impl Display for TierReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:<12} {:>8} {:>8} {:>6} {:>8} {:>8} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8}",
            self.tier,
            self.offered,
            self.done_in_time,
            self.late,
            self.not_run,
            self.unknown,
            self.failed,
            self.broken,
            self.wrong,
            self.ttft_ms.p50,
            self.ttft_ms.p95,
            self.ttft_ms.p99
        )
    }
}

fn useful_prompt_tokens(results: &[RequestResult]) -> u64 {
    let done = results.iter().filter(|result| result.outcome == RequestOutcome::Done);
    let prompts: Vec<&Prompt> = done.filter_map(|result| result.prompt.as_ref()).collect();
    let mut prefixes: Vec<&SharedPrefix> =
        prompts.iter().filter_map(|prompt| prompt.prefix.as_ref()).collect();
    prefixes.sort();
    prefixes.dedup();
    let own_tokens: u64 = prompts.iter().map(|prompt| prompt.own_tokens).sum();
    own_tokens + prefixes.iter().map(|prefix| prefix.tokens).sum::<u64>()
}

fn tier_report(results: &[RequestResult]) -> TierReport {
    let count = |outcome| {
        results.iter().filter(|result: &&RequestResult| result.outcome == outcome).count() as u64
    };
    TierReport {
        tier: results[0].tier.clone(),
        offered: results.len() as u64,
        done_in_time: count(RequestOutcome::Done),
        late: count(RequestOutcome::Late),
        not_run: count(RequestOutcome::NotRun),
        unknown: count(RequestOutcome::Unknown),
        failed: count(RequestOutcome::Failed),
        broken: count(RequestOutcome::Broken),
        wrong: count(RequestOutcome::Wrong),
        ttft_ms: percentiles(results.iter().filter_map(|result| result.ttft_ms)),
    }
}

fn percentiles<I>(values_ms: I) -> TimesMs
where
    I: Iterator<Item = u64>,
{
    let mut histogram =
        Histogram::<u64>::new(HISTOGRAM_DIGITS).expect("the number of digits is in range");
    for value_ms in values_ms {
        histogram.record(value_ms).expect("the histogram resizes itself");
    }
    let percentile = |quantile| histogram.value_at_quantile(quantile);
    TimesMs { p50: percentile(0.5), p95: percentile(0.95), p99: percentile(0.99) }
}
