//! Turns a response into an answer.

use std::time::Instant;

use attohttpc::Response;
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::answer::{Answer, Outcome, Token};
use super::events::{Event, EventReader};

/// Members of a final event or body.
#[derive(Deserialize)]
struct Final {
    digest: Option<String>,
    events: Option<u64>,
    message: Option<String>,
    outcome: Option<Outcome>,
    reason: Option<String>,
    retry_after_ms: Option<u64>,
}

/// What follows an event.
enum Next {
    Read,
    Stop,
}

/// An answer while it is read.
struct Reading {
    answer: Answer,
    digest: Sha256,
    offset: u64,
    sent: Instant,
}

/// Reads a whole response; an answer that breaks off has no outcome.
///
/// The digest covers all events, so it can be checked only from offset 0 on.
pub(super) fn read<F>(response: Response, sent: Instant, offset: u64, observe: F) -> Answer
where
    F: FnMut(&Event),
{
    let status = response.status().as_u16();
    let kind = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let streams = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
    let answer = Answer { status, ..Answer::default() };
    let mut reading = Reading { answer, digest: Sha256::new(), offset, sent };
    if streams {
        reading.read_events(response, observe);
    } else {
        reading.read_body(response);
    }
    reading.answer.total_ms = millis_since(sent);
    reading.answer
}

impl Reading {
    fn read_events<F>(&mut self, response: Response, mut observe: F)
    where
        F: FnMut(&Event),
    {
        let mut reader = EventReader::new(response);
        while let Ok(Some(event)) = reader.next_event() {
            observe(&event);
            if let Next::Stop = self.take(&event) {
                return;
            }
        }
    }

    fn take(&mut self, event: &Event) -> Next {
        match event.name.as_str() {
            "token" => self.take_token(&event.data),
            "end" => return self.take_end(&event.data),
            _ => {}
        }
        Next::Read
    }

    fn take_token(&mut self, data: &str) {
        self.digest.update(data.as_bytes());
        self.digest.update(b"\n");
        if self.answer.ttft_ms.is_none() {
            self.answer.ttft_ms = Some(millis_since(self.sent));
        }
        if let Ok(token) = serde_json::from_str(data) {
            self.answer.tokens.push(token);
        } else {
            let index = self.answer.tokens.len() as u64;
            self.answer.tokens.push(Token { index, text: data.to_owned() });
        }
    }

    fn take_end(&mut self, data: &str) -> Next {
        let Ok(last) = serde_json::from_str::<Final>(data) else { return Next::Stop };
        let counted = last.events == Some(self.offset + self.answer.tokens.len() as u64);
        let digest = hexadecimal(&self.digest.clone().finalize());
        let intact = self.offset > 0 || last.digest == Some(digest);
        let done = last.outcome == Some(Outcome::Done);
        self.answer.whole = done && counted && intact;
        self.finish(last);
        Next::Stop
    }

    /// A body without a final outcome of its own, as of a plain service, is done if successful.
    fn read_body(&mut self, response: Response) {
        let success = response.is_success();
        let Ok(body) = response.json::<Value>() else { return };
        let last: Option<Final> = serde_json::from_value(body.clone()).ok();
        if let Some(last) = last.filter(|last| last.outcome.is_some()) {
            self.answer.whole = last.outcome == Some(Outcome::Done);
            self.finish(last);
        } else if success {
            self.answer.outcome = Some(Outcome::Done);
            self.answer.whole = true;
        }
        self.answer.body = Some(body);
    }

    fn finish(&mut self, last: Final) {
        self.answer.outcome = last.outcome;
        self.answer.message = last.message;
        self.answer.reason = last.reason;
        self.answer.retry_after_ms = last.retry_after_ms;
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn millis_since(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
