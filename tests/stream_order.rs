//! Duplicates, gaps and early ends in an engine's stream never reach the caller.

mod answer_support;
mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use answer_support::LIMIT_MS;
use standins::caller::Outcome;
use standins::fleet::{Fleet, ServiceSpec, get_json, wait_until};
use support::draft;

const PROMPT: &str = "draft a fitting plan for the hall";
const TOKENS: u64 = 10;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Starts an engine that answers calls for a stream with these bytes one after the other, whatever
/// offset it is asked for.
fn start_engine(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut answers = answers.into_iter();
        while let Ok((stream, _)) = listener.accept() {
            let path = read_path(&stream);
            let is_stream_call = path.contains("generate") || path.contains("streams");
            match is_stream_call.then(|| answers.next()).flatten() {
                Some(answer) => send(stream, &answer),
                None => send(stream, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
            }
        }
    });
    address
}

fn read_path(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    let path = lines.next().unwrap_or_default();
    lines.find(|line| line.is_empty());
    path
}

/// Returns the tokens of an answer in a range of their indices.
fn tokens(from: u64, to: u64) -> String {
    let token = |index| {
        let text = standins::engine::token_text(PROMPT, index);
        format!("event: token\ndata: {{\"index\":{index},\"text\":\"{text}\"}}\n\n")
    };
    (from..to).map(token).collect()
}

fn end_event() -> String {
    format!("event: end\ndata: {{\"output_tokens\":{TOKENS}}}\n\n")
}

fn send(mut stream: TcpStream, text: &str) {
    // The instance may have closed this connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Starts one instance whose only engine sends these answers.
fn arrange(answers: Vec<String>) -> Fleet {
    let engine = ServiceSpec::model("plan-model", "plan-13b", 1)
        .token_limit_tokens(16_384)
        .prefill_tokens_per_s(20_000);
    let mut fleet = Fleet::builder().instances(1).service(engine).start().unwrap();
    fleet.inventory.backend_servers[0].address = start_engine(answers);
    fleet.publish().unwrap();
    let (address, version) = (fleet.caller_addresses()[0], fleet.inventory.version);
    wait_until("the document is in force", LIMIT_MS, || {
        get_json::<serde_json::Value>(address, "/status").unwrap()["config_version"] == version
    })
    .unwrap();
    fleet
}

/// Returns an answer with tokens, and with the end event if the last one is among them.
fn part(from: u64, to: u64) -> String {
    let end = if to == TOKENS { end_event() } else { String::new() };
    format!("{HEAD}{}{end}", tokens(from, to))
}

#[test]
fn duplicate_tokens_reach_the_caller_once() {
    let fleet = arrange(vec![part(0, 6), part(0, TOKENS)]);

    let answer = draft(&fleet, 0, PROMPT, TOKENS as u32).send().unwrap();

    assert!(answer.matches(PROMPT), "{answer:?}");
    assert_eq!(answer.tokens.len() as u64, TOKENS);
}

#[test]
fn a_stream_with_a_gap_is_resumed_where_the_gap_begins() {
    let fleet = arrange(vec![part(0, 6), part(8, TOKENS), part(6, TOKENS)]);

    let answer = draft(&fleet, 0, PROMPT, TOKENS as u32).send().unwrap();

    assert!(answer.matches(PROMPT), "{answer:?}");
    assert_eq!(answer.tokens.len() as u64, TOKENS);
}

#[test]
fn a_stream_that_ends_before_its_last_token_is_not_reported_as_whole() {
    let early_end = part(0, 6) + &end_event();
    let fleet = arrange(vec![early_end, part(6, TOKENS)]);

    let answer = draft(&fleet, 0, PROMPT, TOKENS as u32).send().unwrap();

    assert!(answer.matches(PROMPT) || answer.outcome == Some(Outcome::Unknown), "{answer:?}");
    assert!(!answer.whole || answer.tokens.len() as u64 == TOKENS, "{answer:?}");
}

/// Checks that the caller has the tokens of a request whose first answer goes on with these bytes after
/// six tokens.
fn assert_whole_after(bytes: &str) {
    let fleet = arrange(vec![part(0, 6) + bytes, part(6, TOKENS)]);

    let answer = draft(&fleet, 0, PROMPT, TOKENS as u32).send().unwrap();

    assert!(answer.matches(PROMPT) && answer.whole, "{bytes:?}: {answer:?}");
    assert_eq!(answer.tokens.len() as u64, TOKENS, "{bytes:?}");
}

#[test]
fn another_answer_inside_a_token_is_not_part_of_the_stream() {
    for half in ["event: token\ndata: {\"index\":6,\"te", "event: token\ndata: "] {
        assert_whole_after(&format!("{half}{}", part(0, TOKENS)));
    }
}

#[test]
fn another_answer_inside_an_end_event_does_not_end_the_stream() {
    assert_whole_after(&format!("event: end\ndata: {{\"output_tok{}", part(0, TOKENS)));
}

#[test]
fn another_answer_after_a_token_is_not_part_of_the_stream() {
    let other = part(0, TOKENS).replace("\"text\":\"", "\"text\":\"other ");
    for half in ["", "event: token\n", "event: token\ndata: {\"index\":6,\"text\":\"other\"}\n"] {
        assert_whole_after(&format!("{half}{other}"));
    }
}
