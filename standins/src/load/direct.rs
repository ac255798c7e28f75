//! Sends a request directly to an engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::{Method, RequestBuilder};
use serde_json::Value;

use crate::caller::{Answer, CallError, EventReader, Outcome, Token, without_proxy};

/// Sends a request and reads the engine's stream.
pub(super) fn send(
    address: SocketAddr,
    body: &Value,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let url = format!("http://{address}/v1/generate");
    let request = without_proxy(RequestBuilder::new(Method::POST, url), timeout);
    let sent_at = Instant::now();
    let response = request.json(body).map_err(CallError::Body)?.send();
    let response = response.map_err(CallError::Connection)?;
    let mut answer = Answer { status: response.status().as_u16(), ..Answer::default() };
    let mut reader = EventReader::new(response);
    while let Ok(Some(event)) = reader.next_event() {
        match event.name.as_str() {
            "token" => record_token(&mut answer, &event.data, sent_at),
            "end" => {
                answer.outcome = Some(Outcome::Done);
                answer.whole = true;
                break;
            }
            _ => {
                answer.outcome = Some(Outcome::Failed);
                break;
            }
        }
    }
    answer.total_ms = sent_at.elapsed().as_millis() as u64;
    Ok(answer)
}

fn record_token(answer: &mut Answer, data: &str, sent_at: Instant) {
    answer.ttft_ms.get_or_insert_with(|| sent_at.elapsed().as_millis() as u64);
    if let Ok(token) = serde_json::from_str::<Token>(data) {
        answer.tokens.push(token);
    }
}
