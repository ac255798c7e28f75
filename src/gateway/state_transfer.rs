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
use crate::transfer::Transfer;

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
