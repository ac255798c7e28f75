//! Calls to an instance through its protocol for callers.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::{ErrorKind, Method, ProxySettings, RequestBuilder};
use serde_json::Value;
use thiserror::Error;

use super::answer::Answer;
use super::answer_reader;
use super::events::Event;

/// Default timeout of a call.
const TIMEOUT_MS: u64 = 60_000;

/// Why a call got no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The body could not be serialized as JSON.
    #[error("the body could not be serialized as JSON: {0}")]
    Body(attohttpc::Error),
    /// The connection failed before the head of the response arrived; the request may have run.
    #[error("{0}")]
    Connection(attohttpc::Error),
}

impl CallError {
    /// Returns whether the connection was refused, so that nothing was sent.
    pub fn is_refused(&self) -> bool {
        let Self::Connection(error) = self else { return false };
        match error.kind() {
            ErrorKind::ConnectError { .. } => true,
            ErrorKind::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }
}

/// Builder of a call.
#[derive(Clone, Debug)]
pub struct Call {
    address: SocketAddr,
    body: Value,
    headers: Vec<(&'static str, String)>,
    path: String,
    service: String,
    timeout: Duration,
}

impl Call {
    /// Creates a call to a service through the instance at `address`.
    pub fn new(address: SocketAddr, service: &str, body: Value) -> Self {
        Self {
            address,
            body,
            headers: Vec::new(),
            path: String::new(),
            service: service.to_owned(),
            timeout: Duration::from_millis(TIMEOUT_MS),
        }
    }

    /// Sets the address of the instance.
    pub fn address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets the customer.
    pub fn customer(self, customer: &str) -> Self {
        self.header("Bergamotspan-Customer", customer)
    }

    /// Sets the deadline in milliseconds.
    pub fn deadline_ms(self, deadline_ms: u64) -> Self {
        self.header("Bergamotspan-Deadline-Ms", &deadline_ms.to_string())
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Requests one JSON body instead of a stream.
    pub fn json(self) -> Self {
        self.header("Accept", "application/json")
    }

    /// Sets the idempotency key.
    pub fn key(self, key: &str) -> Self {
        self.header("Idempotency-Key", key)
    }

    /// Sets the path below the service.
    pub fn path(mut self, path: &str) -> Self {
        self.path = format!("/{}", path.trim_start_matches('/'));
        self
    }

    /// Sets the tier.
    pub fn tier(self, tier: &str) -> Self {
        self.header("Bergamotspan-Tier", tier)
    }

    /// Sets the timeout in milliseconds.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout = Duration::from_millis(timeout_ms);
        self
    }

    /// Sends the call and reads its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub fn send(&self) -> Result<Answer, CallError> {
        self.send_observed(|_| {})
    }

    /// Sends the call and passes each event to `observe` as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub fn send_observed<F>(&self, observe: F) -> Result<Answer, CallError>
    where
        F: FnMut(&Event),
    {
        let Self { address, path, service, .. } = self;
        let url = format!("http://{address}/v1/services/{service}/requests{path}");
        let mut request = RequestBuilder::new(Method::POST, url);
        for (name, value) in &self.headers {
            request = request.header_append(*name, value.as_str());
        }
        let request = without_proxy(request, self.timeout);
        let sent_at = Instant::now();
        let response = request.json(&self.body).map_err(CallError::Body)?.send();
        Ok(answer_reader::read(response.map_err(CallError::Connection)?, sent_at, 0, observe))
    }
}

/// Joins a running request or fetches a stored answer, from event number `offset` on.
///
/// # Errors
///
/// Returns an error if no response arrives.
pub fn join(address: SocketAddr, key: &str, offset: u64) -> Result<Answer, CallError> {
    let url = format!("http://{address}/v1/requests/{key}?offset={offset}");
    send_without_body(Method::GET, url, offset)
}

/// Cancels a request.
///
/// # Errors
///
/// Returns an error if no response arrives.
pub fn cancel(address: SocketAddr, key: &str) -> Result<Answer, CallError> {
    send_without_body(Method::DELETE, format!("http://{address}/v1/requests/{key}"), 0)
}

fn send_without_body(method: Method, url: String, offset: u64) -> Result<Answer, CallError> {
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let request = without_proxy(RequestBuilder::new(method, url), timeout);
    let sent_at = Instant::now();
    let response = request.send().map_err(CallError::Connection)?;
    Ok(answer_reader::read(response, sent_at, offset, |_| {}))
}

/// Sets the timeouts of a request and ignores any proxy set in the environment.
pub(crate) fn without_proxy<B>(request: RequestBuilder<B>, timeout: Duration) -> RequestBuilder<B> {
    let no_proxy = ProxySettings::builder().build();
    request.proxy_settings(no_proxy).timeout(timeout).read_timeout(timeout)
}
