//! Reads and checks headers and body of a caller's request, before the decision core receives it.

use std::io::Read;

use serde::Deserialize;
use tiny_http::Request;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::answers;
use crate::event::Arrival;
use crate::final_answer::FinalAnswer;
use crate::name::Name;

/// Size of a prefix block, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 1_024;

/// Assumed size of a prompt token, in bytes.
const TOKEN_BYTES: usize = 4;

/// Longest accepted idempotency key, in bytes.
const KEY_LIMIT_BYTES: usize = 256;

/// Longest accepted deadline, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 3_600_000;

/// A request that was read and checked.
#[derive(Clone, Debug, Default)]
pub struct ReadRequest {
    /// Event for the decision core.
    pub arrival: Arrival,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's trace context.
    pub traceparent: Option<String>,
    /// Whether the caller wants one JSON body in place of a stream.
    pub wants_json: bool,
}

#[derive(Default, Deserialize)]
struct BodyFields {
    max_output_tokens: Option<u32>,
    prompt: Option<String>,
}

/// Reads a request for `service` and `path`.
///
/// # Errors
///
/// Returns the final answer that names the fault to the caller.
pub fn read_request(
    request: &mut Request,
    service: &str,
    path: &str,
    sequence: u64,
    body_limit_bytes: u64,
) -> Result<ReadRequest, FinalAnswer> {
    let customer = header(request, "Bergamotspan-Customer").ok_or_else(|| {
        answers::bad_request(400, "missing_customer", "Header 'Bergamotspan-Customer' is missing.")
    })?;
    let deadline_ms = read_deadline(request)?;
    let key = read_key(request)?;
    let tier = header(request, "Bergamotspan-Tier").map(Name::from);
    let body = read_body(request, body_limit_bytes)?;
    let fields = read_fields(&body)?;
    let prompt = fields.prompt.unwrap_or_default();
    let arrival = Arrival {
        customer: customer.into(),
        deadline_ms,
        fingerprint: fingerprint(service, path, &body),
        key,
        max_output_tokens: fields.max_output_tokens.unwrap_or_default(),
        path: path.into(),
        prefix_hashes: prefix_hashes(prompt.as_bytes()),
        prompt_tokens: u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX),
        sequence,
        service: service.into(),
        tier,
    };
    let traceparent = header(request, "traceparent");
    Ok(ReadRequest { arrival, body, traceparent, wants_json: wants_json(request) })
}

/// Returns the trimmed value of a header; the case of its name doesn't matter.
pub fn header(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str().trim().to_string())
}

/// Returns the hashes of a prompt's prefixes, each of them one block longer than the last.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .scan(0, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

/// Returns whether the caller wants one JSON body in place of a stream.
pub fn wants_json(request: &Request) -> bool {
    header(request, "Accept").is_some_and(|accept| accept.contains("application/json"))
}

fn fingerprint(service: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [service.as_bytes(), b"\0", path.as_bytes(), b"\0", body] {
        hasher.update(part);
    }
    hasher.digest()
}

fn read_body(request: &mut Request, limit_bytes: u64) -> Result<Vec<u8>, FinalAnswer> {
    let too_large = || {
        let message = format!("The body is larger than {limit_bytes} bytes.");
        answers::bad_request(413, "body_too_large", message)
    };
    let truncated = || answers::bad_request(400, "body_cut", "The body ended early.");
    let length = request.body_length();
    if length.is_some_and(|length| length as u64 > limit_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    request.as_reader().take(limit_bytes + 1).read_to_end(&mut body).map_err(|_| truncated())?;
    if body.len() as u64 > limit_bytes {
        return Err(too_large());
    }
    if length.is_some_and(|length| length != body.len()) {
        return Err(truncated());
    }
    Ok(body)
}

fn read_deadline(request: &Request) -> Result<Option<u64>, FinalAnswer> {
    let Some(text) = header(request, "Bergamotspan-Deadline-Ms") else { return Ok(None) };
    match text.parse() {
        Ok(deadline_ms) if (1..=DEADLINE_LIMIT_MS).contains(&deadline_ms) => Ok(Some(deadline_ms)),
        _ => {
            let message = format!(
                "Header 'Bergamotspan-Deadline-Ms' must be a whole number from 1 to \
                 {DEADLINE_LIMIT_MS}, not '{text}'."
            );
            Err(answers::bad_request(400, "bad_deadline", message))
        }
    }
}

fn read_fields(body: &[u8]) -> Result<BodyFields, FinalAnswer> {
    if body.is_empty() {
        return Ok(BodyFields::default());
    }
    serde_json::from_slice(body).map_err(|error| {
        answers::bad_request(400, "malformed_body", format!("The body can't be read: {error}."))
    })
}

fn read_key(request: &Request) -> Result<Option<Name>, FinalAnswer> {
    let Some(key) = header(request, "Idempotency-Key") else { return Ok(None) };
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/' && byte != b'?';
    if !key.is_empty() && key.len() <= KEY_LIMIT_BYTES && key.bytes().all(is_allowed) {
        return Ok(Some(key.into()));
    }
    let message = format!(
        "Header 'Idempotency-Key' must have 1 to {KEY_LIMIT_BYTES} printable characters without \
         '/', '?' or spaces."
    );
    Err(answers::bad_request(400, "bad_key", message))
}
