//! Calls to backend servers: start, resume and cancel a stream; call a plain service.

use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::{Method, RequestBuilder, Response, ResponseReader};
use serde::de::IgnoredAny;

use crate::clock::Clock;
use crate::effect::Dispatch;
use crate::http_client::{http_request, read_text};
use crate::settings::DispatchSettings;

/// Timeout of a call that cancels a stream, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// A stream of server-sent events from a model engine.
pub type EventStream = BufReader<ResponseReader>;

/// Reason why a call got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The grant expired before the first byte; nothing was sent.
    Expired,
    /// The connection was lost after the first byte.
    Lost,
    /// No connection could be made; nothing was sent.
    NotSent,
    /// The backend server answered with an unexpected status.
    Status(u16),
    /// The backend server does not have the stream, or refused the connection.
    Unknown,
}

/// A request body that is not written once the grant has expired.
struct TimedBody<'a> {
    bytes: &'a [u8],
    clock: Clock,
    expires_ms: u64,
    state: &'a AtomicU8,
}

const NOT_SENT: u8 = 0;
const SENT: u8 = 1;

impl Body for TimedBody<'_> {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W>(&mut self, mut writer: W) -> io::Result<()>
    where
        W: Write,
    {
        // The client flushes the head even if writing the body fails, so this counts as sent.
        self.state.store(SENT, Ordering::Release);
        if self.clock.monotonic_ms() >= self.expires_ms {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        writer.write_all(self.bytes)
    }
}

/// Body and headers of a call to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest<'a> {
    /// The body.
    pub body: &'a [u8],
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Trace context.
    pub traceparent: Option<&'a str>,
}

/// Cancels a stream, and ignores a failure.
pub fn cancel_stream(dispatch: &Dispatch) {
    let url = format!("http://{}/v1/streams/{}", dispatch.address, dispatch.request);
    let timeout = Duration::from_millis(CANCEL_TIMEOUT_MS);
    // The engine also ends a stream by itself when it has no reader.
    let request = http_request(Method::DELETE, &url);
    let _ = request.connect_timeout(timeout).timeout(timeout).send();
}

/// Calls a plain service and returns its answer.
///
/// # Errors
///
/// Returns a [`CallFailure`] that shows whether anything was sent.
pub fn call_plain(
    clock: Clock,
    dispatch: &Dispatch,
    request: &BackendRequest<'_>,
    settings: &DispatchSettings,
) -> Result<String, CallFailure> {
    let url = format!("http://{}/v1/call/{}", dispatch.address, dispatch.path);
    let left_ms = dispatch.deadline_ms.saturating_sub(clock.monotonic_ms());
    let read_timeout = Duration::from_millis(left_ms.max(settings.idle_limit_ms));
    let response = post(clock, &url, dispatch, request, settings, read_timeout)?;
    match response.status().as_u16() {
        200..=299 => read_text(response).ok().filter(|body| is_json(body)).ok_or(CallFailure::Lost),
        status => Err(CallFailure::Status(status)),
    }
}

/// Returns whether something listens at an address; only a refused connection counts as no.
pub fn is_listening(address: SocketAddr, settings: &DispatchSettings) -> bool {
    let timeout = Duration::from_millis(settings.connect_timeout_ms);
    match std::net::TcpStream::connect_timeout(&address, timeout) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::ConnectionRefused,
    }
}

/// Returns whether a body is JSON, or empty; bytes of another answer in it make it something else.
fn is_json(body: &str) -> bool {
    body.is_empty() || serde_json::from_str::<IgnoredAny>(body).is_ok()
}

/// Resumes a stream at a token offset on a new connection, without running the request again.
///
/// # Errors
///
/// Returns a [`CallFailure`].
pub fn resume_stream(
    dispatch: &Dispatch,
    offset: usize,
    settings: &DispatchSettings,
) -> Result<EventStream, CallFailure> {
    let url =
        format!("http://{}/v1/streams/{}?offset={offset}", dispatch.address, dispatch.request);
    let builder = http_request(Method::GET, &url)
        .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
        .read_timeout(Duration::from_millis(settings.idle_limit_ms));
    let response = builder.send().map_err(|error| match error.kind() {
        attohttpc::ErrorKind::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            CallFailure::Unknown
        }
        _ => CallFailure::Lost,
    })?;
    match response.status().as_u16() {
        404 => Err(CallFailure::Unknown),
        _ => into_stream(response),
    }
}

/// Starts a stream at a model engine.
///
/// # Errors
///
/// Returns a [`CallFailure`] that shows whether anything was sent.
pub fn start_stream(
    clock: Clock,
    dispatch: &Dispatch,
    request: &BackendRequest<'_>,
    settings: &DispatchSettings,
) -> Result<EventStream, CallFailure> {
    let url = format!("http://{}/v1/generate", dispatch.address);
    let read_timeout = Duration::from_millis(settings.idle_limit_ms);
    into_stream(post(clock, &url, dispatch, request, settings, read_timeout)?)
}

fn into_stream(response: Response) -> Result<EventStream, CallFailure> {
    let (status, _, reader) = response.split();
    match status.as_u16() {
        200 => Ok(BufReader::new(reader)),
        status => Err(CallFailure::Status(status)),
    }
}

fn post(
    clock: Clock,
    url: &str,
    dispatch: &Dispatch,
    request: &BackendRequest<'_>,
    settings: &DispatchSettings,
    read_timeout: Duration,
) -> Result<Response, CallFailure> {
    if clock.monotonic_ms() >= dispatch.expires_ms {
        return Err(CallFailure::Expired);
    }
    let state = AtomicU8::new(NOT_SENT);
    let body =
        TimedBody { bytes: request.body, clock, expires_ms: dispatch.expires_ms, state: &state };
    let builder = http_request(Method::POST, url)
        .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
        .read_timeout(read_timeout)
        .header("Content-Type", "application/json")
        .header("Bergamotspan-Request", dispatch.request.as_str());
    let builder = optional_header(builder, "Idempotency-Key", request.key);
    let builder = optional_header(builder, "traceparent", request.traceparent);
    builder.body(body).send().map_err(|_| match state.load(Ordering::Acquire) {
        NOT_SENT => CallFailure::NotSent,
        _ => CallFailure::Lost,
    })
}

fn optional_header(
    builder: RequestBuilder,
    name: &'static str,
    value: Option<&str>,
) -> RequestBuilder {
    match value {
        Some(value) => builder.header(name, value),
        None => builder,
    }
}
