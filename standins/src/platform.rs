//! Stand-in for the platform's configuration service and instance list.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use crate::http::{self, Reply};
use crate::process;

/// Longest wait of a watch request.
const WATCH_LIMIT_MS: u64 = 60_000;

/// Runs a stand-in for the platform.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformCommand {
    /// address to listen on
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    pub listen: SocketAddr,
}

/// A published configuration document.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Document {
    /// Version named in the document.
    pub version: u64,
    /// The INI text.
    pub text: String,
}

/// An entry of the instance list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedInstance {
    /// Name of an instance or a backend server.
    pub name: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The instance list, which may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstanceList {
    /// Entries in the order published.
    pub instances: Vec<ListedInstance>,
}

/// Call counters.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counters {
    /// Maximum number of watch calls that waited at the same time.
    pub most_waiting: u64,
    /// Calls that are answered at once.
    pub reads: u64,
    /// Watch calls that are waiting now.
    pub waiting: u64,
    /// Watch calls, which wait for a newer version.
    pub watches: u64,
}

/// Faults that the platform simulates.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every read and watch fails.
    pub outage: bool,
    /// Highest version that is visible.
    pub stale_version: Option<u64>,
    /// Delay until a change is visible, in milliseconds.
    pub lag_ms: u64,
}

#[derive(Default)]
struct State {
    counters: Counters,
    documents: Vec<(Instant, Document)>,
    faults: PlatformFaults,
    lists: Vec<(Instant, InstanceList)>,
}

#[derive(Default)]
struct Platform {
    changed: Condvar,
    state: Mutex<State>,
}

impl PlatformCommand {
    /// Runs the platform until SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn run(self) -> io::Result<()> {
        let listener = http::listen(self.listen)?;
        let address = listener.local_addr()?;
        let platform = Arc::new(Platform::default());
        http::serve(listener, move |request| answer(&platform, request))?;
        process::announce_and_wait(address)
    }
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl State {
    /// Returns the newest document that is visible now.
    fn document(&self, now: Instant) -> Option<&Document> {
        let lag = Duration::from_millis(self.faults.lag_ms);
        let limit = self.faults.stale_version.unwrap_or(u64::MAX);
        let visible = self.documents.iter().rev().filter(|(at, _)| *at + lag <= now);
        visible.map(|(_, document)| document).find(|document| document.version <= limit)
    }

    fn list(&self, now: Instant) -> InstanceList {
        let lag = Duration::from_millis(self.faults.lag_ms);
        let visible = self.lists.iter().rev().find(|(at, _)| *at + lag <= now);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

fn answer(platform: &Platform, mut request: Request) {
    let url = request.url().to_owned();
    let (path, query) = http::split_url(&url);
    let reply = match (request.method(), path) {
        (Method::Get, "/v1/config") => match http::query_number(query, "wait_ms") {
            Some(wait_ms) => watch_config(platform, http::query_number(query, "after"), wait_ms),
            None => read_config(platform),
        },
        (Method::Get, "/v1/instances") => list_instances(platform),
        (Method::Get, "/v1/counters") => Reply::json(&platform.lock().counters),
        (Method::Put, "/v1/admin/config") => publish_config(platform, &mut request),
        (Method::Put, "/v1/admin/instances") => set_instances(platform, &mut request),
        (Method::Put, "/v1/admin/faults") => set_faults(platform, &mut request),
        _ => Reply::status(404),
    };
    reply.send(request);
}

fn read_config(platform: &Platform) -> Reply {
    let mut state = platform.lock();
    state.counters.reads += 1;
    if state.faults.outage {
        return Reply::status(503);
    }
    state.document(Instant::now()).map_or(Reply::status(404), Reply::json)
}

fn watch_config(platform: &Platform, after: Option<u64>, wait_ms: u64) -> Reply {
    let deadline = Instant::now() + Duration::from_millis(wait_ms.min(WATCH_LIMIT_MS));
    let mut state = platform.lock();
    state.counters.watches += 1;
    state.counters.waiting += 1;
    state.counters.most_waiting = state.counters.most_waiting.max(state.counters.waiting);
    let (mut state, reply) = wait_for_newer_document(platform, state, after, deadline);
    state.counters.waiting -= 1;
    reply
}

fn wait_for_newer_document<'a>(
    platform: &'a Platform,
    mut state: MutexGuard<'a, State>,
    after: Option<u64>,
    deadline: Instant,
) -> (MutexGuard<'a, State>, Reply) {
    /// Longest interval between two checks for a change whose delay has passed.
    const POLL_INTERVAL_MS: u64 = 50;
    loop {
        let now = Instant::now();
        if state.faults.outage {
            return (state, Reply::status(503));
        }
        let newer =
            state.document(now).filter(|found| after.is_none_or(|after| found.version > after));
        if let Some(reply) = newer.map(Reply::json) {
            return (state, reply);
        }
        if now >= deadline {
            return (state, Reply::status(304));
        }
        let wait = (deadline - now).min(Duration::from_millis(POLL_INTERVAL_MS));
        state = platform.changed.wait_timeout(state, wait).expect("no thread panics").0;
    }
}

fn list_instances(platform: &Platform) -> Reply {
    let mut state = platform.lock();
    state.counters.reads += 1;
    if state.faults.outage {
        return Reply::status(503);
    }
    Reply::json(&state.list(Instant::now()))
}

fn publish_config(platform: &Platform, request: &mut Request) -> Reply {
    let mut text = String::new();
    if request.as_reader().read_to_string(&mut text).is_err() {
        return Reply::status(400);
    }
    let Some(version) = version_of(&text) else { return Reply::status(400) };
    platform.lock().documents.push((Instant::now(), Document { version, text }));
    platform.changed.notify_all();
    Reply::status(200)
}

/// Returns the version in the `[inventory]` section of a document.
fn version_of(text: &str) -> Option<u64> {
    let mut lines = text.lines().map(str::trim).skip_while(|line| *line != "[inventory]").skip(1);
    let pairs = lines.by_ref().take_while(|line| !line.starts_with('['));
    let mut pairs = pairs.filter_map(|line| line.split_once('='));
    let (_, value) = pairs.find(|(key, _)| key.trim() == "version")?;
    value.trim().parse().ok()
}

fn set_instances(platform: &Platform, request: &mut Request) -> Reply {
    match http::read_json(request) {
        Ok(list) => {
            platform.lock().lists.push((Instant::now(), list));
            Reply::status(200)
        }
        Err(reply) => reply,
    }
}

fn set_faults(platform: &Platform, request: &mut Request) -> Reply {
    match http::read_json(request) {
        Ok(faults) => {
            platform.lock().faults = faults;
            platform.changed.notify_all();
            Reply::status(200)
        }
        Err(reply) => reply,
    }
}
