//! The HTTP client of the OTLP exporters.

use std::time::Duration;

use async_trait::async_trait;
use attohttpc::ProxySettings;
use opentelemetry_http::{Bytes, HttpClient, HttpError, Request, Response};

use crate::http_client::read_body;

/// Posts over plain HTTP, and blocks the exporter's own thread no longer than its timeout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtlpClient {
    /// Timeout of one post, in milliseconds.
    pub(crate) timeout_ms: u64,
}

#[async_trait]
impl HttpClient for OtlpClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let timeout = Duration::from_millis(self.timeout_ms);
        let (parts, body) = request.into_parts();
        let mut post = attohttpc::post(parts.uri.to_string())
            .connect_timeout(timeout)
            .proxy_settings(ProxySettings::builder().build())
            .timeout(timeout);
        for (name, value) in &parts.headers {
            post = post.header(name.clone(), value.clone());
        }
        let (status, _, reader) = post.bytes(body).send()?.split();
        let mut response = Response::new(Bytes::from(read_body(reader)?));
        *response.status_mut() = status;
        Ok(response)
    }
}
