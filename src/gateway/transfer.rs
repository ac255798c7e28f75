//! Reads state from the store or from another instance, as long as it keeps arriving.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::time::timeout;

use crate::gateway::answer_body::BodyError;
use crate::gateway::answer_budget::{AnswerBudget, AnswerBuffer};
use crate::gateway::boot_clock::boot_ms;

/// Longest time without bytes amid an answer, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 500;
/// Rate below which a transfer is given up, in bytes per millisecond; a tenth of a link of 1 Mbit/s.
const MIN_BYTES_PER_MS: u64 = 12;

/// Where state comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransferSource {
    /// Another instance.
    Peer,
    /// The store.
    Store,
}

impl TransferSource {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Why state did not arrive.
#[derive(Debug, Error)]
pub(crate) enum TransferError {
    /// The body could not be read.
    #[error("the answer can't be read: {0}")]
    Body(BodyError),
    /// It stopped arriving, or arrives too slowly.
    #[error("the answer stopped arriving")]
    Stalled,
}

/// A transfer of state to this instance, with the time at which it is given up.
///
/// The time until the answer begins is limited as a whole. From then on each byte that arrives
/// extends the limit, so that a transfer may last as long as its size needs on a slow link, and what
/// has arrived is not thrown away.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    deadline_ms: u64,
    received_bytes: usize,
    started_ms: u64,
}

impl Transfer {
    /// Starts a transfer whose answer must begin within this time, in milliseconds.
    pub fn new(now_ms: u64, answer_limit_ms: u64) -> Self {
        Self { deadline_ms: now_ms + answer_limit_ms, received_bytes: 0, started_ms: now_ms }
    }

    /// Records that the answer begins.
    pub fn record_begin(&mut self, now_ms: u64) {
        self.deadline_ms = now_ms + SILENCE_LIMIT_MS;
    }

    /// Records bytes that have arrived.
    pub fn record_bytes(&mut self, now_ms: u64, bytes: usize) {
        self.received_bytes += bytes;
        let earned_ms = bytes as u64 / MIN_BYTES_PER_MS;
        let extended_ms = self.deadline_ms.max(now_ms) + earned_ms;
        self.deadline_ms = extended_ms.min(now_ms + SILENCE_LIMIT_MS);
    }

    /// Returns the time until the transfer is given up unless more arrives, in milliseconds.
    pub fn time_left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Returns the number of bytes that have arrived.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Returns the time since the start, in milliseconds.
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }
}

/// Reads a body within a limit of its length, for as long as the transfer allows.
///
/// # Errors
///
/// Returns a [`TransferError`] if the connection breaks, the body exceeds the limit or it stops
/// arriving.
pub(crate) async fn read_transfer(
    mut body: Incoming,
    limit_bytes: usize,
    transfer: &mut Transfer,
) -> Result<Bytes, TransferError> {
    let mut buffer = AnswerBuffer::new(&AnswerBudget::new(limit_bytes), limit_bytes);
    let full = |full| TransferError::Body(BodyError::Full(full));
    buffer.check_length(body.size_hint().lower()).map_err(full)?;
    transfer.record_begin(boot_ms());
    loop {
        let time_left = Duration::from_millis(transfer.time_left_ms(boot_ms()));
        let Ok(frame) = timeout(time_left, body.frame()).await else {
            return Err(TransferError::Stalled);
        };
        let Some(frame) = frame else { return Ok(buffer.into_bytes()) };
        let frame = frame.map_err(|error| TransferError::Body(BodyError::Broken(error)))?;
        if let Some(bytes) = frame.data_ref() {
            transfer.record_bytes(boot_ms(), bytes.len());
            buffer.push(bytes).map_err(full)?;
        }
    }
}
