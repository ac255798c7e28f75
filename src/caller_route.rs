//! Routes a caller's HTTP request by method and path.

use hyper::Method;
use percent_encoding::percent_decode_str;

/// The operation that a caller requests.
pub(crate) enum Route {
    /// Join whose query is not a valid offset.
    BadOffset,
    /// Cancel the request of a key.
    Cancel(String),
    /// Begin a planned stop.
    Drain,
    /// Explain the decisions on the request of an id or key.
    Explain(String),
    /// Join the answer of a key from an offset.
    Join { key: String, offset: usize },
    /// Report that the process is live.
    Live,
    /// Unknown path or method.
    NotFound,
    /// Report whether the instance accepts requests.
    Ready,
    /// Run a request.
    Request { path: String, service: String },
    /// Report the state of the instance.
    Status,
}

/// Returns the route of a method and URL.
pub(crate) fn route(method: &Method, url: &str) -> Route {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method.as_str(), parts.as_slice()) {
        ("DELETE", ["v1", "requests", key]) => Route::Cancel((*key).into()),
        ("GET", ["explain", id]) => Route::Explain(decoded(id)),
        ("GET", ["livez"]) => Route::Live,
        ("GET", ["readyz"]) => Route::Ready,
        ("GET", ["status"]) => Route::Status,
        ("GET", ["v1", "requests", key]) => match read_offset(query) {
            Some(offset) => Route::Join { key: (*key).into(), offset },
            None => Route::BadOffset,
        },
        ("POST", ["drain"]) => Route::Drain,
        ("POST", ["v1", "services", service, "requests", path @ ..]) => {
            Route::Request { path: path.join("/"), service: (*service).into() }
        }
        _ => Route::NotFound,
    }
}

fn decoded(part: &str) -> String {
    percent_decode_str(part).decode_utf8_lossy().into_owned()
}

/// Parses the offset of a join, 0 without a query; returns `None` if the query is anything else.
fn read_offset(query: &str) -> Option<usize> {
    match query {
        "" => Some(0),
        query => query.strip_prefix("offset=")?.parse().ok(),
    }
}
