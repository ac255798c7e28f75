//! Stepping thread of the engine stand-in, which runs a batch of prefill and decode work per step.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::state::{Engine, State};
use super::stream::Phase;
use super::tokens::BLOCK_TOKENS;
use crate::journal::Execution;

/// Longest wait for work, after which streams and load are checked again.
const IDLE_WAIT_MS: u64 = 20;

/// Exit code after a crash on a prompt.
const CRASH_CODE: i32 = 101;

/// Work of one stream in a step.
#[derive(Clone, Copy)]
enum Work {
    Decode { number: u64 },
    Prefill { number: u64, tokens: u64 },
}

/// Starts the stepping thread.
pub(super) fn start(engine: Arc<Engine>) {
    thread::spawn(move || {
        loop {
            step(&engine);
        }
    });
}

fn step(engine: &Engine) {
    let mut state = engine.lock();
    let now = Instant::now();
    cancel_orphans(engine, &mut state, now);
    state.remove_finished();
    admit_queued(engine, &mut state);
    state.update_load(Duration::from_millis(engine.options.load_lag_ms), now);
    let batch = plan_batch(engine, &state);
    if batch.is_empty() {
        let idle = Duration::from_millis(IDLE_WAIT_MS);
        drop(engine.changed.wait_timeout(state, idle));
        return;
    }
    let step_duration = step_duration(engine, &batch, state.speed);
    drop(state);
    thread::sleep(step_duration);
    apply_batch(&mut engine.lock(), &batch);
    engine.changed.notify_all();
}

fn cancel_orphans(engine: &Engine, state: &mut State, now: Instant) {
    let limit = Duration::from_millis(engine.options.orphan_ms);
    let orphans = state.streams.iter().filter(|stream| {
        stream.is_active()
            && stream.readers == 0
            && now.saturating_duration_since(stream.unread_since) >= limit
    });
    let numbers: Vec<u64> = orphans.map(|stream| stream.number).collect();
    for number in numbers {
        state.cancel(number);
    }
}

fn admit_queued(engine: &Engine, state: &mut State) {
    let State { streams, cache, journal, statistics, .. } = state;
    let mut running = streams.iter().filter(|stream| stream.phase == Phase::Running).count();
    for stream in streams.iter_mut().filter(|stream| stream.phase == Phase::Queued) {
        if running >= engine.options.max_running {
            return;
        }
        let execution = Execution { key: None, request: Some(stream.request.to_string()) };
        journal.record(&execution);
        statistics.record_execution(&execution);
        if contains(&stream.prompt, engine.options.crash_on.as_deref()) {
            std::process::exit(CRASH_CODE);
        }
        if contains(&stream.prompt, engine.options.fail_on.as_deref()) {
            stream.phase = Phase::Failed;
            engine.changed.notify_all();
            continue;
        }
        stream.start(cache.touch(&stream.hashes) as u64 * BLOCK_TOKENS);
        statistics.cached_tokens += stream.cached_tokens;
        running += 1;
    }
}

fn contains(prompt: &str, text: Option<&str>) -> bool {
    text.is_some_and(|text| prompt.contains(text))
}

fn plan_batch(engine: &Engine, state: &State) -> Vec<Work> {
    let mut budget_tokens = engine.options.batch_tokens;
    let mut batch = Vec::new();
    for stream in state.streams.iter().filter(|stream| stream.is_decoding()) {
        if budget_tokens == 0 {
            return batch;
        }
        budget_tokens -= 1;
        batch.push(Work::Decode { number: stream.number });
    }
    let running = state.streams.iter().filter(|stream| stream.phase == Phase::Running);
    for stream in running.filter(|stream| stream.remaining_prefill_tokens > 0) {
        let tokens = stream.remaining_prefill_tokens.min(budget_tokens);
        if tokens == 0 {
            break;
        }
        budget_tokens -= tokens;
        batch.push(Work::Prefill { number: stream.number, tokens });
    }
    batch
}

fn step_duration(engine: &Engine, batch: &[Work], speed: f64) -> Duration {
    let work_us: u64 = batch
        .iter()
        .map(|work| match work {
            Work::Decode { .. } => engine.options.decode_us_per_token,
            Work::Prefill { tokens, .. } => tokens * engine.options.prefill_us_per_token,
        })
        .sum();
    let total_us = (engine.options.step_base_us + work_us) as f64 / speed;
    Duration::from_micros(total_us as u64)
}

fn apply_batch(state: &mut State, batch: &[Work]) {
    for work in batch {
        match *work {
            Work::Decode { number } => produce_token(state, number),
            Work::Prefill { number, tokens } => prefill(state, number, tokens),
        }
    }
}

fn prefill(state: &mut State, number: u64, tokens: u64) {
    state.statistics.prefilled_tokens += tokens;
    let Some(stream) = state.stream(number) else { return };
    stream.prefilled_tokens += tokens;
    stream.remaining_prefill_tokens -= tokens;
    if stream.phase == Phase::Cancelled {
        state.statistics.wasted_tokens += tokens;
        return;
    }
    if stream.remaining_prefill_tokens == 0 {
        let hashes = stream.hashes.clone();
        state.cache.store(&hashes, Instant::now());
        produce_token(state, number);
    }
}

fn produce_token(state: &mut State, number: u64) {
    let Some(stream) = state.stream(number) else { return };
    if stream.phase != Phase::Running {
        return;
    }
    stream.produced_tokens += 1;
    if stream.produced_tokens >= stream.output_tokens {
        stream.phase = Phase::Ended;
    }
}
