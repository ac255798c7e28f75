//! Reads the document and the list of instances from the platform's service, over HTTP.

use std::io::{self, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use attohttpc::{ProxySettings, Session, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::config_event::ConfigDocument;
use crate::platform_event::ListedInstance;
use crate::transfer::{MIN_BYTES_PER_MS, Transfer};

const ANSWER_LIMIT_BYTES: u64 = 4 * 1024 * 1024;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
const READ_TIMEOUT_MS: u64 = 1_000;
/// Time that the longest answer takes at the slowest rate that is waited for, in milliseconds.
const BODY_LIMIT_MS: u64 = ANSWER_LIMIT_BYTES / MIN_BYTES_PER_MS;

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
        let answer_limit_ms = wait_ms.saturating_add(READ_TIMEOUT_MS);
        let request = self
            .session
            .get(format!("http://{}{path}", self.address))
            .read_timeout(Duration::from_millis(answer_limit_ms))
            .timeout(Duration::from_millis(answer_limit_ms.saturating_add(BODY_LIMIT_MS)));
        let (status, _, reader) = match request.send() {
            Err(error) => return PlatformAnswer::Failed(error.to_string()),
            Ok(response) => response.split(),
        };
        match status {
            StatusCode::NOT_MODIFIED => PlatformAnswer::Unchanged,
            StatusCode::OK => parse(BufReader::new(PacedReader::new(reader))),
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

/// A body that is read for as long as it keeps arriving.
struct PacedReader<R> {
    body: R,
    began: Instant,
    transfer: Transfer,
}

impl<R> PacedReader<R>
where
    R: Read,
{
    fn new(body: R) -> Self {
        let mut transfer = Transfer::new(0, 0);
        transfer.record_begin(0);
        Self { body, began: Instant::now(), transfer }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl<R> Read for PacedReader<R>
where
    R: Read,
{
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let length = self.body.read(buffer)?;
        let now_ms = self.now_ms();
        let is_given_up = self.transfer.time_left_ms(now_ms) == 0;
        self.transfer.record_bytes(now_ms, length);
        if length > 0 && is_given_up {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the answer arrives too slowly"));
        }
        Ok(length)
    }
}
