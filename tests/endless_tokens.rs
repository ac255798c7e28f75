//! Engines that send token events without end.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use bergamotspan::answer_log::AnswerEnd;
use bergamotspan::answer_writer::AnswerWriter;
use bergamotspan::clock::Clock;
use bergamotspan::effect::Dispatch;
use bergamotspan::event::Arrival;
use bergamotspan::parse_settings::parse_settings;
use bergamotspan::read_request::ReadRequest;
use bergamotspan::runners::RunnerCommand;
use bergamotspan::serve_request::RequestRunner;
use bergamotspan::serving_context::ServingContext;
use bergamotspan::telemetry::NoTelemetry;

const SETTINGS: &str = include_str!("../examples/entry-1-settings.ini");
const SEQUENCE: u64 = 1;
const EVENT_BYTES: usize = 4_000;
/// Bytes after which an engine gives up that nobody stops.
const BOUND_BYTES: usize = 64 * 1_048_576;
const ANSWER_LIMIT_BYTES: usize = 8_388_608;

/// What a caller has received.
#[derive(Clone, Default)]
struct Received(Arc<Mutex<(usize, Option<AnswerEnd>)>>);

impl AnswerWriter for Received {
    fn end(&mut self, end: &AnswerEnd) -> io::Result<()> {
        self.0.lock().unwrap().1 = Some(end.clone());
        Ok(())
    }

    fn events(&mut self, events: &[Arc<str>]) -> io::Result<()> {
        self.0.lock().unwrap().0 += events.len();
        Ok(())
    }

    fn keep_alive(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts an engine whose streams don't end until their connection closes.
fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = connection.read(&mut [0; 4_096]);
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                let event =
                    format!("event: token\ndata: {{\"text\":\"{}\"}}\n\n", "a".repeat(EVENT_BYTES));
                // The instance closes the connection when it gives the answer up.
                let _ = connection.write_all(head.as_bytes());
                (0..BOUND_BYTES / event.len())
                    .try_for_each(|_| connection.write_all(event.as_bytes()).ok())
            });
        }
    });
    address
}

/// Runs a request at an endless engine; returns the number of events that its caller got, and the
/// reason in its final answer.
fn run(max_output_tokens: u32) -> (usize, String) {
    let settings = Arc::new(parse_settings("settings", SETTINGS).unwrap());
    let (control, _inputs) = flume::unbounded();
    let context = ServingContext::new(Clock::start(), control, 1, settings, Arc::new(NoTelemetry));
    let context = Arc::new(context);
    let arrival = Arrival { max_output_tokens, sequence: SEQUENCE, ..Arrival::default() };
    let request = ReadRequest { arrival, ..ReadRequest::default() };
    let received = Received::default();
    let runner = RequestRunner::new(context.clone(), request, Box::new(received.clone()));
    let dispatch = Dispatch {
        address: start_engine(),
        backend_server: "plan-model-1".into(),
        deadline_ms: 60_000,
        expires_ms: 60_000,
        granted_ms: 0,
        model: true,
        path: "".into(),
        request: "entry-1-1-1".to_owned(),
        sequence: SEQUENCE,
    };
    context.runners.send_command(SEQUENCE, RunnerCommand::Dispatch(dispatch));
    thread::spawn(move || runner.serve()).join().unwrap();
    let (events, end) = received.0.lock().unwrap().clone();
    match end {
        Some(AnswerEnd::Final(answer)) => (events, answer.message),
        other => panic!("{other:?} after {events} events"),
    }
}

#[test]
fn more_tokens_than_were_asked_for_are_kept_without_end() {
    let (events, message) = run(64);
    assert_eq!(events, 64);
    assert!(message.contains("it sent more than 64 tokens"), "{message}");
}

#[test]
fn an_answer_of_any_length_is_kept_without_end() {
    let (events, message) = run(0);
    assert!(events * EVENT_BYTES <= ANSWER_LIMIT_BYTES, "{events} events");
    assert!(message.contains("it is longer than 8388608 bytes"), "{message}");
}
