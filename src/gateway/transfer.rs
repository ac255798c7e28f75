//! Reads state from the store or from another instance, and measures how it arrives.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::answer_body::BodyError;
use crate::gateway::answer_budget::{AnswerBudget, AnswerBuffer};

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

/// A transfer of state to this instance.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    received_bytes: usize,
    started_ms: u64,
}

impl Transfer {
    /// Starts a transfer.
    pub fn new(now_ms: u64) -> Self {
        Self { received_bytes: 0, started_ms: now_ms }
    }

    /// Records bytes that have arrived.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.received_bytes += bytes;
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

/// Reads a body within a limit of its length, and records in the transfer what arrives.
///
/// # Errors
///
/// Returns a [`BodyError`] if the connection breaks or the body exceeds the limit.
pub(crate) async fn read_transfer(
    mut body: Incoming,
    limit_bytes: usize,
    transfer: &mut Transfer,
) -> Result<Bytes, BodyError> {
    let mut buffer = AnswerBuffer::new(&AnswerBudget::new(limit_bytes), limit_bytes);
    buffer.check_length(body.size_hint().lower()).map_err(BodyError::Full)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Broken)?;
        if let Some(bytes) = frame.data_ref() {
            transfer.record_bytes(bytes.len());
            buffer.push(bytes).map_err(BodyError::Full)?;
        }
    }
    Ok(buffer.into_bytes())
}
