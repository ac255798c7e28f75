//! Builds HTTP requests that use no proxy from the environment and follow no redirects.

use attohttpc::{Method, ProxySettings, RequestBuilder};

/// Returns a builder for a request.
pub fn http_request(method: Method, url: &str) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
}
