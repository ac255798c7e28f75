//! Tests that a call which counts as not sent has sent no byte to the backend server, and that only
//! a whole answer counts as one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bergamotspan::backend_call::{BackendRequest, CallFailure, call_plain};
use bergamotspan::clock::Clock;
use bergamotspan::effect::Dispatch;
use bergamotspan::settings::{DispatchSettings, Policy};

const CALLS: u64 = 300;
/// The text `{}`, compressed with gzip.
const GZIP_BODY: [u8; 22] = [
    0x1f, 0x8b, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02, 0x03, 0xab, 0xae, 0x05, 0x00, 0x43, 0xbf,
    0xa6, 0xa3, 0x02, 0x00, 0x00, 0x00,
];
const READ_LIMIT_MS: u64 = 200;

/// A server that counts the connections with a request and sends a fixed answer.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Server {
    fn start(answer: impl AsRef<[u8]>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let (answer, seen) = (answer.as_ref().to_vec(), connections.clone());
        thread::spawn(move || {
            for mut connection in listener.incoming().flatten() {
                let limit = Duration::from_millis(READ_LIMIT_MS);
                connection.set_read_timeout(Some(limit)).unwrap();
                // The read returns at once: with a request, or with 0 if the connection closed.
                let count = connection.read(&mut [0; 4_096]).unwrap_or(0);
                seen.fetch_add(usize::from(count > 0), Ordering::SeqCst);
                // The other end may have closed the connection.
                let _ = connection.write_all(&answer);
            }
        });
        Self { address, connections }
    }

    /// Returns the number of connections that carried a byte, after all earlier ones were read.
    fn requests(&self) -> usize {
        let before = self.connections.load(Ordering::SeqCst);
        let mut last = std::net::TcpStream::connect(self.address).unwrap();
        last.write_all(b"x").unwrap();
        last.read_to_end(&mut Vec::new()).unwrap_or(0);
        let after = self.connections.load(Ordering::SeqCst);
        assert!(after > before);
        after - 1
    }
}

fn call(
    clock: Clock,
    address: SocketAddr,
    expires_ms: u64,
    body: &str,
) -> Result<String, CallFailure> {
    let dispatch = Dispatch {
        address,
        backend_server: "order-desk-1".into(),
        deadline_ms: 5_000,
        expires_ms,
        granted_ms: 0,
        model: false,
        path: "bookings".into(),
        request: "entry-1-1-1".to_owned(),
        sequence: 1,
    };
    let settings = DispatchSettings {
        connect_timeout_ms: 1_000,
        idle_limit_ms: 1_000,
        load_interval_ms: 1_000,
        policy: Policy::Coordinator,
        resume_limit: 0,
    };
    let request = BackendRequest { body: body.as_bytes(), key: Some("key"), traceparent: None };
    call_plain(clock, &dispatch, &request, &settings)
}

fn start_done_server() -> Server {
    Server::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
}

#[test]
fn no_byte_is_sent_once_the_grant_has_expired() {
    for body in ["", "{}"] {
        let server = start_done_server();

        let answer = call(Clock::start(), server.address, 0, body);

        assert_eq!(answer, Err(CallFailure::Expired));
        assert_eq!(server.requests(), 0);
    }
}

#[test]
fn a_refused_connection_counts_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let answers = ["", "{}"].map(|body| call(Clock::start(), address, u64::MAX, body));

    assert_eq!(answers, [Err(CallFailure::NotSent), Err(CallFailure::NotSent)]);
}

#[test]
fn a_call_that_counts_as_not_sent_has_sent_no_byte() {
    for body in ["", "{}"] {
        let server = start_done_server();
        let clock = Clock::start();
        let may_have_sent = |index: &u64| {
            let expires_ms = clock.monotonic_ms() + index % 3;
            let answer = call(clock, server.address, expires_ms, body);
            !matches!(answer, Err(CallFailure::Expired | CallFailure::NotSent))
        };

        let sent = (0..CALLS).filter(may_have_sent).count();

        assert_eq!(server.requests(), sent, "body {body:?}");
    }
}

#[test]
fn a_redirect_by_a_backend_server_is_not_followed() {
    for status in [301, 302, 307, 308] {
        let other = start_done_server();
        let server = Server::start(format!(
            "HTTP/1.1 {status} Moved\r\nLocation: http://{}/v1/call/bookings\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n",
            other.address
        ));

        let answer = call(Clock::start(), server.address, u64::MAX, "{}");

        assert_eq!(other.requests(), 0, "status {status}");
        assert_eq!(answer, Err(CallFailure::Status(status)));
    }
}

#[test]
fn an_answer_that_ends_before_its_length_counts_as_lost() {
    for headers in ["", "Content-Encoding: identity\r\n"] {
        for body in ["", "{}"] {
            let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 9\r\n\r\n");
            let server = Server::start(head + body);

            let answer = call(Clock::start(), server.address, u64::MAX, "{}");

            assert_eq!(answer, Err(CallFailure::Lost), "headers {headers:?}, body {body:?}");
        }
    }
}

#[test]
fn a_compressed_answer_is_not_judged_by_its_compressed_length() {
    for (length_bytes, expected) in
        [(GZIP_BODY.len(), Ok("{}".to_owned())), (GZIP_BODY.len() - 9, Err(CallFailure::Lost))]
    {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: {}\r\n\r\n",
            GZIP_BODY.len()
        );
        let server = Server::start([head.as_bytes(), &GZIP_BODY[..length_bytes]].concat());

        let answer = call(Clock::start(), server.address, u64::MAX, "{}");

        assert_eq!(answer, expected);
    }
}

#[test]
fn another_answer_inside_a_body_counts_as_lost() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    for framing in ["", "Content-Length: 70\r\n"] {
        for own in ["{}", "{\"a", ""] {
            let server = Server::start(format!("{head}{framing}\r\n{own}{head}\r\n{:70}", "{}"));

            let answer = call(Clock::start(), server.address, u64::MAX, "{}");

            assert_eq!(answer, Err(CallFailure::Lost), "framing {framing:?}, own {own:?}");
        }
    }
}

#[test]
fn a_body_with_the_text_of_an_answer_is_returned() {
    let texts = [r#"{"a":"HTTP/1.1 200 OK\r\nDate: 1\r\n"}"#, r#""HTTP/1.1 200 OK\r\n\r\n""#];
    for body in texts {
        let server = Server::start(format!("HTTP/1.1 200 OK\r\n\r\n{body}"));

        assert_eq!(call(Clock::start(), server.address, u64::MAX, "{}"), Ok(body.to_owned()));
    }
}

#[test]
fn a_body_that_is_only_the_head_of_an_answer_counts_as_lost() {
    let server = Server::start("HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n");

    assert_eq!(call(Clock::start(), server.address, u64::MAX, "{}"), Err(CallFailure::Lost));
}

#[test]
fn an_answer_of_its_length_is_returned_whole() {
    let answers = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{}",
    ];
    for answer in answers {
        let server = Server::start(answer);

        assert_eq!(call(Clock::start(), server.address, u64::MAX, "{}"), Ok("{}".to_owned()));
    }
}

#[test]
fn an_answer_without_end_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        // The request may arrive in several parts; the answer needs none of it.
        let _ = connection.read(&mut [0; 4_096]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", u64::MAX / 2);
        let _ = connection.write_all(head.as_bytes());
        (0..1_024).all(|_| connection.write_all(&[b'a'; 65_536]).is_ok())
    });
    let answer = call(Clock::start(), address, 5_000, "{}");
    assert_eq!(answer, Err(CallFailure::Lost));
    assert!(!server.join().unwrap(), "the connection stayed open up to the bound");
}
