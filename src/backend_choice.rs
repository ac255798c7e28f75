//! The choice of a backend server for one request, by expected completion and repeated prefill.
//!
//! A request that has no room anywhere reserves one server, so that smaller requests behind it
//! can't keep it waiting: backfilling after Lifka, "The ANL/IBM SP scheduling system", 1995.

use crate::engine_state::EngineState;
use crate::scheduling::GrantRequest;

/// Weight of prefill that another server need not repeat, against the request's own time: it
/// delays each request that runs at the server as well.
const REPEATED_PREFILL_WEIGHT: u64 = 8;

/// What to do with one waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendChoice {
    /// Pass over it: no server that it may use takes work.
    Skip,
    /// Keep this server free for it.
    Reserve(usize),
    /// Grant this server.
    Select(usize),
}

/// A request as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The grant request.
    pub grant_request: &'a GrantRequest,
    /// Tokens that it counts for.
    pub cost_tokens: u64,
    /// Tokens of the answer, by estimate.
    pub output_tokens: u32,
}

/// Chooses among the servers that are not reserved.
pub fn choose_backend_server(
    now_ms: u64,
    engines: &[EngineState],
    reserved: &[bool],
    candidate: Candidate<'_>,
) -> BackendChoice {
    let prefix_hashes = &candidate.grant_request.prefix_hashes;
    let eligible = || {
        engines.iter().enumerate().filter(|(index, engine)| {
            !reserved[*index]
                && engine.usable(now_ms)
                && !candidate.grant_request.excluded.contains(&engine.name)
        })
    };
    let cached_tokens = |engine: &EngineState| engine.prefixes.cached_tokens(prefix_hashes);
    let most_cached_tokens =
        eligible().map(|(_, engine)| cached_tokens(engine)).max().unwrap_or_default();
    let best = eligible()
        .filter(|(_, engine)| engine.fits(now_ms, candidate.cost_tokens))
        .min_by_key(|(_, engine)| {
            let completion_ms = engine.expected_completion_ms(
                now_ms,
                candidate.grant_request,
                candidate.output_tokens,
            );
            let repeated_tokens = most_cached_tokens.saturating_sub(cached_tokens(engine));
            let repeated_ms = engine.speed.prefill_ms(repeated_tokens);
            let weighted_ms =
                completion_ms.saturating_add(repeated_ms.saturating_mul(REPEATED_PREFILL_WEIGHT));
            (weighted_ms, engine.running_tokens)
        });
    if let Some((index, _)) = best {
        return BackendChoice::Select(index);
    }
    match eligible().min_by_key(|(_, engine)| engine.running_tokens) {
        Some((index, _)) => BackendChoice::Reserve(index),
        None => BackendChoice::Skip,
    }
}
