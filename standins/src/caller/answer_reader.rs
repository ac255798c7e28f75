//! Reads an HTTP response into an [`Answer`] and checks its event count and digest.

use std::time::Instant;

use attohttpc::Response;
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::answer::{Answer, Outcome, Token};
use super::events::{Event, EventReader};

/// Fields of a final event or body.
#[derive(Deserialize)]
struct FinalFields {
    digest: Option<String>,
    events: Option<u64>,
    message: Option<String>,
    outcome: Option<Outcome>,
    reason: Option<String>,
    retry_after_ms: Option<u64>,
}

/// Whether to read on after an event.
enum NextStep {
    Continue,
    Stop,
}

/// State while an answer is read.
struct AnswerReader {
    answer: Answer,
    digest: Sha256,
    offset: u64,
    sent_at: Instant,
}

/// Reads a response to its end; an answer that breaks off has no outcome.
///
/// The digest covers all events, so it can be checked only from offset 0 on.
pub(super) fn read<F>(response: Response, sent_at: Instant, offset: u64, observe: F) -> Answer
where
    F: FnMut(&Event),
{
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let is_stream =
        content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"));
    let answer = Answer { status, ..Answer::default() };
    let mut reader = AnswerReader { answer, digest: Sha256::new(), offset, sent_at };
    if is_stream {
        reader.read_events(response, observe);
    } else {
        reader.read_body(response);
    }
    reader.answer.total_ms = millis_since(sent_at);
    reader.answer
}

impl AnswerReader {
    fn read_events<F>(&mut self, response: Response, mut observe: F)
    where
        F: FnMut(&Event),
    {
        let mut reader = EventReader::new(response);
        while let Ok(Some(event)) = reader.next_event() {
            observe(&event);
            if let NextStep::Stop = self.apply_event(&event) {
                return;
            }
        }
    }

    fn apply_event(&mut self, event: &Event) -> NextStep {
        match event.name.as_str() {
            "token" => self.apply_token(&event.data),
            "end" => return self.apply_end(&event.data),
            _ => {}
        }
        NextStep::Continue
    }

    fn apply_token(&mut self, data: &str) {
        self.digest.update(data.as_bytes());
        self.digest.update(b"\n");
        if self.answer.ttft_ms.is_none() {
            self.answer.ttft_ms = Some(millis_since(self.sent_at));
        }
        if let Ok(token) = serde_json::from_str(data) {
            self.answer.tokens.push(token);
        } else {
            let index = self.answer.tokens.len() as u64;
            self.answer.tokens.push(Token { index, text: data.to_owned() });
        }
    }

    fn apply_end(&mut self, data: &str) -> NextStep {
        let Ok(fields) = serde_json::from_str::<FinalFields>(data) else { return NextStep::Stop };
        let count_matches = fields.events == Some(self.offset + self.answer.tokens.len() as u64);
        let digest = hexadecimal(&self.digest.clone().finalize());
        let digest_matches = self.offset > 0 || fields.digest == Some(digest);
        let is_done = fields.outcome == Some(Outcome::Done);
        self.answer.whole = is_done && count_matches && digest_matches;
        self.set_final_fields(fields);
        NextStep::Stop
    }

    /// Reads a single body. A body without an outcome, such as that of a plain service, counts as
    /// done if the status is successful.
    fn read_body(&mut self, response: Response) {
        let success = response.is_success();
        let length_bytes = content_length_bytes(&response);
        let Ok(bytes) = response.bytes() else { return };
        // The HTTP client reports no early end of a body with a length.
        if length_bytes.is_some_and(|length_bytes| bytes.len() < length_bytes) {
            return;
        }
        let Ok(body) = serde_json::from_slice::<Value>(&bytes) else { return };
        let fields: Option<FinalFields> = serde_json::from_value(body.clone()).ok();
        if let Some(fields) = fields.filter(|fields| fields.outcome.is_some()) {
            self.answer.whole = fields.outcome == Some(Outcome::Done);
            self.set_final_fields(fields);
        } else if success {
            self.answer.outcome = Some(Outcome::Done);
            self.answer.whole = true;
        }
        self.answer.body = Some(body);
    }

    fn set_final_fields(&mut self, fields: FinalFields) {
        self.answer.outcome = fields.outcome;
        self.answer.message = fields.message;
        self.answer.reason = fields.reason;
        self.answer.retry_after_ms = fields.retry_after_ms;
    }
}

/// Returns the length of the body, unless the HTTP client decompresses it, which finds an early end.
fn content_length_bytes(response: &Response) -> Option<usize> {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    match header("content-encoding") {
        None | Some("identity") => header("content-length")?.parse().ok(),
        Some(_) => None,
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn millis_since(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
