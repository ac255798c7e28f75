//! Recognizes heads of HTTP answers inside other bytes.

use std::iter::from_fn;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use memchr::{memchr, memmem};

/// Bytes by which the head of an HTTP answer begins.
pub(crate) const ANSWER_START: &[u8] = b"HTTP/1.";
/// Longest head that is recognized across two texts, in bytes.
const HEAD_LIMIT_BYTES: usize = 65_536;
/// Length of a status line up to the end of its status, in bytes.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200".len();

/// Returns the statuses in a text that begin the head of an answer, with the headers after each.
///
/// The lines of a head end with CRLF. Of a head that is cut off, the whole lines count.
pub fn answer_heads(text: &[u8]) -> impl Iterator<Item = (StatusCode, HeaderMap)> {
    heads_with_starts(text).map(|(_, status, headers)| (status, headers))
}

/// Returns the heads that begin in a text and go on in the one that follows it. There are none if the
/// latter begins with a head of its own.
pub(crate) fn heads_across(text: &[u8], following: &[u8]) -> Vec<(StatusCode, HeaderMap)> {
    if following.is_empty() || following.starts_with(ANSWER_START) {
        return Vec::new();
    }
    let tail = &text[text.len().saturating_sub(HEAD_LIMIT_BYTES)..];
    let joined = [tail, &following[..following.len().min(HEAD_LIMIT_BYTES)]].concat();
    let heads = heads_with_starts(&joined).take_while(|(start, ..)| *start < tail.len());
    heads.map(|(_, status, headers)| (status, headers)).collect()
}

fn heads_with_starts(text: &[u8]) -> impl Iterator<Item = (usize, StatusCode, HeaderMap)> {
    let mut rest = text;
    from_fn(move || {
        let (start, status) = first_status(rest)?;
        let start_in_text = text.len() - rest.len() + start;
        let (headers, after) = read_headers(&rest[start + STATUS_LINE_BYTES..]);
        rest = after;
        Some((start_in_text, status, headers))
    })
}

/// Returns where the first status line in a text starts, and its status.
pub(crate) fn first_status(text: &[u8]) -> Option<(usize, StatusCode)> {
    memmem::find_iter(text, ANSWER_START).find_map(|start| {
        let line = text.get(start + ANSWER_START.len()..start + STATUS_LINE_BYTES)?;
        let [version, b' ', status @ ..] = line else { return None };
        let status = StatusCode::from_bytes(status).ok()?;
        version.is_ascii_digit().then_some((start, status))
    })
}

/// Returns the headers in the lines after the first, and the text after them.
fn read_headers(text: &[u8]) -> (HeaderMap, &[u8]) {
    let mut headers = HeaderMap::new();
    let (status_line, mut rest) = split_line(text);
    if status_line.is_none() {
        return (headers, rest);
    }
    loop {
        let (line, after) = split_line(rest);
        let Some((name, value)) = line.and_then(parse_header) else { return (headers, rest) };
        if headers.try_append(name, value).is_err() {
            return (headers, rest);
        }
        rest = after;
    }
}

/// Splits a text after its first line, which is `None` if it does not end with CRLF.
fn split_line(text: &[u8]) -> (Option<&[u8]>, &[u8]) {
    match memchr(b'\n', text) {
        Some(end) => (text[..end].strip_suffix(b"\r"), &text[end + 1..]),
        None => (None, &[]),
    }
}

fn parse_header(line: &[u8]) -> Option<(HeaderName, HeaderValue)> {
    let colon = memchr(b':', line)?;
    let name = HeaderName::from_bytes(&line[..colon]).ok()?;
    Some((name, HeaderValue::from_bytes(line[colon + 1..].trim_ascii()).ok()?))
}
