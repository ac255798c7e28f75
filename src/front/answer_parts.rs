//! Passes the parts of an answer from the thread that makes it to the connection.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use flume::r#async::RecvStream;
use flume::{Receiver, Sender};
use futures_util::StreamExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use crate::answer_output::{AnswerHead, AnswerOutput};

/// Parts that wait for the connection.
const WAITING_PARTS: usize = 16;

/// A part of an answer.
pub(crate) enum AnswerPart {
    Data(Bytes),
    End,
    Head(AnswerHead),
}

/// The side of the thread that makes the answer.
pub(crate) struct PartOutput {
    parts: Sender<AnswerPart>,
    /// Longest time for which the caller may take no bytes.
    timeout: Duration,
}

/// Returns both sides of an answer.
pub(crate) fn answer_channel(timeout: Duration) -> (PartOutput, Receiver<AnswerPart>) {
    let (parts, receiver) = flume::bounded(WAITING_PARTS);
    (PartOutput { parts, timeout }, receiver)
}

impl PartOutput {
    fn send(&self, part: AnswerPart) -> io::Result<()> {
        self.parts.send_timeout(part, self.timeout).map_err(|error| match error {
            flume::SendTimeoutError::Timeout(_) => ErrorKind::TimedOut.into(),
            flume::SendTimeoutError::Disconnected(_) => ErrorKind::BrokenPipe.into(),
        })
    }
}

impl AnswerOutput for PartOutput {
    fn begin(&mut self, head: AnswerHead) -> io::Result<()> {
        self.send(AnswerPart::Head(head))
    }

    fn write(&mut self, bytes: Bytes) -> io::Result<()> {
        self.send(AnswerPart::Data(bytes))
    }

    fn end(&mut self) -> io::Result<()> {
        self.send(AnswerPart::End)
    }
}

/// The body of an answer as its parts arrive; it breaks off if its thread ends before its end.
pub(crate) struct PartBody {
    is_ended: bool,
    length_bytes: Option<u64>,
    parts: RecvStream<'static, AnswerPart>,
}

/// Waits for the head of an answer; `None` if its thread ended without one.
pub(crate) async fn receive_answer(parts: Receiver<AnswerPart>) -> Option<Response<PartBody>> {
    let Ok(AnswerPart::Head(head)) = parts.recv_async().await else { return None };
    let length_bytes = head.length_bytes.map(|length| length as u64);
    let body = PartBody { is_ended: false, length_bytes, parts: parts.into_stream() };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(head.content_type));
    for (name, value) in head.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    Some(response)
}

impl Body for PartBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = self.get_mut();
        if this.is_ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(part) = this.parts.poll_next_unpin(context) else {
            return Poll::Pending;
        };
        Poll::Ready(match part {
            Some(AnswerPart::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(AnswerPart::End) => {
                this.is_ended = true;
                None
            }
            Some(AnswerPart::Head(_)) | None => Some(Err(ErrorKind::UnexpectedEof.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.length_bytes.map(SizeHint::with_exact).unwrap_or_default()
    }
}
