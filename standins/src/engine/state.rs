//! State of the engine stand-in, shared by the stepping thread and the HTTP endpoints.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cache::Cache;
use super::command::EngineCommand;
use super::stream::{GenerateRequest, Phase, Stream};
use crate::Name;
use crate::journal::{Execution, Journal};

/// Maximum number of finished streams kept for late readers.
const FINISHED_LIMIT: usize = 1024;

/// Load of an engine at the time of a sample.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct Load {
    pub age_ms: u64,
    pub queued_tokens: u64,
    pub running_requests: u64,
    pub running_tokens: u64,
}

/// Counters of an engine, for tests and experiments.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineStatistics {
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed for streams that were cancelled.
    pub wasted_tokens: u64,
    /// Number of executions started, by request.
    pub executions: BTreeMap<Name, u64>,
    /// Orders accepted.
    pub orders: u64,
}

impl EngineStatistics {
    /// Adds the counters of another engine.
    pub fn merge(&mut self, other: Self) {
        self.prefilled_tokens += other.prefilled_tokens;
        self.cached_tokens += other.cached_tokens;
        self.wasted_tokens += other.wasted_tokens;
        self.orders += other.orders;
        for (request, count) in other.executions {
            *self.executions.entry(request).or_default() += count;
        }
    }

    pub(super) fn record_execution(&mut self, execution: &Execution) {
        if let Some(request) = &execution.request {
            *self.executions.entry(Name::from(request.as_str())).or_default() += 1;
        }
    }
}

pub(super) struct State {
    pub cache: Cache,
    pub fencing: u64,
    pub journal: Journal,
    pub load: Load,
    pub load_at: Instant,
    pub next_number: u64,
    pub speed: f64,
    pub statistics: EngineStatistics,
    pub streams: Vec<Stream>,
}

pub(super) struct Engine {
    pub options: EngineCommand,
    pub changed: Condvar,
    state: Mutex<State>,
}

impl Engine {
    pub(super) fn new(options: EngineCommand) -> io::Result<Self> {
        let (journal, recorded) = Journal::open(options.journal.as_deref())?;
        let mut statistics = EngineStatistics::default();
        recorded.iter().for_each(|execution| statistics.record_execution(execution));
        let cache = Cache::new(
            options.cache_blocks,
            Duration::from_millis(options.cache_event_lag_ms),
            options.cache_event_loss,
            options.seed,
        );
        let state = State {
            cache,
            fencing: 0,
            journal,
            load: Load::default(),
            load_at: Instant::now(),
            next_number: 0,
            speed: options.speed,
            statistics,
            streams: Vec::new(),
        };
        Ok(Self { options, changed: Condvar::new(), state: Mutex::new(state) })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl State {
    /// Queues a new stream and returns its number.
    pub(super) fn queue_stream(
        &mut self,
        request: Name,
        body: GenerateRequest,
        now: Instant,
    ) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.streams.push(Stream::new(number, request, body, now));
        number
    }

    pub(super) fn stream(&mut self, number: u64) -> Option<&mut Stream> {
        let index = self.streams.binary_search_by_key(&number, |stream| stream.number).ok()?;
        Some(&mut self.streams[index])
    }

    /// Returns the number of the newest stream of a request.
    pub(super) fn newest_stream(&self, request: &str) -> Option<u64> {
        let found = self.streams.iter().rev().find(|stream| &*stream.request == request)?;
        Some(found.number)
    }

    /// Cancels a stream if it is queued or running.
    pub(super) fn cancel(&mut self, number: u64) {
        let Some(stream) = self.stream(number) else { return };
        if stream.is_active() {
            stream.phase = Phase::Cancelled;
            let wasted_tokens = stream.prefilled_tokens;
            self.statistics.wasted_tokens += wasted_tokens;
        }
    }

    /// Removes the oldest finished streams without readers beyond [`FINISHED_LIMIT`].
    pub(super) fn remove_finished(&mut self) {
        let is_finished = |stream: &Stream| !stream.is_active() && stream.readers == 0;
        let finished = self.streams.iter().filter(|stream| is_finished(stream)).count();
        let mut excess = finished.saturating_sub(FINISHED_LIMIT);
        self.streams.retain(|stream| {
            let remove = excess > 0 && is_finished(stream);
            excess -= usize::from(remove);
            !remove
        });
    }

    /// Takes a load sample if the last one is at least `interval` old.
    pub(super) fn update_load(&mut self, interval: Duration, now: Instant) {
        if now.duration_since(self.load_at) < interval {
            return;
        }
        let mut load = Load::default();
        for stream in &self.streams {
            match stream.phase {
                Phase::Queued => load.queued_tokens += stream.remaining_tokens(),
                Phase::Running => {
                    load.running_requests += 1;
                    load.running_tokens += stream.remaining_tokens();
                }
                Phase::Cancelled | Phase::Ended | Phase::Failed => {}
            }
        }
        self.load = load;
        self.load_at = now;
    }
}
