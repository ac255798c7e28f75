//! Serves the requests of one connection.

use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::answer_output::AnswerOutput;
use crate::answer_writer::write_final;
use crate::answers;
use crate::final_answer::FinalAnswer;
use crate::front::answer_parts::{PartBody, answer_channel, receive_answer};
use crate::front::connection_state::{ConnectionState, CountedStream};
use crate::front::front_request::FrontRequest;
use crate::front::server::{HeadStep, Shared};
use crate::gateway::boot_clock::boot_ms;
use crate::gateway::shared_socket::SharedSocket;
use crate::intake::body_reader::{BodyBounds, BodyFault, discard_body, read_body};
use crate::intake::closing_cause::ClosingCause;
use crate::intake::connection_gate::ConnectionSlot;
use crate::intake::connection_table::ConnectionStage;

/// Longest head, in bytes.
const HEAD_LIMIT_BYTES: usize = 16_384;
/// Time between two checks of a connection whose request is being answered, in milliseconds.
const ANSWER_CHECK_INTERVAL_MS: u64 = 100;
/// Time between two checks of another connection, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Part of a refused body that is read so that its caller reads the answer, in bytes.
const DISCARDED_BYTES: usize = 65_536;
/// Longest pause in a refused body, in milliseconds.
const DISCARD_SILENCE_MS: u64 = 1_000;

/// Serves a connection until it closes, must give way to another one or is not read.
pub(super) async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, slot: ConnectionSlot) {
    let state = Rc::new(ConnectionState::new(slot, shared.in_progress.clone()));
    let stream = SharedSocket::new(stream);
    let observer = stream.observer();
    let io = TokioIo::new(CountedStream { state: state.clone(), stream });
    let service = service_fn(|request| answer(shared.clone(), state.clone(), request));
    let connection = http1::Builder::new()
        .half_close(true)
        .header_read_timeout(Duration::from_millis(shared.limits.head_timeout_ms))
        .max_buf_size(HEAD_LIMIT_BYTES)
        .timer(TokioTimer::new())
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut replaced = pin!(state.slot.replaced());
    loop {
        tokio::select! {
            // Callers may disconnect at any time.
            _ = connection.as_mut() => return,
            () = &mut replaced => return,
            () = sleep(check_interval(&state)) => {
                if observer.is_reset() {
                    return;
                }
                if state.slot.blocked_ms() > shared.limits.intake.unread_ms {
                    return shared.record_closing(ClosingCause::Unread);
                }
            }
        }
    }
}

fn check_interval(state: &ConnectionState) -> Duration {
    Duration::from_millis(match state.is_answering() {
        true => ANSWER_CHECK_INTERVAL_MS,
        false => CHECK_INTERVAL_MS,
    })
}

async fn answer(
    shared: Rc<Shared>,
    state: Rc<ConnectionState>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    state.begin_answer();
    let (head, body) = request.into_parts();
    let (mut output, parts) = answer_channel(Duration::from_millis(shared.limits.intake.unread_ms));
    let read = read_request_body(&shared, &head, body).await;
    state.slot.set_stage(ConnectionStage::Answering);
    let leaves_body_unread = match read {
        Ok(body) => {
            shared.serve(FrontRequest { body, head, output });
            false
        }
        Err(refused) => {
            // The receiver is held below.
            let _ = write_final(&mut output as &mut dyn AnswerOutput, None, &refused.answer);
            refused.leaves_body_unread
        }
    };
    let mut response = match receive_answer(parts).await {
        Some(response) => response.map(Some),
        None => {
            let mut response = Response::new(None);
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    };
    if leaves_body_unread {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| GuardedBody { body, guard: AnswerGuard(state) }))
}

/// A request that is answered before its body has arrived.
struct Refused {
    answer: FinalAnswer,
    leaves_body_unread: bool,
}

async fn read_request_body(
    shared: &Shared,
    head: &Parts,
    body: Incoming,
) -> Result<Bytes, Refused> {
    let deadline_ms = match shared.handler.check_head(head) {
        HeadStep::Read { time_left_ms } => boot_ms().saturating_add(time_left_ms),
        HeadStep::Refuse(answer) => {
            let leaves_body_unread = discard(body).await.is_err();
            return Err(Refused { answer, leaves_body_unread });
        }
    };
    let limits = &shared.limits;
    let bounds = BodyBounds {
        deadline_ms,
        limit_bytes: limits.body_limit_bytes,
        silence_ms: limits.intake.body_silence_ms,
    };
    if bounds.check_length(&body).is_err() {
        shared.record_body_fault(BodyFault::TooLong);
        // What is left unread closes the connection.
        let _ = discard(body).await;
        return Err(Refused::of(BodyFault::TooLong, limits.body_limit_bytes));
    }
    read_body(body, &bounds, &shared.body_budget).await.map_err(|fault| {
        shared.record_body_fault(fault);
        Refused::of(fault, limits.body_limit_bytes)
    })
}

/// Reads and drops the beginning of a body.
async fn discard(body: Incoming) -> Result<(), BodyFault> {
    let bounds = BodyBounds {
        deadline_ms: u64::MAX,
        limit_bytes: DISCARDED_BYTES,
        silence_ms: DISCARD_SILENCE_MS,
    };
    discard_body(body, &bounds).await
}

impl Refused {
    fn of(fault: BodyFault, limit_bytes: usize) -> Self {
        let answer = match fault {
            BodyFault::Cut => answers::bad_request(400, "body_cut", "The body ended early."),
            BodyFault::NoMemory => answers::no_body_memory(),
            BodyFault::Overdue => {
                answers::bad_request(408, "body_overdue", "The body stopped arriving.")
            }
            BodyFault::TooLong => {
                let message = format!("The body is larger than {limit_bytes} bytes.");
                answers::bad_request(413, "body_too_large", message)
            }
        };
        Self { answer, leaves_body_unread: true }
    }
}

/// Marks the end of an answer when the connection has read its body.
struct AnswerGuard(Rc<ConnectionState>);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.begin_flush();
    }
}

/// A body with the guard of its answer; empty if the thread of the request ended without one.
struct GuardedBody {
    body: Option<PartBody>,
    #[expect(dead_code, reason = "it acts when it is dropped")]
    guard: AnswerGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.get_mut().body {
            Some(body) => Pin::new(body).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(|| SizeHint::with_exact(0), PartBody::size_hint)
    }
}
