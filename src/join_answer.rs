//! Joins the answer of another request, at this instance or at another one, and writes it to the
//! caller.

use std::io::{self, BufReader};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use attohttpc::{Method, RequestBuilder};
use serde::Deserialize;
use serde_json::Value;

use crate::answer_log::{AnswerEnd, AnswerLog, AnswerRead, AnswerTotals};
use crate::answer_writer::AnswerWriter;
use crate::answers;
use crate::backend_call::EventStream;
use crate::final_answer::{FinalAnswer, Outcome};
use crate::http_client::http_request;
use crate::server_sent_events::{ServerSentEvent, read_event};
use crate::settings::DispatchSettings;

/// Header in which an instance sends another one the id of the request that holds a key there.
pub const JOIN_HEADER: &str = "Bergamotspan-Join";

/// Time between two keep-alives to the caller, in milliseconds.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;

/// The request of another instance whose answer is joined.
#[derive(Clone, Copy, Debug)]
pub struct JoinTarget<'a> {
    /// Caller address of that instance.
    pub address: SocketAddr,
    /// Id of the request.
    pub holder: &'a str,
    /// Its key.
    pub key: &'a str,
}

/// Writes an answer to a caller and records it for other joins.
pub struct RecordingWriter<'a> {
    /// Where the answer is recorded.
    pub log: &'a AnswerLog,
    /// Writer to the caller.
    pub writer: &'a mut dyn AnswerWriter,
}

impl AnswerWriter for RecordingWriter<'_> {
    fn end(&mut self, end: &AnswerEnd) -> io::Result<()> {
        self.log.finish_as(end.clone());
        self.writer.end(end)
    }

    fn events(&mut self, events: &[Arc<str>]) -> io::Result<()> {
        for event in events {
            self.log.push(event.clone());
        }
        self.writer.events(events)
    }

    fn keep_alive(&mut self) -> io::Result<()> {
        self.writer.keep_alive()
    }
}

/// Data of the event that ends a complete answer.
#[derive(Deserialize)]
struct DoneData {
    digest: String,
    events: usize,
    outcome: Outcome,
}

/// Response of the other instance.
enum PeerResponse {
    /// A final answer in place of a stream.
    Answer(FinalAnswer),
    /// The answer as a stream.
    Stream(Box<EventStream>),
}

/// Next step after a read from the other instance.
enum JoinStep {
    End(AnswerEnd),
    CallerGone,
    Read,
    Reconnect,
}

/// Cancels a request of another instance, and returns HTTP status and body of the response.
///
/// # Errors
///
/// Returns an error if the instance does not answer, or its answer breaks off or isn't JSON.
pub fn cancel_at_peer(
    target: &JoinTarget<'_>,
    settings: &DispatchSettings,
) -> attohttpc::Result<(u16, Value)> {
    let response = request_to(target, Method::DELETE, "", settings).send()?;
    let status = response.status().as_u16();
    let body = serde_json::from_reader(response).map_err(io::Error::from)?;
    Ok((status, body))
}

/// Writes an answer of this instance from an offset, until it ends or the caller disconnects.
pub fn join_local(log: &AnswerLog, offset: usize, writer: &mut dyn AnswerWriter) {
    let mut offset = offset;
    let interval = Duration::from_millis(KEEP_ALIVE_INTERVAL_MS);
    loop {
        let written = match log.read(offset, interval) {
            AnswerRead::End(end) => {
                // The caller may have disconnected.
                let _ = writer.end(&end);
                return;
            }
            AnswerRead::Events(events) => {
                offset += events.len();
                writer.events(&events)
            }
            AnswerRead::Nothing => writer.keep_alive(),
        };
        if written.is_err() {
            return;
        }
    }
}

/// Writes the answer of a request of another instance from an offset, and reconnects when the
/// stream breaks.
pub fn join_peer(
    target: &JoinTarget<'_>,
    offset: usize,
    settings: &DispatchSettings,
    writer: &mut dyn AnswerWriter,
) {
    let mut offset = offset;
    let mut attempts = 0;
    while attempts < settings.resume_limit {
        attempts += 1;
        let mut stream = match connect(target, offset, settings) {
            Ok(PeerResponse::Answer(answer)) => {
                // The caller may have disconnected.
                let _ = writer.end(&AnswerEnd::Final(answer));
                return;
            }
            Ok(PeerResponse::Stream(stream)) => stream,
            Err(_) => continue,
        };
        loop {
            match relay_event(&mut stream, &mut offset, writer) {
                JoinStep::End(end) => {
                    let _ = writer.end(&end);
                    return;
                }
                JoinStep::CallerGone => return,
                JoinStep::Read => attempts = 0,
                JoinStep::Reconnect => break,
            }
        }
    }
    let _ = writer.end(&AnswerEnd::Final(answers::holder_unreachable()));
}

fn connect(
    target: &JoinTarget<'_>,
    offset: usize,
    settings: &DispatchSettings,
) -> attohttpc::Result<PeerResponse> {
    let query = format!("?offset={offset}");
    let response = request_to(target, Method::GET, &query, settings).send()?;
    let (status, _, reader) = response.split();
    if status.as_u16() == 200 {
        return Ok(PeerResponse::Stream(Box::new(BufReader::new(reader))));
    }
    let mut answer: FinalAnswer =
        serde_json::from_reader(reader).unwrap_or_else(|_| answers::holder_unreachable());
    answer.status = status.as_u16();
    Ok(PeerResponse::Answer(answer))
}

fn relay_event(
    stream: &mut EventStream,
    offset: &mut usize,
    writer: &mut dyn AnswerWriter,
) -> JoinStep {
    let written = match read_event(stream) {
        Ok(ServerSentEvent::Comment) => writer.keep_alive(),
        Ok(ServerSentEvent::Event { data, name }) if name == "token" => {
            *offset += 1;
            writer.events(&[Arc::from(data)])
        }
        Ok(ServerSentEvent::Event { data, .. }) => {
            return parse_end(&data, *offset).map_or(JoinStep::Reconnect, JoinStep::End);
        }
        Ok(ServerSentEvent::EndOfStream) | Err(_) => return JoinStep::Reconnect,
    };
    match written {
        Ok(()) => JoinStep::Read,
        Err(_) => JoinStep::CallerGone,
    }
}

/// Reads an end event; returns `None` if it can't be read, or ends a complete answer before its
/// last event.
fn parse_end(data: &str, offset: usize) -> Option<AnswerEnd> {
    if let Ok(answer) = serde_json::from_str::<FinalAnswer>(data) {
        return Some(AnswerEnd::Final(answer));
    }
    let DoneData { digest, events, outcome } = serde_json::from_str(data).ok()?;
    let is_complete = outcome == Outcome::Done && events <= offset;
    is_complete.then_some(AnswerEnd::Done(AnswerTotals { digest, events }))
}

fn request_to(
    target: &JoinTarget<'_>,
    method: Method,
    query: &str,
    settings: &DispatchSettings,
) -> RequestBuilder {
    let JoinTarget { address, holder, key } = target;
    http_request(method, &format!("http://{address}/v1/requests/{key}{query}"))
        .header(JOIN_HEADER, *holder)
        .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
        .read_timeout(Duration::from_millis(settings.idle_limit_ms))
}
