//! Tests that a plain service's answer that holds bytes of another one counts as lost.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use bergamotspan::backend_call::{BackendRequest, CallFailure, call_plain};
use bergamotspan::clock::Clock;
use bergamotspan::effect::Dispatch;
use bergamotspan::settings::{DispatchSettings, Policy};

const OTHER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Answers one request with these bytes and closes the connection.
fn serve(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n{}") {
            let mut byte = [0];
            connection.read_exact(&mut byte).unwrap();
            request.extend_from_slice(&byte);
        }
        // The other end closes the connection once it has a whole answer.
        let _ = connection.write_all(answer.as_bytes());
    });
    address
}

fn call(answer: String) -> Result<String, CallFailure> {
    let dispatch = Dispatch {
        address: serve(answer),
        backend_server: "order-desk-1".into(),
        deadline_ms: 5_000,
        expires_ms: u64::MAX,
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
    let request = BackendRequest { body: b"{}", key: Some("key"), traceparent: None };
    call_plain(Clock::start(), &dispatch, &request, &settings)
}

#[test]
fn an_answer_that_holds_bytes_of_another_one_counts_as_lost() {
    for framing in ["", "Content-Length: 8\r\n"] {
        for own in ["{\"a\":", "{\"a\":1}", ""] {
            let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n{own}{OTHER}");
            assert_eq!(call(answer.clone()), Err(CallFailure::Lost), "{answer:?}");
        }
    }
}

#[test]
fn an_answer_before_another_one_is_returned() {
    for body in ["", "{}", " [1, \"HTTP/1.1 200 OK\"]\n", "null"] {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert_eq!(call(answer + OTHER), Ok(body.to_owned()));
    }
}
