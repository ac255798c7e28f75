//! Reads the document and the list of instances from the platform's service, over HTTP.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use attohttpc::{ProxySettings, Session, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::config_event::ConfigDocument;
use crate::platform_event::ListedInstance;

const ANSWER_LIMIT_BYTES: u64 = 4 * 1024 * 1024;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
const READ_TIMEOUT_MS: u64 = 1_000;

/// Response to a read of the document.
#[derive(Deserialize)]
struct ConfigAnswer {
    text: Arc<str>,
    version: u64,
}

/// Response to a read of the list of instances.
#[derive(Deserialize)]
struct InstancesAnswer {
    instances: Vec<ListedInstance>,
}

/// Outcome of one read.
pub(crate) enum PlatformAnswer<T> {
    /// The read failed, for this reason.
    Failed(String),
    /// The document or list that was read.
    Found(T),
    /// There is nothing newer.
    Unchanged,
}

/// Reads from the platform's service, over a new connection each time, and counts the reads.
#[derive(Debug)]
pub(crate) struct PlatformClient {
    address: SocketAddr,
    reads: AtomicU64,
    session: Session,
}

impl PlatformClient {
    /// Creates a client of the service at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut session = Session::new();
        session.connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS));
        session.follow_redirects(false);
        session.proxy_settings(ProxySettings::builder().build());
        Self { address, reads: AtomicU64::new(0), session }
    }

    /// Reads the list of instances, sorted.
    pub(crate) fn instances(&self) -> PlatformAnswer<Vec<ListedInstance>> {
        match self.get::<InstancesAnswer>("/v1/instances", 0) {
            PlatformAnswer::Failed(reason) => PlatformAnswer::Failed(reason),
            PlatformAnswer::Found(mut answer) => {
                answer.instances.sort();
                PlatformAnswer::Found(answer.instances)
            }
            PlatformAnswer::Unchanged => PlatformAnswer::Unchanged,
        }
    }

    /// Returns the number of reads.
    pub(crate) fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Waits for a document above version `after`, for at most `wait_ms` milliseconds.
    pub(crate) fn watch(&self, after: u64, wait_ms: u64) -> PlatformAnswer<ConfigDocument> {
        let path = format!("/v1/config?after={after}&wait_ms={wait_ms}");
        match self.get::<ConfigAnswer>(&path, wait_ms) {
            PlatformAnswer::Failed(reason) => PlatformAnswer::Failed(reason),
            PlatformAnswer::Found(ConfigAnswer { text, version }) => {
                PlatformAnswer::Found(ConfigDocument { text, version })
            }
            PlatformAnswer::Unchanged => PlatformAnswer::Unchanged,
        }
    }

    fn get<T>(&self, path: &str, wait_ms: u64) -> PlatformAnswer<T>
    where
        T: DeserializeOwned,
    {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let timeout = Duration::from_millis(wait_ms.saturating_add(READ_TIMEOUT_MS));
        let request = self
            .session
            .get(format!("http://{}{path}", self.address))
            .read_timeout(timeout)
            .timeout(timeout);
        let (status, _, reader) = match request.send() {
            Err(error) => return PlatformAnswer::Failed(error.to_string()),
            Ok(response) => response.split(),
        };
        match status {
            StatusCode::NOT_MODIFIED => PlatformAnswer::Unchanged,
            StatusCode::OK => parse(reader),
            _ => PlatformAnswer::Failed(format!("status {}", status.as_u16())),
        }
    }
}

fn parse<T, R>(reader: R) -> PlatformAnswer<T>
where
    R: Read,
    T: DeserializeOwned,
{
    match serde_json::from_reader(reader.take(ANSWER_LIMIT_BYTES)) {
        Err(error) => PlatformAnswer::Failed(error.to_string()),
        Ok(answer) => PlatformAnswer::Found(answer),
    }
}
