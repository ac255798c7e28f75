//! Tests that an instance's answer which is not whole isn't taken for a whole one.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use bergamotspan::answer_log::{AnswerEnd, AnswerTotals};
use bergamotspan::answer_writer::AnswerWriter;
use bergamotspan::error::Error;
use bergamotspan::join_answer::{JoinTarget, cancel_at_peer, join_peer};
use bergamotspan::operator_client::OperatorClient;
use bergamotspan::settings::{DispatchSettings, Policy};

/// Answers one request without a body.
fn serve(status: u16, length_bytes: usize, body: &'static str) -> SocketAddr {
    let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {length_bytes}\r\n\r\n");
    serve_each(vec![head + body])
}

/// Answers requests without a body, each with the next of these texts on its connection.
fn serve_each(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for answer in answers {
            let (mut connection, _) = listener.accept().unwrap();
            read_request(&mut connection);
            connection.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

fn read_request(connection: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        connection.read_exact(&mut byte).unwrap();
        request.extend_from_slice(&byte);
    }
}

fn settings(resume_limit: u32) -> DispatchSettings {
    DispatchSettings {
        connect_timeout_ms: 1_000,
        idle_limit_ms: 1_000,
        load_interval_ms: 1_000,
        policy: Policy::Coordinator,
        resume_limit,
    }
}

fn target(address: SocketAddr) -> JoinTarget<'static> {
    JoinTarget { address, holder: "entry-1-1-1", key: "key" }
}

fn cancel(address: SocketAddr) -> attohttpc::Result<(u16, serde_json::Value)> {
    cancel_at_peer(&target(address), &settings(0))
}

/// Keeps the answer to a join.
#[derive(Default)]
struct Joined {
    end: Option<AnswerEnd>,
    events: Vec<Arc<str>>,
}

impl AnswerWriter for Joined {
    fn end(&mut self, end: &AnswerEnd) -> io::Result<()> {
        self.end = Some(end.clone());
        Ok(())
    }

    fn events(&mut self, events: &[Arc<str>]) -> io::Result<()> {
        self.events.extend_from_slice(events);
        Ok(())
    }

    fn keep_alive(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a stream of tokens and an end event with this data.
fn joined_stream(tokens: &[&str], end: &str) -> String {
    let tokens: String =
        tokens.iter().map(|token| format!("event: token\ndata: {token}\n\n")).collect();
    format!("HTTP/1.1 200 OK\r\n\r\n{tokens}event: end\ndata: {end}\n\n")
}

#[test]
fn a_joined_answer_ends_as_done_only_with_all_its_events() {
    for end in [
        r#"{"outcome":"done","eve"#,
        r#"{}"#,
        r#"{"outcome":"done","events":3,"digest":"d"}"#,
        r#"{"events":2,"digest":"d"}"#,
    ] {
        let whole = joined_stream(&["c"], r#"{"outcome":"done","events":3,"digest":"d"}"#);
        let address = serve_each(vec![joined_stream(&["a", "b"], end), whole]);
        let mut joined = Joined::default();

        join_peer(&target(address), 0, &settings(3), &mut joined);

        let totals = AnswerTotals { digest: "d".to_owned(), events: 3 };
        assert_eq!(joined.end, Some(AnswerEnd::Done(totals)), "{end}");
        assert_eq!(joined.events, ["a", "b", "c"].map(Arc::from), "{end}");
    }
}

#[test]
fn a_join_beyond_the_end_of_an_answer_ends_as_done() {
    let end = r#"{"outcome":"done","events":3,"digest":"d"}"#;
    let address = serve_each(vec![joined_stream(&[], end)]);
    let mut joined = Joined::default();

    join_peer(&target(address), 9, &settings(1), &mut joined);

    assert!(matches!(joined.end, Some(AnswerEnd::Done(_))), "{:?}", joined.end);
    assert!(joined.events.is_empty());
}

#[test]
fn a_cut_refusal_is_not_shown_to_operators_as_the_instances_words() {
    let words = "no drain while a replacement runs";

    let whole = OperatorClient::new(serve(409, words.len(), words)).drain();
    let cut = OperatorClient::new(serve(409, words.len() + 9, words)).drain();

    assert!(matches!(whole, Err(Error::Refused { status: 409, .. })), "{whole:?}");
    assert!(matches!(cut, Err(Error::Unreachable { .. })), "{cut:?}");
}

#[test]
fn a_cut_answer_to_a_cancel_is_not_passed_on_as_an_empty_one() {
    let body = r#"{"cancelling":true}"#;

    let whole = cancel(serve(202, body.len(), body)).unwrap();
    let cut = cancel(serve(202, body.len(), &body[..9]));

    assert_eq!(whole, (202, serde_json::json!({ "cancelling": true })));
    assert!(cut.is_err(), "{cut:?}");
}
