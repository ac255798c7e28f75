//! Tests of the platform watch, against a small server in place of the platform.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bergamotspan::config_event::ConfigDocument;
use bergamotspan::platform_event::{ListedInstance, ListedState, PlatformEvent, PlatformSink};
use bergamotspan::platform_watch::PlatformWatch;
use bergamotspan::settings::PlatformSettings;
use tiny_http::{Request, Response, Server};

const WAIT_LIMIT: Duration = Duration::from_secs(10);
const WATCH_TIMEOUT_MS: u64 = 300;

struct ChannelSink(flume::Sender<PlatformEvent>);

impl PlatformSink for ChannelSink {
    fn deliver(&self, event: PlatformEvent) {
        let _ = self.0.send(event);
    }
}

/// Describes a server that always gives the same answers.
struct Given {
    config: (u16, &'static str),
    instances: (u16, &'static str),
}

impl Given {
    fn start(self) -> Started {
        let server = Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_ip().unwrap();
        let (urls, seen_urls) = flume::unbounded();
        let served = Arc::new(AtomicUsize::new(0));
        let count = served.clone();
        thread::spawn(move || {
            for request in server.incoming_requests() {
                count.fetch_add(1, Ordering::Relaxed);
                let _ = urls.send(request.url().to_owned());
                self.answer(request);
            }
        });
        let (sender, events) = flume::unbounded();
        let settings = PlatformSettings { address, watch_timeout_ms: WATCH_TIMEOUT_MS };
        let watch = PlatformWatch::start(&settings, Arc::new(ChannelSink(sender))).unwrap();
        Started { events, seen_urls, served, watch }
    }

    fn answer(&self, request: Request) {
        let is_list = request.url().starts_with("/v1/instances");
        let (status, body) = if is_list { self.instances } else { self.config };
        let _ = request.respond(Response::from_string(body).with_status_code(status));
    }
}

struct Started {
    events: flume::Receiver<PlatformEvent>,
    seen_urls: flume::Receiver<String>,
    served: Arc<AtomicUsize>,
    watch: PlatformWatch,
}

impl Started {
    fn wait_for_event(&self, wanted: &PlatformEvent) {
        let limit = Instant::now() + WAIT_LIMIT;
        while Instant::now() < limit {
            if self.events.recv_timeout(WAIT_LIMIT).expect("an event arrives") == *wanted {
                return;
            }
        }
        panic!("no {wanted:?}");
    }

    fn wait_for_url(&self, wanted: &str) {
        let limit = Instant::now() + WAIT_LIMIT;
        while Instant::now() < limit {
            if self.seen_urls.recv_timeout(WAIT_LIMIT).expect("a read arrives") == wanted {
                return;
            }
        }
        panic!("no {wanted}");
    }
}

fn given() -> Given {
    Given {
        config: (200, r#"{"version":7,"text":"[inventory]"}"#),
        instances: (
            200,
            r#"{"instances":[{"name":"entry-2","state":"leaving"},{"name":"entry-1","state":"live"}]}"#,
        ),
    }
}

#[test]
fn a_document_is_delivered() {
    let started = given().start();

    let document = ConfigDocument { text: "[inventory]".into(), version: 7 };
    started.wait_for_event(&PlatformEvent::Document(document));
    started.wait_for_url("/v1/config?after=0&wait_ms=300");
}

#[test]
fn the_list_is_delivered_sorted() {
    let started = given().start();

    started.wait_for_event(&PlatformEvent::Instances(vec![
        ListedInstance { name: "entry-1".into(), state: ListedState::Live },
        ListedInstance { name: "entry-2".into(), state: ListedState::Leaving },
    ]));
}

#[test]
fn the_next_watch_waits_for_a_newer_version() {
    let started = given().start();

    started.watch.set_version(7);

    started.wait_for_url("/v1/config?after=7&wait_ms=300");
}

#[test]
fn an_outage_is_reported_and_reads_back_off() {
    let started = Given { config: (503, ""), instances: (503, "") }.start();

    started.wait_for_event(&PlatformEvent::Unreachable);
    thread::sleep(Duration::from_millis(1_000));

    assert!(started.served.load(Ordering::Relaxed) <= 16, "{:?}", started.served);
}

#[test]
fn an_answer_that_is_no_json_is_a_failure() {
    let started = Given { config: (200, "{"), ..given() }.start();

    started.wait_for_event(&PlatformEvent::Unreachable);
}

#[test]
fn an_unchanged_document_is_read_at_a_bounded_rate() {
    let started = given().start();

    thread::sleep(Duration::from_millis(1_000));

    assert!(started.watch.reads() <= 16, "{}", started.watch.reads());
    assert!(started.watch.reads() >= 2);
}

#[test]
fn a_watch_that_ends_at_once_is_repeated_at_a_bounded_rate() {
    let started = Given { config: (304, ""), ..given() }.start();

    thread::sleep(Duration::from_millis(1_000));

    assert!(started.watch.reads() <= 25, "{}", started.watch.reads());
}

#[test]
fn nothing_is_delivered_after_the_watch_is_dropped() {
    let Started { events, watch, .. } = given().start();

    drop(watch);

    while events.recv_timeout(WAIT_LIMIT).is_ok() {}
    assert!(events.is_disconnected());
}

/// Starts a server that answers each request with this body, one piece after each pause.
fn serve_slowly(body: String, piece_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let body = body.clone();
            thread::spawn(move || answer_slowly(stream, &body, piece_bytes));
        }
    });
    address
}

fn answer_slowly(mut stream: TcpStream, body: &str, piece_bytes: usize) -> Option<()> {
    let head_lines = BufReader::new(stream.try_clone().ok()?).lines().map_while(Result::ok);
    head_lines.take_while(|line| !line.is_empty()).for_each(drop);
    let length = body.len();
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").ok()?;
    for piece in body.as_bytes().chunks(piece_bytes) {
        thread::sleep(Duration::from_millis(100));
        stream.write_all(piece).ok()?;
    }
    Some(())
}

/// Returns whether the watch delivers a document from a server that sends pieces of this size.
fn delivers(text: &str, piece_bytes: usize) -> bool {
    let body = format!(r#"{{"version":7,"text":"{text}","instances":[]}}"#);
    let address = serve_slowly(body, piece_bytes);
    let (sender, events) = flume::unbounded();
    let settings = PlatformSettings { address, watch_timeout_ms: WATCH_TIMEOUT_MS };
    let _watch = PlatformWatch::start(&settings, Arc::new(ChannelSink(sender))).unwrap();
    let document = ConfigDocument { text: text.into(), version: 7 };
    let mut events = events.iter();
    events.find_map(|event| match event {
        PlatformEvent::Document(delivered) => Some(delivered == document),
        PlatformEvent::Unreachable => Some(false),
        _ => None,
    }) == Some(true)
}

#[test]
fn a_document_that_outlasts_the_time_for_an_answer_is_delivered() {
    assert!(delivers(&"a".repeat(400_000), 16_000));
}

#[test]
fn a_document_that_trickles_is_given_up() {
    assert!(!delivers(&"a".repeat(2_000), 20));
}
