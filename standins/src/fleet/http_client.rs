//! HTTP calls to the processes of a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{Method, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::FleetError;
use crate::caller::without_proxy;

/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Fetches a JSON document.
///
/// # Errors
///
/// Returns an error if the call fails or the status of the response is not successful.
pub fn get_json<T>(address: SocketAddr, path: &str) -> Result<T, FleetError>
where
    T: DeserializeOwned,
{
    let url = format!("http://{address}{path}");
    let request = new_request(Method::GET, &url);
    let response = check_status(&url, request.send())?;
    response.json().map_err(|source| FleetError::Call { url, source })
}

/// Sends a JSON body with PUT and returns the JSON response.
///
/// # Errors
///
/// Returns an error if the call fails or the status of the response is not successful.
pub fn put_json<B, T>(address: SocketAddr, path: &str, body: &B) -> Result<T, FleetError>
where
    B: Serialize,
    T: DeserializeOwned,
{
    send_json(Method::PUT, address, path, body)
}

/// Sends a JSON body with POST and returns the JSON response.
///
/// # Errors
///
/// Returns an error if the call fails or the status of the response is not successful.
pub fn post_json<B, T>(address: SocketAddr, path: &str, body: &B) -> Result<T, FleetError>
where
    B: Serialize,
    T: DeserializeOwned,
{
    send_json(Method::POST, address, path, body)
}

/// Sends an empty body with POST and ignores the body of the response.
pub(super) fn post_empty(address: SocketAddr, path: &str) -> Result<(), FleetError> {
    let url = format!("http://{address}{path}");
    check_status(&url, new_request(Method::POST, &url).send())?;
    Ok(())
}

/// Sends a text with PUT.
pub(super) fn put_text(address: SocketAddr, path: &str, text: &str) -> Result<(), FleetError> {
    let url = format!("http://{address}{path}");
    check_status(&url, new_request(Method::PUT, &url).text(text).send())?;
    Ok(())
}

/// Returns whether a GET request gets a successful response.
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
