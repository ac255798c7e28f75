//! Writes an answer to a caller, as server-sent events or as one JSON body.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Value, json};

use crate::answer_log::{AnswerEnd, AnswerTotals};
use crate::answer_output::{AnswerHead, AnswerOutput};
use crate::final_answer::FinalAnswer;
use crate::request_id::RequestId;
use crate::server_sent_events::with_line_feeds;

/// Response header with the id of the request, which operators can look up.
pub const REQUEST_HEADER: &str = "bergamotspan-request";

/// Writes one answer in the form that its caller accepts.
pub trait AnswerWriter: Send {
    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected.
    fn end(&mut self, end: &AnswerEnd) -> io::Result<()>;

    /// Writes token events.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected.
    fn events(&mut self, events: &[Arc<str>]) -> io::Result<()>;

    /// Sends a keep-alive to a waiting caller, where the form allows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected.
    fn keep_alive(&mut self) -> io::Result<()>;
}

/// Writes one JSON body at the end.
pub struct JsonAnswerWriter {
    events: Vec<Arc<str>>,
    output: Box<dyn AnswerOutput>,
    request: Option<RequestId>,
}

/// Writes server-sent events as they arrive, in parts of the body.
pub struct StreamAnswerWriter {
    output: Box<dyn AnswerOutput>,
    request: Option<RequestId>,
    started: bool,
}

impl JsonAnswerWriter {
    /// Creates a writer to a connection; `request` is the id of the request, if it has one here.
    pub fn new(output: Box<dyn AnswerOutput>, request: Option<RequestId>) -> Self {
        Self { events: Vec::new(), output, request }
    }
}

impl AnswerWriter for JsonAnswerWriter {
    fn end(&mut self, end: &AnswerEnd) -> io::Result<()> {
        match end {
            AnswerEnd::Done(totals) => {
                let mut body = done_body(totals);
                body["tokens"] = self.events.iter().map(|data| token_value(data)).collect();
                let headers = request_header(self.request.as_ref());
                write_body(&mut *self.output, 200, headers, &body)
            }
            AnswerEnd::Final(answer) => {
                write_final(&mut *self.output, self.request.as_ref(), answer)
            }
        }
    }

    fn events(&mut self, events: &[Arc<str>]) -> io::Result<()> {
        self.events.extend_from_slice(events);
        Ok(())
    }

    fn keep_alive(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl StreamAnswerWriter {
    /// Creates a writer to a connection; `request` is the id of the request, if it has one here.
    pub fn new(output: Box<dyn AnswerOutput>, request: Option<RequestId>) -> Self {
        Self { output, request, started: false }
    }

    fn write_text(&mut self, text: String) -> io::Result<()> {
        if !self.started {
            let mut headers = request_header(self.request.as_ref());
            headers.push(("cache-control", "no-store".to_owned()));
            let content_type = "text/event-stream";
            self.output.begin(AnswerHead {
                content_type,
                headers,
                length_bytes: None,
                status: 200,
            })?;
            self.started = true;
        }
        self.output.write(Bytes::from(text))
    }
}

impl AnswerWriter for StreamAnswerWriter {
    fn end(&mut self, end: &AnswerEnd) -> io::Result<()> {
        let body = match end {
            AnswerEnd::Done(totals) => done_body(totals),
            AnswerEnd::Final(answer) if !self.started => {
                return write_final(&mut *self.output, self.request.as_ref(), answer);
            }
            AnswerEnd::Final(answer) => final_body(answer),
        };
        self.write_text(format!("event: end\ndata: {body}\n\n"))?;
        self.output.end()
    }

    fn events(&mut self, events: &[Arc<str>]) -> io::Result<()> {
        let mut text = String::new();
        for event in events {
            text.push_str("event: token\n");
            for line in with_line_feeds(event).split('\n') {
                text.push_str(&format!("data: {line}\n"));
            }
            text.push('\n');
        }
        self.write_text(text)
    }

    fn keep_alive(&mut self) -> io::Result<()> {
        self.write_text(": alive\n\n".to_owned())
    }
}

/// Writes a final answer as a complete HTTP response with a JSON body, and the id of its request
/// if it has one.
///
/// # Errors
///
/// Returns an error if the caller disconnected.
pub fn write_final(
    output: &mut dyn AnswerOutput,
    request: Option<&RequestId>,
    answer: &FinalAnswer,
) -> io::Result<()> {
    let mut headers = request_header(request);
    if let Some(retry_after_ms) = answer.retry_after_ms {
        headers.push(("retry-after", retry_after_ms.div_ceil(1_000).to_string()));
    }
    write_body(output, answer.status, headers, &final_body(answer))
}

/// Writes a complete HTTP response with a JSON body.
///
/// # Errors
///
/// Returns an error if the caller disconnected.
pub fn write_body(
    output: &mut dyn AnswerOutput,
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: &Value,
) -> io::Result<()> {
    let body = body.to_string();
    let content_type = "application/json";
    output.begin(AnswerHead { content_type, headers, length_bytes: Some(body.len()), status })?;
    output.write(Bytes::from(body))?;
    output.end()
}

fn done_body(totals: &AnswerTotals) -> Value {
    json!({ "outcome": "done", "events": totals.events, "digest": totals.digest })
}

fn final_body(answer: &FinalAnswer) -> Value {
    serde_json::to_value(answer).unwrap_or_default()
}

fn request_header(request: Option<&RequestId>) -> Vec<(&'static str, String)> {
    request.map(|request| (REQUEST_HEADER, request.to_string())).into_iter().collect()
}

fn token_value(data: &str) -> Value {
    serde_json::from_str(data).unwrap_or_else(|_| Value::from(data))
}
