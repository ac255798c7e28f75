//! Builds HTTP requests that use no proxy from the environment and follow no redirects, and reads
//! whole answers within a limit.

use std::io::{self, Read};

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};

/// Longest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: u64 = 4 * 1_048_576;

/// Reads the body of an answer.
///
/// # Errors
///
/// Returns an error if the connection breaks or the body is longer than 4 MiB.
pub fn read_body<R>(body: R) -> io::Result<Vec<u8>>
where
    R: Read,
{
    let mut bytes = Vec::new();
    let length = body.take(ANSWER_LIMIT_BYTES + 1).read_to_end(&mut bytes)?;
    if length as u64 > ANSWER_LIMIT_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too long"));
    }
    Ok(bytes)
}

/// Returns a builder for a request.
pub fn http_request(method: Method, url: &str) -> RequestBuilder {
    RequestBuilder::new(method, url)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
}

/// Reads the body of a response as text; what isn't UTF-8 becomes replacement characters.
///
/// # Errors
///
/// Returns an error if the body breaks off, which includes an end before its `Content-Length`, or is
/// longer than 4 MiB.
pub fn read_text(response: Response) -> attohttpc::Result<String> {
    let length_bytes = content_length_bytes(&response);
    let body = read_body(response.split().2)?;
    // The client reports no early end of a body with a length.
    if length_bytes.is_some_and(|length_bytes| body.len() < length_bytes) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Returns the length of the body, unless the client decompresses it, which finds an early end.
fn content_length_bytes(response: &Response) -> Option<usize> {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    match header("content-encoding") {
        None | Some("identity") => header("content-length")?.parse().ok(),
        Some(_) => None,
    }
}
