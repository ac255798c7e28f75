//! The document in force, fetched from another instance while the store does not answer.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::header::HOST;
use log::{info, warn};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::error::Error;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::open_http;
use crate::gateway::routing_document::RoutingDocument;
use crate::gateway::shared::Shared;
use crate::gateway::state::State;
use crate::gateway::store_watch::note;

/// Path at which an instance gives its document to the others.
pub(crate) const DOCUMENT_PATH: &str = "/document";
/// Longest time to fetch a document, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;
/// Longest document, in bytes.
const DOCUMENT_LIMIT_BYTES: usize = 8_388_608;

/// Writes the document in force.
///
/// # Errors
///
/// Returns [`Error::Io`] if it can't be encoded.
pub(crate) fn encode(state: &State) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&**state.document(), &mut bytes).map_err(|error| {
        Error::io("encode the document", std::io::Error::other(error.to_string()))
    })?;
    Ok(bytes)
}

/// Starts to fetch the document of another instance, unless one is being fetched.
pub(crate) fn fetch_soon(shared: &Rc<Shared>, from: IpAddr) {
    if shared.fetching.replace(true) {
        return;
    }
    let shared = shared.clone();
    spawn_local(async move {
        let port = shared.state.borrow().settings().operator_address.port();
        let address = SocketAddr::new(from, port);
        let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
        match timeout(limit, fetch(address)).await {
            Ok(Ok(document)) => adopt(&shared, address, document),
            Ok(Err(error)) => {
                warn!(target: "peers", instance:% = address, error:%; "A document could not be fetched.");
            }
            Err(_) => {
                warn!(target: "peers", instance:% = address; "A document did not arrive in time.");
            }
        }
        shared.fetching.set(false);
    });
}

fn adopt(shared: &Shared, address: SocketAddr, document: RoutingDocument) {
    let belief = shared.state.borrow_mut().adopt(boot_ms(), document);
    if let Some(belief) = belief {
        info!(target: "peers", instance:% = address; "A document was fetched from another instance.");
        note(shared, &belief);
        shared.changed.notify_one();
    }
}

async fn fetch(address: SocketAddr) -> Result<RoutingDocument, Error> {
    let unreadable = |detail: String| Error::AnswerUnreadable { address, detail };
    let (mut sender, task) = open_http(address)
        .await
        .map_err(|error| Error::Unreachable { address, detail: error.to_string() })?;
    let request = Request::get(DOCUMENT_PATH)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| unreadable(error.to_string()))?;
    let response =
        sender.send_request(request).await.map_err(|error| unreadable(error.to_string()))?;
    let body = Limited::new(response.into_body(), DOCUMENT_LIMIT_BYTES);
    let body = body.collect().await.map_err(|error| unreadable(error.to_string()))?.to_bytes();
    task.abort();
    ciborium::from_reader(&body[..]).map_err(|error| unreadable(error.to_string()))
}
