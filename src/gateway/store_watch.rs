//! Reads the store that operators write, and watches it for changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::{HeaderMap, Request, Response, StatusCode};
use log::{info, warn};
use rand::random_range;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::gateway::answer_body::BodyError;
use crate::gateway::answer_budget::BufferFull;
use crate::gateway::backends::RecordChange;
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::connections::{limit_interim_answers, open_http};
use crate::gateway::evacuation::event_log;
use crate::gateway::shared::Shared;
use crate::gateway::software_versions::HOLD_MS;
use crate::gateway::state_transfer::{TransferError, TransferSource, read_transfer};
use crate::gateway::store_item::{StoreChanges, StorePage, StorePosition};
use crate::gateway::store_read::StoreRead;
use crate::gateway::store_updates::StateChange;
use crate::transfer::Transfer;

/// Longest answer of the store, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 * 1_048_576;
/// Time beyond its wait after which the answer of a watch must begin, in milliseconds.
const WATCH_SLACK_MS: u64 = 500;
/// Shortest time between the starts of two reads of the store, in milliseconds.
const READ_INTERVAL_MS: u64 = 250;
/// Longest time until a page of a listing begins, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2_000;
/// Shortest time before the retry of a failed call, in milliseconds.
const MIN_BACK_OFF_MS: u64 = 100;
/// Number of failed calls in a row after which another instance reads the store; a watch may be cut.
const UNREACHABLE_FAILURES: u32 = 2;
/// Longest time before the retry of a failed call, in milliseconds.
const MAX_BACK_OFF_MS: u64 = 600;

/// Why a call to the store has no usable answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The answer exceeds the limit of its length.
    #[error("the answer can't be read: {0}")]
    AnswerTooLong(BufferFull),
    /// The store no longer has the changes after the revision.
    #[error("the store no longer has the changes after the revision")]
    HistoryGone,
    /// The call failed.
    #[error("{0}")]
    Failed(String),
}

struct StoreConnection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for StoreConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads and watches the store until the process ends.
pub(crate) async fn follow(shared: Rc<Shared>) {
    let mut watch = StoreWatch { connection: None, era_was_unreadable: false, failures: 0, shared };
    loop {
        let started_ms = boot_ms();
        let next_store_read = watch.shared.state.borrow().next_store_read(started_ms);
        let result = match next_store_read {
            StoreRead::Changes { after, wait_ms } => {
                // After a failure a call that does not wait proves most.
                let wait_ms = if watch.failures == 0 { wait_ms } else { 1 };
                watch.read_changes(after, wait_ms).await
            }
            StoreRead::List => watch.read_listing().await,
            StoreRead::Missed { after } => watch.read_missed(after).await,
            StoreRead::Nothing(pause_ms) => {
                watch.wait_for_update(pause_ms).await;
                continue;
            }
        };
        match result {
            Ok(()) => watch.record_success(),
            Err(error) => watch.back_off_after_failure(&error).await,
        }
        let elapsed_ms = boot_ms().saturating_sub(started_ms);
        sleep(Duration::from_millis(READ_INTERVAL_MS.saturating_sub(elapsed_ms))).await;
    }
}

struct StoreWatch {
    connection: Option<StoreConnection>,
    /// Whether an unreadable era was logged.
    era_was_unreadable: bool,
    failures: u32,
    shared: Rc<Shared>,
}

impl StoreWatch {
    /// Waits until the store should be read, or for this time, in milliseconds.
    async fn wait_for_update(&self, pause_ms: u64) {
        let limit = Duration::from_millis(pause_ms);
        drop(timeout(limit, self.shared.read_now.notified()).await);
    }

    async fn read_listing(&mut self) -> Result<(), CallError> {
        let requested_ms = boot_ms();
        let mut items = Vec::new();
        let mut first_position = None;
        let mut after: Option<String> = None;
        loop {
            let path = self.shared.wire.list_path(after.as_deref());
            let answer = self.call(&path, LIST_TIMEOUT_MS).await?;
            let page: StorePage =
                self.shared.wire.store_page(answer.era, &answer.body).map_err(CallError::Failed)?;
            items.extend(page.items);
            // Pages are no snapshot: changes since the first page are read by the next watch.
            let first: StorePosition = *first_position.get_or_insert(page.position);
            if first.era != page.position.era {
                return Err(CallError::Failed("the store came back amid a listing".to_owned()));
            }
            match page.next_after {
                Some(key) => after = Some(key),
                None => break,
            }
        }
        let listing = StoreChanges { items, position: first_position.unwrap_or_default() };
        let state_changes =
            self.shared.state.borrow_mut().apply_store_listing(boot_ms(), requested_ms, listing);
        self.announce_changes(state_changes);
        Ok(())
    }

    async fn read_changes(&mut self, after: StorePosition, wait_ms: u64) -> Result<(), CallError> {
        let requested_ms = boot_ms();
        let changes = self.changes_after(after, wait_ms).await?;
        let now_ms = boot_ms();
        // The store reports that nothing changed only after the full wait.
        let waited_fully = changes.items.is_empty() && now_ms >= requested_ms + wait_ms;
        let proved_ms = if waited_fully { requested_ms + wait_ms } else { requested_ms };
        let state_changes =
            self.shared.state.borrow_mut().apply_store_changes(now_ms, proved_ms, changes);
        self.announce_changes(state_changes);
        Ok(())
    }

    async fn read_missed(&mut self, after: StorePosition) -> Result<(), CallError> {
        let changes = self.changes_after(after, 1).await?;
        let mut state = self.shared.state.borrow_mut();
        let state_changes = state.apply_missed_changes(boot_ms(), after, &changes);
        drop(state);
        self.announce_changes(state_changes);
        Ok(())
    }

    async fn changes_after(
        &mut self,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<StoreChanges, CallError> {
        let path = self.shared.wire.watch_path(after.revision, wait_ms);
        let answer = self.call(&path, wait_ms + WATCH_SLACK_MS).await?;
        let changes =
            self.shared.wire.store_changes(answer.era, &answer.body).map_err(CallError::Failed)?;
        if changes.position.era > after.era {
            return Err(CallError::HistoryGone);
        }
        Ok(changes)
    }

    /// Logs changes that the state has applied, triggers a report to peers and dispatches waiting
    /// requests.
    fn announce_changes(&self, state_changes: Vec<StateChange>) {
        for state_change in state_changes {
            log_change(&self.shared, &state_change);
        }
        self.shared.report_soon.notify_one();
        self.shared.dispatch_waiting();
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            info!(target: "store", failures = self.failures; "Store reachable again.");
        }
        self.failures = 0;
        self.shared.state.borrow_mut().set_store_reachable(true);
        self.shared.state.borrow_mut().record_store_read(boot_ms());
    }

    /// Records a failed call and waits before the next one. If the store no longer has the changes
    /// that were requested, it instead records that a full listing is needed, and does not wait.
    async fn back_off_after_failure(&mut self, error: &CallError) {
        self.connection = None;
        if matches!(error, CallError::HistoryGone) {
            let mut state = self.shared.state.borrow_mut();
            info!(
                target: "store",
                revision = state.store_position().map(|position| position.revision),
                era = state.store_position().map(|position| position.era);
                "The store no longer has the changes after the revision; listing it again."
            );
            state.set_history_lost();
            return;
        }
        if matches!(error, CallError::AnswerTooLong(_)) {
            // A listing comes in pages, and has the last of several changes alone.
            self.shared.state.borrow_mut().set_history_lost();
        }
        self.failures += 1;
        if self.failures >= UNREACHABLE_FAILURES {
            self.shared.state.borrow_mut().set_store_reachable(false);
        }
        if self.failures == 1 {
            warn!(target: "store", error:%; "Store call failed; retrying.");
        }
        let limit_ms = (MIN_BACK_OFF_MS << self.failures.min(4)).min(MAX_BACK_OFF_MS);
        sleep(Duration::from_millis(random_range(MIN_BACK_OFF_MS..=limit_ms))).await;
    }

    async fn call(&mut self, path: &str, limit_ms: u64) -> Result<StoreAnswer, CallError> {
        let address = self.shared.state.borrow().settings().store_address;
        let mut transfer = Transfer::new(boot_ms(), limit_ms);
        let result = self.exchange(address, path, &mut transfer).await;
        self.shared.counters.record_store_call(result.is_err());
        self.shared.counters.record_transfer(TransferSource::Store, &transfer, result.is_ok());
        result
    }

    async fn exchange(
        &mut self,
        address: SocketAddr,
        path: &str,
        transfer: &mut Transfer,
    ) -> Result<StoreAnswer, CallError> {
        let limit = Duration::from_millis(transfer.time_left_ms(boot_ms()));
        let Ok(response) = timeout(limit, self.request(address, path)).await else {
            return Err(CallError::Failed("the call timed out".to_owned()));
        };
        let (response, connection) = response?;
        let status = response.status();
        let era = self.era(response.headers());
        let body = match read_transfer(response.into_body(), ANSWER_LIMIT_BYTES, transfer).await {
            Ok(body) => body,
            Err(TransferError::Body(BodyError::Full(full))) => {
                return Err(CallError::AnswerTooLong(full));
            }
            Err(error) => {
                let bytes = transfer.received_bytes();
                let elapsed_ms = transfer.elapsed_ms(boot_ms());
                let text = format!("{error}; {bytes} bytes had arrived after {elapsed_ms} ms");
                return Err(CallError::Failed(text));
            }
        };
        match status {
            StatusCode::OK => {
                self.connection = Some(connection);
                Ok(StoreAnswer { body, era })
            }
            StatusCode::GONE => Err(CallError::HistoryGone),
            _ => Err(CallError::Failed(format!("the store answered with status {status}"))),
        }
    }

    /// Returns the era of an answer; without a readable one, that of the answers before.
    fn era(&mut self, headers: &HeaderMap) -> u64 {
        let known = self.shared.state.borrow().store_position().unwrap_or_default().era;
        match self.shared.wire.store_era(headers) {
            Ok(era) => era.unwrap_or(known),
            Err(text) => {
                if !self.era_was_unreadable {
                    warn!(target: "store", text:%; "The era of the store can't be read; ignored.");
                }
                self.era_was_unreadable = true;
                known
            }
        }
    }

    /// Sends a request and returns the head of its answer.
    async fn request(
        &mut self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(Response<Incoming>, StoreConnection), CallError> {
        let mut connection = match self.connection.take() {
            Some(kept) if kept.address == address && !kept.sender.is_closed() => kept,
            _ => open(address).await?,
        };
        let mut request = Request::get(path)
            .header(HOST, address.to_string())
            .body(Empty::new())
            .map_err(|error| CallError::Failed(error.to_string()))?;
        let too_many = limit_interim_answers(&mut request);
        let response = tokio::select! {
            response = connection.sender.send_request(request) => response,
            () = too_many.notified() => {
                let text = "the store sent too many interim answers";
                return Err(CallError::Failed(text.to_owned()));
            }
        };
        let response = response.map_err(|error| CallError::Failed(error.to_string()))?;
        Ok((response, connection))
    }
}

/// An answer of the store.
struct StoreAnswer {
    body: Bytes,
    /// Era of the store; the last known one if the answer does not say it.
    era: u64,
}

async fn open(address: SocketAddr) -> Result<StoreConnection, CallError> {
    let opened = open_http(address).await;
    let (sender, task) = opened.map_err(|error| CallError::Failed(error.to_string()))?;
    Ok(StoreConnection { address, sender, task })
}

/// Logs a change of state; closes the connections to a backend server that left or restarted.
pub(crate) fn log_change(shared: &Shared, state_change: &StateChange) {
    match state_change {
        StateChange::Backend { id, change } => {
            info!(target: "beliefs", backend_server = &**id, change:?; "Backend server changed.");
            if matches!(change, RecordChange::Left | RecordChange::Restarted) {
                shared.connections.close(id);
                shared.paths.borrow_mut().forget(id);
            }
        }
        StateChange::Document { version, before } => {
            info!(target: "beliefs", version, before; "Routing document adopted.");
        }
        StateChange::Evacuations { age_ms, change, from } => {
            let count = shared.state.borrow().evacuated().len();
            event_log::log_change(change, from, *age_ms, count);
        }
        StateChange::Unreadable { item, detail } => {
            warn!(
                target: "beliefs",
                item = &**item,
                detail = detail.as_str();
                "An item of the store could not be read."
            );
        }
        StateChange::VersionHeld { service, software_version } => {
            info!(
                target: "beliefs",
                service = &**service,
                software_version = &**software_version,
                held_for_ms = HOLD_MS;
                "Software version takes no resumable streams yet."
            );
        }
    }
}
