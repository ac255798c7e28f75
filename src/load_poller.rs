//! Polls the load and the cache events of model engines, on one thread per engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use attohttpc::Method;

use crate::control::ControlInput;
use crate::effect::PollTarget;
use crate::event::Event;
use crate::http_client::{http_request, read_body};
use crate::load_report::{CacheEvent, LoadReport};
use crate::log_target::SCHEDULER;

/// Timeout of one poll, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 1_000;

const THREAD_NAME: &str = "load-poll";

/// Polls model engines and sends their reports to the control thread.
pub struct LoadPoller {
    control: flume::Sender<ControlInput>,
    interval: Duration,
    polls: Vec<(PollTarget, Arc<AtomicBool>)>,
}

impl LoadPoller {
    /// Creates a poller without targets that polls every `interval_ms` milliseconds.
    pub fn new(control: flume::Sender<ControlInput>, interval_ms: u64) -> Self {
        Self { control, interval: Duration::from_millis(interval_ms), polls: Vec::new() }
    }

    /// Replaces the set of polled engines.
    pub fn set_targets(&mut self, targets: Vec<PollTarget>) {
        self.polls.retain(|(target, active)| {
            let kept = targets.contains(target);
            active.store(kept, Ordering::Release);
            kept
        });
        for target in targets {
            if !self.polls.iter().any(|(known, _)| *known == target) {
                self.start(target);
            }
        }
    }

    fn start(&mut self, target: PollTarget) {
        let active = Arc::new(AtomicBool::new(true));
        self.polls.push((target.clone(), active.clone()));
        let control = self.control.clone();
        let interval = self.interval;
        let thread = std::thread::Builder::new().name(THREAD_NAME.into());
        let started = thread.spawn(move || {
            let mut sequence = 0;
            while active.load(Ordering::Acquire) {
                poll_load(&target, &control);
                sequence = poll_cache_events(&target, sequence, &control);
                std::thread::sleep(interval);
            }
        });
        if let Err(error) = started {
            log::warn!(target: SCHEDULER, "Starting a load poll thread failed: {error}.");
        }
    }
}

fn fetch<T>(target: &PollTarget, path: &str) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let timeout = Duration::from_millis(POLL_TIMEOUT_MS);
    let url = format!("http://{}{path}", target.address);
    let request = http_request(Method::GET, &url).connect_timeout(timeout).timeout(timeout);
    let response = request.send().ok()?;
    if !response.is_success() {
        return None;
    }
    serde_json::from_slice(&read_body(response.split().2).ok()?).ok()
}

fn poll_cache_events(
    target: &PollTarget,
    after: u64,
    control: &flume::Sender<ControlInput>,
) -> u64 {
    let path = format!("/v1/cache-events?after={after}");
    let Some(events) = fetch::<Vec<CacheEvent>>(target, &path) else { return after };
    let Some(last) = events.last() else { return after };
    let sequence = last.sequence;
    let event = Event::CacheEvents {
        backend_server: target.backend_server.clone(),
        events,
        service: target.service.clone(),
    };
    let _ = control.send(ControlInput::Event(event));
    sequence
}

fn poll_load(target: &PollTarget, control: &flume::Sender<ControlInput>) {
    let Some(report) = fetch::<LoadReport>(target, "/v1/load") else { return };
    let event = Event::LoadReport {
        backend_server: target.backend_server.clone(),
        report,
        service: target.service.clone(),
    };
    let _ = control.send(ControlInput::Event(event));
}
