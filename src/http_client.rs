//! Starts HTTP requests that go straight to their address, whatever proxy the environment names.

use attohttpc::{Method, ProxySettings, RequestBuilder};

/// Starts a request.
pub fn http_request(method: Method, url: &str) -> RequestBuilder {
    RequestBuilder::new(method, url).proxy_settings(ProxySettings::builder().build())
}
