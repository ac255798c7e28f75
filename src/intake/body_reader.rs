//! Reads request bodies, each into one buffer within a budget.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::timeout;

use crate::gateway::boot_clock::boot_ms;
use crate::intake::body_budget::{BodyBudget, BodyShare};

/// Bounds on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// When nobody waits for its answer any more, in milliseconds of the boot clock.
    pub deadline_ms: u64,
    /// Its greatest length, in bytes.
    pub limit_bytes: usize,
    /// Longest time between two parts of it, in milliseconds.
    pub silence_ms: u64,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyFault {
    /// It ended before its length, or can't be parsed.
    #[error("the body ended early")]
    Cut,
    /// There is no memory for it.
    #[error("there is no memory for the body")]
    NoMemory,
    /// No part of it arrived for too long, or its deadline passed.
    #[error("the body stopped arriving")]
    Overdue,
    /// It is longer than permitted.
    #[error("the body is too long")]
    TooLong,
}

impl BodyFault {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cut => "body_cut",
            Self::NoMemory => "no_memory",
            Self::Overdue => "body_overdue",
            Self::TooLong => "body_too_large",
        }
    }
}

impl BodyBounds {
    fn next_part_timeout(&self) -> Duration {
        let left_ms = self.deadline_ms.saturating_sub(boot_ms());
        Duration::from_millis(left_ms.min(self.silence_ms))
    }

    /// Checks the length that a body announces.
    ///
    /// # Errors
    ///
    /// Returns [`BodyFault::TooLong`] if it exceeds the limit.
    pub fn check_length<B>(&self, body: &B) -> Result<(), BodyFault>
    where
        B: Body,
    {
        match body.size_hint().lower() > self.limit_bytes as u64 {
            true => Err(BodyFault::TooLong),
            false => Ok(()),
        }
    }
}

/// Reads a body; its bytes take their share of the budget until they are dropped.
///
/// # Errors
///
/// Returns a [`BodyFault`] if the body exceeds its bounds, ends early or has no memory.
pub async fn read_body<B>(
    mut body: B,
    bounds: &BodyBounds,
    budget: &BodyBudget,
) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    bounds.check_length(&body)?;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced_bytes = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let limit_bytes = announced_bytes.unwrap_or(usize::MAX).min(bounds.limit_bytes);
    let mut buffer = BodyBuffer { bytes: Vec::new(), limit_bytes, share: budget.begin(boot_ms()) };
    while let Some(part) = next_part(&mut body, bounds, &buffer.share).await? {
        buffer.push(&part).await?;
    }
    buffer.share.complete(buffer.bytes).ok_or(BodyFault::NoMemory)
}

/// Reads a body to its end without keeping it, as far as its bounds permit.
///
/// # Errors
///
/// Returns a [`BodyFault`] if the body exceeds its bounds or ends early.
pub async fn discard_body<B>(mut body: B, bounds: &BodyBounds) -> Result<(), BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut length = 0;
    while let Some(part) = next_data(&mut body, bounds).await? {
        length += part.len();
        if length > bounds.limit_bytes {
            return Err(BodyFault::TooLong);
        }
    }
    Ok(())
}

async fn next_part<B>(
    body: &mut B,
    bounds: &BodyBounds,
    share: &BodyShare,
) -> Result<Option<Bytes>, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    tokio::select! {
        biased;
        () = share.evicted() => Err(BodyFault::NoMemory),
        part = next_data(body, bounds) => part,
    }
}

async fn next_data<B>(body: &mut B, bounds: &BodyBounds) -> Result<Option<Bytes>, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        match timeout(bounds.next_part_timeout(), body.frame()).await {
            Err(_) => return Err(BodyFault::Overdue),
            Ok(None) => return Ok(None),
            Ok(Some(Err(_))) => return Err(BodyFault::Cut),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// A body that arrives.
///
/// The bytes are copied, since a part of a few bytes may keep a large buffer of its connection. They
/// are dropped before their share.
struct BodyBuffer {
    bytes: Vec<u8>,
    limit_bytes: usize,
    share: BodyShare,
}

impl BodyBuffer {
    async fn push(&mut self, part: &[u8]) -> Result<(), BodyFault> {
        let length = self.bytes.len() + part.len();
        if length > self.limit_bytes {
            return Err(BodyFault::TooLong);
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(2 * self.bytes.capacity()).min(self.limit_bytes);
            if !self.share.grow(boot_ms, capacity).await {
                return Err(BodyFault::NoMemory);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        self.share.record_bytes(boot_ms(), part.len());
        Ok(())
    }
}
