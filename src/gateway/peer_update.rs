//! Fetches store updates from an instance with newer state, and encodes them for others.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response};
use log::{info, warn};
use serde_bytes::ByteBuf;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::error::Error;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::open_http;
use crate::gateway::packed_document::unpack;
use crate::gateway::shared::Shared;
use crate::gateway::state::GatewayState;
use crate::gateway::state_transfer::{TransferSource, read_transfer};
use crate::gateway::store_item::StorePosition;
use crate::gateway::store_log::StoreUpdate;
use crate::gateway::store_watch::log_change;
use crate::transfer::Transfer;

/// Path at which an instance serves store updates to the others.
pub(crate) const UPDATE_PATH: &str = "/news";
/// Longest time until a store update begins to arrive, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 400;
/// Longest store update, in bytes.
const UPDATE_LIMIT_BYTES: usize = 8_388_608;

/// Encodes the store update for this query; `None` if no revision is known yet.
///
/// # Errors
///
/// Returns [`Error::Io`] if the update can't be encoded.
pub(crate) fn encode(state: &GatewayState, query: &str) -> Result<Option<Vec<u8>>, Error> {
    let after = number_field(query, "after").map(|revision| StorePosition {
        era: number_field(query, "era").unwrap_or_default(),
        revision,
    });
    let version = number_field(query, "version").unwrap_or_default();
    let Some(mut update) = state.store_update_since(after, version) else { return Ok(None) };
    if number_field(query, "packed") == Some(1) && update.document.take().is_some() {
        update.packed = Some(ByteBuf::from(state.document().packed()?));
    }
    state.backends().update_cold_left(boot_ms(), &mut update.items);
    let mut bytes = Vec::new();
    ciborium::into_writer(&update, &mut bytes).map_err(|error| {
        Error::io("Encoding a store update failed", std::io::Error::other(error.to_string()))
    })?;
    Ok(Some(bytes))
}

fn number_field(query: &str, name: &str) -> Option<u64> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(field_name, _)| *field_name == name).and_then(|(_, value)| value.parse().ok())
}

/// Starts to fetch a store update from another instance, unless one is being fetched.
pub(crate) fn start_fetch(shared: &Rc<Shared>, from: IpAddr) {
    if !shared.state.borrow_mut().update_fetch_mut().begin() {
        return;
    }
    let shared = shared.clone();
    spawn_local(async move {
        let port = shared.state.borrow().settings().operator_address.port();
        let address = SocketAddr::new(from, port);
        let path = update_path(&shared.state.borrow());
        let mut transfer = Transfer::new(boot_ms(), FETCH_TIMEOUT_MS);
        let result = fetch(address, &path, &mut transfer).await;
        shared.counters.record_transfer(TransferSource::Peer, &transfer, result.is_ok());
        shared.state.borrow_mut().update_fetch_mut().end(result.is_ok());
        match result {
            Ok(update) => apply_update(&shared, address, update, &transfer),
            Err(error) => {
                warn!(
                    target: "peers",
                    instance:% = address,
                    elapsed_ms = transfer.elapsed_ms(boot_ms()),
                    error:%,
                    received_bytes = transfer.received_bytes();
                    "Store update could not be fetched."
                );
            }
        }
        // An instance that is still behind reads the store.
        shared.read_now.notify_one();
    });
}

fn update_path(state: &GatewayState) -> String {
    let version = state.table().version();
    match state.store_position() {
        Some(StorePosition { era, revision }) => {
            format!("{UPDATE_PATH}?version={version}&packed=1&era={era}&after={revision}")
        }
        None => format!("{UPDATE_PATH}?version={version}&packed=1"),
    }
}

fn apply_update(shared: &Shared, address: SocketAddr, update: StoreUpdate, transfer: &Transfer) {
    let (position, whole) = (update.position, update.whole);
    let state_changes = shared.state.borrow_mut().apply_store_update(boot_ms(), update);
    info!(
        target: "peers",
        instance:% = address,
        revision = position.revision,
        era = position.era,
        whole,
        elapsed_ms = transfer.elapsed_ms(boot_ms()),
        received_bytes = transfer.received_bytes(),
        changes = state_changes.len();
        "Store update received."
    );
    for state_change in &state_changes {
        log_change(shared, state_change);
    }
    shared.report_soon.notify_one();
    shared.dispatch_waiting();
}

async fn fetch(
    address: SocketAddr,
    path: &str,
    transfer: &mut Transfer,
) -> Result<StoreUpdate, Error> {
    let unreadable = |detail: String| Error::AnswerUnreadable { address, detail };
    let limit = Duration::from_millis(transfer.time_left_ms(boot_ms()));
    let Ok(response) = timeout(limit, request(address, path)).await else {
        let detail = "it did not answer in time".to_owned();
        return Err(Error::Unreachable { address, detail });
    };
    let (response, task) = response?;
    let body = read_transfer(response.into_body(), UPDATE_LIMIT_BYTES, transfer).await;
    task.abort();
    let body = body.map_err(|error| unreadable(error.to_string()))?;
    let mut update: StoreUpdate =
        ciborium::from_reader(&body[..]).map_err(|error| unreadable(error.to_string()))?;
    if let Some(packed) = update.packed.take() {
        update.document = Some(Arc::new(unpack(&packed)?));
    }
    Ok(update)
}

/// Sends a request and returns the head of its answer, and the task of its connection.
async fn request(
    address: SocketAddr,
    path: &str,
) -> Result<(Response<Incoming>, AbortHandle), Error> {
    let unreadable = |detail: String| Error::AnswerUnreadable { address, detail };
    let (mut sender, task) = open_http(address)
        .await
        .map_err(|error| Error::Unreachable { address, detail: error.to_string() })?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| unreadable(error.to_string()))?;
    let response =
        sender.send_request(request).await.map_err(|error| unreadable(error.to_string()))?;
    Ok((response, task))
}
