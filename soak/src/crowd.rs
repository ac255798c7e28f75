//! A crowd of callers whose bodies stop short of their end.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::caller::HOST;
use crate::fleet::LIMITED_KEYS;

/// Callers of a crowd.
const CALLERS: usize = 100;
/// Longest body of a crowd that is sent, in bytes; documents permit 1,000 or 10,000.
const MOST_BYTES: u64 = 9_000;

/// Opens the connections of a crowd, and holds them for a while.
pub(crate) async fn hold(address: SocketAddr, draw: u64, duration: Duration) {
    let mut connections = Vec::new();
    for number in 0..CALLERS as u64 {
        // The instance may have stopped, or may close the connection.
        if let Ok(mut connection) = TcpStream::connect(address).await {
            let _ = connection.write_all(&unfinished(draw.wrapping_add(number * 977))).await;
            connections.push(connection);
        }
    }
    sleep(duration).await;
}

/// Returns a request that lacks the end of its body, announced or in chunks, of a proper caller or
/// of an unknown one.
fn unfinished(draw: u64) -> Vec<u8> {
    let sent_bytes = draw % MOST_BYTES;
    let key = if draw.is_multiple_of(3) { "unknown" } else { LIMITED_KEYS[0] };
    let framing = match draw.is_multiple_of(2) {
        true => format!("Content-Length: {}\r\n\r\n", sent_bytes + 1),
        false => format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", sent_bytes + 1),
    };
    let head = format!(
        "POST /desk/crowd HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd-{draw}\r\n\
         X-Deadline-Ms: 15000\r\nAuthorization: Bearer {key}\r\n{framing}"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + sent_bytes as usize, b'a');
    bytes
}
