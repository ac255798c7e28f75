//! Tests the fault proxy.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use standins::fleet::put_json;
use standins::process::Listening;

use support::{LIMIT_MS, Running, start};

/// Time without data after which a connection counts as silent.
const SILENCE_MS: u64 = 150;

/// Starts a server that echoes all data.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut writer = stream.try_clone().expect("clone");
                // The connection may be reset by a fault.
                let _ = std::io::copy(&mut &stream, &mut writer);
            });
        }
    });
    address
}

struct ProxyFixture {
    proxy: Running,
    route: SocketAddr,
}

impl ProxyFixture {
    fn new() -> Self {
        let proxy = start("proxy", &[]);
        let body = json!({"listen": "127.0.0.1:0", "target": echo()});
        let line: Listening = put_json(proxy.address, "/v1/routes/r", &body).expect("route");
        Self { route: line.listening, proxy }
    }

    fn set_fault(&self, fault: &Value) {
        let _: Value = put_json(self.proxy.address, "/v1/faults/r", fault).expect("fault");
    }

    fn connect(&self, source: IpAddr) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        socket.bind(&SocketAddr::new(source, 0).into()).expect("bind");
        socket.connect(&self.route.into()).expect("connect");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(Duration::from_millis(LIMIT_MS))).expect("timeout");
        stream
    }
}

fn local(last: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, last).into()
}

fn echoes(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    stream.write_all(b"x").is_ok() && stream.read_exact(&mut byte).is_ok()
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(SILENCE_MS))).expect("timeout");
    let sent = stream.write_all(b"x").is_ok();
    let error = stream.read(&mut [0]).expect_err("no data");
    stream.set_read_timeout(Some(Duration::from_millis(LIMIT_MS))).expect("timeout");
    sent && matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

#[test]
fn cut_closes_and_refuses() {
    let fixture = ProxyFixture::new();
    let mut open = fixture.connect(local(1));
    assert!(echoes(&mut open));
    fixture.set_fault(&json!({"mode": "cut"}));
    assert!(!echoes(&mut open));
    assert!(!echoes(&mut fixture.connect(local(1))));
    fixture.set_fault(&json!({"mode": "pass"}));
    assert!(echoes(&mut fixture.connect(local(1))));
}

#[test]
fn freeze_keeps_connections_silent_until_it_ends() {
    for mode in ["freeze", "freeze_to_target", "freeze_to_client"] {
        let fixture = ProxyFixture::new();
        let mut open = fixture.connect(local(1));
        assert!(echoes(&mut open));
        fixture.set_fault(&json!({"mode": mode}));
        assert!(is_silent(&mut open), "{mode}");
        fixture.set_fault(&json!({"mode": "pass"}));
        open.read_exact(&mut [0]).expect("held data");
    }
}

#[test]
fn half_open_silences_existing_connections_for_good() {
    let fixture = ProxyFixture::new();
    let mut open = fixture.connect(local(1));
    assert!(echoes(&mut open));
    fixture.set_fault(&json!({"mode": "half_open"}));
    assert!(is_silent(&mut open));
    assert!(echoes(&mut fixture.connect(local(1))));
    fixture.set_fault(&json!({"mode": "pass"}));
    assert!(is_silent(&mut open));
}

#[test]
fn delay_holds_data_back() {
    let fixture = ProxyFixture::new();
    let mut open = fixture.connect(local(1));
    fixture.set_fault(&json!({"mode": "delay", "delay_ms": 60}));
    let started_at = Instant::now();
    assert!(echoes(&mut open));
    assert!(started_at.elapsed().as_millis() >= 120);
}

#[test]
fn a_fault_can_be_limited_to_one_source() {
    let fixture = ProxyFixture::new();
    fixture.set_fault(&json!({"mode": "cut", "source": "127.0.0.5"}));
    assert!(!echoes(&mut fixture.connect(local(5))));
    assert!(echoes(&mut fixture.connect(local(6))));
    fixture.set_fault(&json!({"mode": "pass", "source": "127.0.0.5"}));
    assert!(echoes(&mut fixture.connect(local(5))));
}
