//! Tests which kept connections to a backend server are used again; the receiver of a connection
//! runs only while a test awaits something.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use bergamotspan::gateway::connections::{Connection, Connections};
use bergamotspan::name::Name;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::runtime;
use tokio::task::LocalSet;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked";

fn run<F: Future>(test: F) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// A backend server whose connection a test writes to, and the pool that keeps the other end.
struct Kept {
    address: SocketAddr,
    pool: Connections,
    server: TcpStream,
    _listener: TcpListener,
}

impl Kept {
    /// Has one request answered and returns its connection to the pool.
    async fn after_one_answer() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_head(&mut stream);
            stream.write_all(ANSWER).expect("the answer is sent");
            (listener, stream)
        });
        let pool = Connections::default();
        let mut connection = acquire(&pool, address, "r-1").await;
        send(&mut connection, "/first", Bytes::new()).await;
        let (listener, server) = server.join().expect("the server does not panic");
        pool.release(connection, None);
        Self { address, pool, server, _listener: listener }
    }

    /// Waits until a field of the pool's socket differs from `idle`, and does not await anything.
    fn wait_for_change(&self, field: usize, idle: &str) {
        let ends = [self.server.peer_addr(), Ok(self.address)]
            .map(|end| format!("0100007F:{:04X}", end.expect("an address").port()));
        loop {
            let sockets = fs::read_to_string("/proc/net/tcp").expect("the list of sockets");
            let fields = sockets.lines().find_map(|line| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                (fields[1..3] == ends).then(|| fields[field].to_owned())
            });
            if fields.is_none_or(|value| value != idle) {
                return;
            }
            thread::yield_now();
        }
    }
}

async fn acquire(pool: &Connections, address: SocketAddr, request_id: &str) -> Connection {
    let request_id = Name::from(request_id);
    pool.acquire(&Name::from("d-1"), address, &request_id).await.expect("a connection")
}

async fn send(connection: &mut Connection, path: &str, body: Bytes) {
    let request = Request::post(path).body(Full::new(body)).expect("a request");
    let answer = connection.sender.send_request(request).await.expect("an answer");
    let body = answer.into_body().collect().await.expect("a body").to_bytes();
    assert_eq!(&body[..], b"booked");
}

#[test]
fn a_quiet_connection_is_used_again() {
    run(async {
        let kept = Kept::after_one_answer().await;
        assert!(!acquire(&kept.pool, kept.address, "r-2").await.is_new);
    });
}

#[test]
fn a_connection_is_not_used_again_for_the_id_of_its_last_request() {
    run(async {
        let kept = Kept::after_one_answer().await;
        assert!(acquire(&kept.pool, kept.address, "r-1").await.is_new);
        assert!(!acquire(&kept.pool, kept.address, "r-2").await.is_new);
    });
}

#[test]
fn a_connection_with_unread_bytes_is_not_used_again() {
    for bytes in [ANSWER, b"\r\n"] {
        run(async {
            let mut kept = Kept::after_one_answer().await;
            kept.server.write_all(bytes).expect("the bytes are sent");
            kept.wait_for_change(4, "00000000:00000000");
            assert!(acquire(&kept.pool, kept.address, "r-2").await.is_new);
        });
    }
}

#[test]
fn a_connection_that_the_server_has_closed_is_not_used_again() {
    run(async {
        let kept = Kept::after_one_answer().await;
        kept.server.shutdown(std::net::Shutdown::Both).expect("the connection is open");
        kept.wait_for_change(3, "01");
        assert!(acquire(&kept.pool, kept.address, "r-2").await.is_new);
    });
}

#[test]
fn a_server_that_answers_before_it_has_read_a_body_gets_the_rest_of_that_body() {
    let body = Bytes::from(vec![b'x'; 8_000_000]);
    let length = body.len();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(read_head(&mut stream).starts_with("POST /first "));
        stream.write_all(ANSWER).expect("the answer is sent");
        let (mut next, _) = listener.accept().expect("a connection");
        assert!(read_head(&mut next).starts_with("POST /second "));
        next.write_all(ANSWER).expect("the answer is sent");
        let mut rest = Vec::new();
        // The connection may end with a reset.
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.len() <= length && rest.iter().all(|byte| *byte == b'x'));
    });
    run(async move {
        let pool = Connections::default();
        let mut first = acquire(&pool, address, "r-1").await;
        send(&mut first, "/first", body).await;
        pool.release(first, None);
        let mut second = acquire(&pool, address, "r-2").await;
        send(&mut second, "/second", Bytes::new()).await;
    });
    server.join().expect("the server does not panic");
}
