//! Calls to the pages of processes.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{Method, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::FleetError;
use crate::caller::without_proxy;

/// Longest time of a call.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Fetches a JSON page.
///
/// # Errors
///
/// Returns an error if the call fails or answers another status than success.
pub fn get_json<T>(address: SocketAddr, path: &str) -> Result<T, FleetError>
where
    T: DeserializeOwned,
{
    let url = format!("http://{address}{path}");
    let request = new_request(Method::GET, &url);
    let response = check_status(&url, request.send())?;
    response.json().map_err(|source| FleetError::Call { url, source })
}

/// Puts a JSON body to a page.
///
/// # Errors
///
/// Returns an error if the call fails or answers another status than success.
pub fn put_json<B, T>(address: SocketAddr, path: &str, body: &B) -> Result<T, FleetError>
where
    B: Serialize,
    T: DeserializeOwned,
{
    send_json(Method::PUT, address, path, body)
}

/// Posts a JSON body to a page.
///
/// # Errors
///
/// Returns an error if the call fails or answers another status than success.
pub fn post_json<B, T>(address: SocketAddr, path: &str, body: &B) -> Result<T, FleetError>
where
    B: Serialize,
    T: DeserializeOwned,
{
    send_json(Method::POST, address, path, body)
}

/// Posts an empty body to a page and passes over its answer.
pub(super) fn post_empty(address: SocketAddr, path: &str) -> Result<(), FleetError> {
    let url = format!("http://{address}{path}");
    check_status(&url, new_request(Method::POST, &url).send())?;
    Ok(())
}

/// Puts a text to a page.
pub(super) fn put_text(address: SocketAddr, path: &str, text: &str) -> Result<(), FleetError> {
    let url = format!("http://{address}{path}");
    check_status(&url, new_request(Method::PUT, &url).text(text).send())?;
    Ok(())
}

/// Returns whether a page answers success.
pub(super) fn is_success(address: SocketAddr, path: &str) -> bool {
    let url = format!("http://{address}{path}");
    check_status(&url, new_request(Method::GET, &url).send()).is_ok()
}

fn send_json<B, T>(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &B,
) -> Result<T, FleetError>
where
    B: Serialize,
    T: DeserializeOwned,
{
    let url = format!("http://{address}{path}");
    let call = |source| FleetError::Call { url: url.clone(), source };
    let request = new_request(method, &url).json(body).map_err(call)?;
    check_status(&url, request.send())?.json().map_err(call)
}

fn new_request(method: Method, url: &str) -> RequestBuilder {
    without_proxy(RequestBuilder::new(method, url), Duration::from_millis(CALL_TIMEOUT_MS))
}

fn check_status(
    url: &str,
    response: attohttpc::Result<attohttpc::Response>,
) -> Result<attohttpc::Response, FleetError> {
    let url = url.to_owned();
    match response {
        Ok(response) if response.is_success() => Ok(response),
        Ok(response) => {
            Err(FleetError::UnexpectedStatus { url, status: response.status().as_u16() })
        }
        Err(source) => Err(FleetError::Call { url, source }),
    }
}
