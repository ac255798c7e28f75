//! The bodies of answers to callers, and the answers for refused and failed requests.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::gateway::admission::Refusal;

type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// The body of an answer.
pub(crate) enum ReplyBody {
    /// It arrives in chunks; an error aborts it.
    Chunks(ChunkStream),
    /// It is complete; `None` once it was read, or if it is empty.
    Full(Option<Bytes>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Chunks(chunks) => chunks
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|bytes| bytes.map(Frame::data))),
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Chunks(_) => SizeHint::default(),
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map(|bytes| bytes.len() as u64).unwrap_or(0))
            }
        }
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: &'static str,
    message: &'static str,
}

/// Returns a body that is complete.
pub(crate) fn full_body(bytes: Bytes) -> ReplyBody {
    ReplyBody::Full((!bytes.is_empty()).then_some(bytes))
}

/// Returns the answer to a request that did not run.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<ReplyBody> {
    let (status, message) = refusal.reason.describe();
    let mut response = error_response(status, refusal.reason.name(), message);
    if let Some(wait_ms) = refusal.retry_after_ms {
        let seconds = format!("{:.3}", wait_ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    if refusal.reason.leaves_body_unread() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the answer to a request that was sent and got no complete answer.
pub(crate) fn failure_response(timed_out: bool) -> Response<ReplyBody> {
    if timed_out {
        error_response(
            504,
            "timed_out",
            "The time was up before the answer came; the request may have run.",
        )
    } else {
        error_response(502, "broken_off", "The answer was broken off; the request may have run.")
    }
}

fn error_response(status: u16, error: &'static str, message: &'static str) -> Response<ReplyBody> {
    let body = serde_json::to_vec(&ErrorBody { error, message }).unwrap_or_default();
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
