//! Starts HTTP requests that go straight to their address, whatever proxy the environment names
//! and wherever an answer points.

use attohttpc::{Method, ProxySettings, RequestBuilder};

/// Starts a request.
pub fn http_request(method: Method, url: &str) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
}
