//! Reads bodies of answers completely, within limits.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

use crate::gateway::answer_budget::{AnswerBuffer, BufferFull};

/// Why a body could not be read completely.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The connection broke.
    #[error("{0}")]
    Broken(hyper::Error),
    /// The body exceeds a limit.
    #[error("{0}")]
    Full(BufferFull),
}

/// Reads a body into a buffer and returns all its bytes.
///
/// # Errors
///
/// Returns a [`BodyError`] if the connection breaks or the body exceeds a limit.
pub(crate) async fn read_body(
    mut body: Incoming,
    mut buffer: AnswerBuffer,
) -> Result<Bytes, BodyError> {
    buffer.check_length(body.size_hint().lower()).map_err(BodyError::Full)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Broken)?;
        if let Some(bytes) = frame.data_ref() {
            buffer.push(bytes).map_err(BodyError::Full)?;
        }
    }
    Ok(buffer.into_bytes())
}
