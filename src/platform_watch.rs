//! The threads that watch the platform's service.
//!
//! One waits for a newer document, with at most one watch at a time; the other reads the list of
//! instances at a bounded rate. Both back off while reads fail.
//!
//! A change or an outage ends the watches of all instances at once, so each waits for a random
//! time before its next one. This keeps 1,200 instances within the platform's limit of 2,000
//! reads a second.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flume::RecvTimeoutError;
use log::{debug, warn};

use crate::back_off::BackOff;
use crate::error::Error;
use crate::log_target::PLATFORM;
use crate::platform_client::{PlatformAnswer, PlatformClient};
use crate::platform_event::{PlatformEvent, PlatformSink};
use crate::settings::PlatformSettings;

const MAX_BACK_OFF_MS: u64 = 4_000;
const MIN_BACK_OFF_MS: u64 = 3_000;
const MAX_LIST_INTERVAL_MS: u64 = 2_200;

/// The watch of the platform's service.
///
/// Dropping this ends the threads after their current reads, which deliver nothing more.
pub struct PlatformWatch {
    client: Arc<PlatformClient>,
    version: Arc<AtomicU64>,
    _running: flume::Sender<()>,
}

impl PlatformWatch {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if a thread can't be started.
    pub fn start(settings: &PlatformSettings, sink: Arc<dyn PlatformSink>) -> Result<Self, Error> {
        let client = Arc::new(PlatformClient::new(settings.address));
        let version = Arc::new(AtomicU64::new(0));
        let (running, stopped) = flume::bounded(0);
        let config = ConfigLoop {
            last_version: 0,
            reader: PlatformReader::new(client.clone(), sink.clone(), stopped.clone()),
            version: version.clone(),
            wait_ms: settings.watch_timeout_ms,
        };
        let list = PlatformReader::new(client.clone(), sink, stopped);
        spawn("platform-config", move || config.run())?;
        spawn("platform-list", move || poll_instances(list))?;
        Ok(Self { client, version, _running: running })
    }

    /// Returns the number of reads, in which a waiting watch counts as one.
    pub fn reads(&self) -> u64 {
        self.client.reads()
    }

    /// Sets the version in force; the next watch waits for a newer one.
    pub fn set_version(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }
}

/// How a pause of a thread ended.
#[derive(Clone, Copy, Eq, PartialEq)]
enum PauseEnd {
    Elapsed,
    Stopped,
}

/// Client, back-off and sink of one of the two threads.
struct PlatformReader {
    back_off: BackOff,
    client: Arc<PlatformClient>,
    reachable: bool,
    sink: Arc<dyn PlatformSink>,
    stopped: flume::Receiver<()>,
}

impl PlatformReader {
    fn new(
        client: Arc<PlatformClient>,
        sink: Arc<dyn PlatformSink>,
        stopped: flume::Receiver<()>,
    ) -> Self {
        let back_off = BackOff::new(MIN_BACK_OFF_MS, MAX_BACK_OFF_MS);
        Self { back_off, client, reachable: true, sink, stopped }
    }

    fn deliver(&self, event: PlatformEvent) {
        if !self.stopped.is_disconnected() {
            self.sink.deliver(event);
        }
    }

    fn back_off_after_failure(&mut self, reason: &str) -> PauseEnd {
        if self.reachable {
            warn!(target: PLATFORM, "Reading the platform failed: {reason}.");
        } else {
            debug!(target: PLATFORM, "Reading the platform failed again: {reason}.");
        }
        self.reachable = false;
        self.deliver(PlatformEvent::Unreachable);
        self.pause_with_back_off()
    }

    fn pause(&self, wait_ms: u64) -> PauseEnd {
        match self.stopped.recv_timeout(Duration::from_millis(wait_ms)) {
            Err(RecvTimeoutError::Timeout) => PauseEnd::Elapsed,
            Err(RecvTimeoutError::Disconnected) | Ok(()) => PauseEnd::Stopped,
        }
    }

    fn pause_with_back_off(&mut self) -> PauseEnd {
        let wait_ms = self.back_off.next_wait_ms();
        self.pause(wait_ms)
    }

    fn record_success(&mut self) {
        self.reachable = true;
        self.back_off.reset();
    }
}

/// The thread that waits for a newer document.
struct ConfigLoop {
    last_version: u64,
    reader: PlatformReader,
    version: Arc<AtomicU64>,
    wait_ms: u64,
}

impl ConfigLoop {
    fn run(mut self) {
        while self.watch_once() == PauseEnd::Elapsed {}
    }

    /// Returns half of the longest wait; after a watch that ended sooner, the thread backs off.
    fn half_wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms / 2)
    }

    fn watch_once(&mut self) -> PauseEnd {
        let after = self.version.load(Ordering::Relaxed);
        let started = Instant::now();
        match self.reader.client.watch(after, self.wait_ms) {
            PlatformAnswer::Failed(reason) => self.reader.back_off_after_failure(&reason),
            PlatformAnswer::Found(document) => {
                let is_new = document.version > after && document.version != self.last_version;
                self.last_version = document.version;
                self.reader.reachable = true;
                self.reader.deliver(PlatformEvent::Document(document));
                if !is_new {
                    return self.reader.pause_with_back_off();
                }
                self.reader.record_success();
                self.reader.pause(self.reader.back_off.jitter_ms())
            }
            PlatformAnswer::Unchanged if started.elapsed() < self.half_wait() => {
                self.reader.reachable = true;
                self.reader.pause_with_back_off()
            }
            PlatformAnswer::Unchanged => {
                self.reader.record_success();
                self.reader.pause(0)
            }
        }
    }
}

fn poll_instances(mut reader: PlatformReader) {
    let mut interval = BackOff::new(MAX_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS);
    loop {
        let pause = match reader.client.instances() {
            PlatformAnswer::Failed(reason) => reader.back_off_after_failure(&reason),
            PlatformAnswer::Found(instances) => {
                reader.record_success();
                reader.deliver(PlatformEvent::Instances(instances));
                reader.pause(interval.next_wait_ms())
            }
            PlatformAnswer::Unchanged => reader.pause(interval.next_wait_ms()),
        };
        if pause == PauseEnd::Stopped {
            return;
        }
    }
}

fn spawn<F>(name: &str, body: F) -> Result<(), Error>
where
    F: FnOnce() + Send + 'static,
{
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .map(drop)
        .map_err(|source| Error::io(format!("Starting the thread {name} failed"), source))
}
