//! Chooses a backend server for one waiting request, by expected completion and repeated prefill.
//!
//! A request that fits on no server reserves one, so that smaller requests behind it can't keep it
//! waiting: backfilling after Lifka, "The ANL/IBM SP scheduling system", 1995.

use crate::engine_state::EngineState;
use crate::scheduling::GrantRequest;

/// Weight of prefill that another server has cached, against the request's own time: repeating it
/// delays each other request that runs at the server as well.
const REPEATED_PREFILL_WEIGHT: u64 = 8;

/// Decision on one waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendChoice {
    /// Skip it: no server that it may use takes new requests.
    Skip,
    /// Reserve the server at this index for it.
    Reserve(usize),
    /// Grant it the server at this index.
    Select(usize),
}

/// A waiting request and its estimated cost.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The grant request.
    pub grant_request: &'a GrantRequest,
    /// Its cost against the limit, in tokens.
    pub cost_tokens: u64,
    /// Estimated tokens of the answer.
    pub output_tokens: u32,
}

/// Chooses among the servers that are not reserved: the one with room and the least weighted time,
/// or else the one with the fewest tokens in progress, to reserve it.
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
