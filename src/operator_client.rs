//! HTTP client for the operators' requests to an instance.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};
use serde::de::DeserializeOwned;

use crate::drain_report::DrainReport;
use crate::error::Error;
use crate::explain_report::ExplainReport;
use crate::http_client::read_text;
use crate::status_report::StatusReport;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends operators' requests to one instance over its interface for callers.
#[derive(Clone, Copy, Debug)]
pub struct OperatorClient {
    address: SocketAddr,
}

impl OperatorClient {
    /// Creates a client for the instance at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Makes the instance finish its requests and then stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached, refuses the request, or sends an answer
    /// that can't be read.
    pub fn drain(&self) -> Result<DrainReport, Error> {
        self.send_request(Method::POST, "/drain")
    }

    /// Returns the state and the steps of a request, given by its id or key.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached, refuses the request, or sends an answer
    /// that can't be read.
    pub fn explain(&self, id: &str) -> Result<ExplainReport, Error> {
        self.send_request(Method::GET, &format!("/explain/{}", encode_segment(id)))
    }

    /// Returns the state of the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached, refuses the request, or sends an answer
    /// that can't be read.
    pub fn status(&self) -> Result<StatusReport, Error> {
        self.send_request(Method::GET, "/status")
    }

    fn send_request<T>(&self, method: Method, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let response = RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .send()
            .map_err(|error| self.unreachable_error(&error))?;
        let status = response.status();
        let text = read_text(response).map_err(|error| self.unreachable_error(&error))?;
        if !status.is_success() {
            let message = text.trim().into();
            return Err(Error::Refused { address: self.address, message, status: status.as_u16() });
        }
        serde_json::from_str(&text).map_err(|error| Error::AnswerUnreadable {
            address: self.address,
            detail: error.to_string(),
        })
    }

    fn unreachable_error(&self, error: &attohttpc::Error) -> Error {
        Error::Unreachable { address: self.address, detail: error.to_string() }
    }
}

/// Percent-encodes `segment` for use as one segment of a path.
fn encode_segment(segment: &str) -> String {
    segment.bytes().map(encode_byte).collect()
}

fn encode_byte(byte: u8) -> String {
    if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
        char::from(byte).to_string()
    } else {
        format!("%{byte:02X}")
    }
}
