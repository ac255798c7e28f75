//! Checks headers and body of a caller's request, before the decision core receives it.

use bytes::Bytes;
use hyper::HeaderMap;
use serde::Deserialize;
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
    pub body: Bytes,
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

/// What the head of a request says.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    customer: Name,
    deadline_ms: Option<u64>,
    key: Option<Name>,
    tier: Option<Name>,
}

impl RequestHead {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the final answer that names the fault to the caller.
    pub fn read(headers: &HeaderMap) -> Result<Self, FinalAnswer> {
        let customer = header(headers, "Bergamotspan-Customer").ok_or_else(|| {
            let message = "Header 'Bergamotspan-Customer' is missing.";
            answers::bad_request(400, "missing_customer", message)
        })?;
        Ok(Self {
            customer: customer.into(),
            deadline_ms: read_deadline(headers)?,
            key: read_key(headers)?,
            tier: header(headers, "Bergamotspan-Tier").map(Name::from),
        })
    }

    /// Returns for how long its caller waits, in milliseconds.
    pub fn time_left_ms(&self) -> u64 {
        self.deadline_ms.unwrap_or(DEADLINE_LIMIT_MS)
    }
}

/// Reads a request for `service` and `path`.
///
/// # Errors
///
/// Returns the final answer that names the fault to the caller.
pub fn read_request(
    headers: &HeaderMap,
    body: Bytes,
    service: &str,
    path: &str,
    sequence: u64,
) -> Result<ReadRequest, FinalAnswer> {
    let head = RequestHead::read(headers)?;
    let fields = read_fields(&body)?;
    let prompt = fields.prompt.unwrap_or_default();
    let arrival = Arrival {
        customer: head.customer,
        deadline_ms: head.deadline_ms,
        fingerprint: fingerprint(service, path, &body),
        key: head.key,
        max_output_tokens: fields.max_output_tokens.unwrap_or_default(),
        path: path.into(),
        prefix_hashes: prefix_hashes(prompt.as_bytes()),
        prompt_tokens: u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX),
        sequence,
        service: service.into(),
        tier: head.tier,
    };
    let traceparent = header(headers, "traceparent");
    Ok(ReadRequest { arrival, body, traceparent, wants_json: wants_json(headers) })
}

/// Returns the trimmed value of a header; the case of its name doesn't matter.
pub fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = String::from_utf8_lossy(headers.get(name)?.as_bytes());
    Some(value.trim().to_owned())
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
pub fn wants_json(headers: &HeaderMap) -> bool {
    header(headers, "Accept").is_some_and(|accept| accept.contains("application/json"))
}

fn fingerprint(service: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [service.as_bytes(), b"\0", path.as_bytes(), b"\0", body] {
        hasher.update(part);
    }
    hasher.digest()
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<u64>, FinalAnswer> {
    let Some(text) = header(headers, "Bergamotspan-Deadline-Ms") else { return Ok(None) };
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

fn read_key(headers: &HeaderMap) -> Result<Option<Name>, FinalAnswer> {
    let Some(key) = header(headers, "Idempotency-Key") else { return Ok(None) };
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
