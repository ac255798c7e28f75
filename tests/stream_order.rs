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

/// Part of the answer that an engine sends on one connection.
struct Part {
    /// Whether an end event follows the tokens.
    ends: bool,
    /// Index of the first token.
    from: u64,
    /// Index after the last token.
    to: u64,
}

/// Starts an engine that sends the parts one after the other, whatever offset it is asked for.
fn start_engine(parts: Vec<Part>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut parts = parts.into_iter();
        while let Ok((stream, _)) = listener.accept() {
            let path = read_path(&stream);
            let is_stream_call = path.contains("generate") || path.contains("streams");
            match is_stream_call.then(|| parts.next()).flatten() {
                Some(part) => send_part(stream, &part),
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

fn send_part(stream: TcpStream, part: &Part) {
    let mut text = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    for index in part.from..part.to {
        let token = standins::engine::token_text(PROMPT, index);
        text.push_str(&format!(
            "event: token\ndata: {{\"index\":{index},\"text\":\"{token}\"}}\n\n"
        ));
    }
    if part.ends {
        text.push_str(&format!("event: end\ndata: {{\"output_tokens\":{TOKENS}}}\n\n"));
    }
    send(stream, &text);
}

fn send(mut stream: TcpStream, text: &str) {
    // The instance may have closed this connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Starts one instance whose only engine sends the given parts.
fn arrange(parts: Vec<Part>) -> Fleet {
    let engine = ServiceSpec::model("plan-model", "plan-13b", 1)
        .token_limit_tokens(16_384)
        .prefill_tokens_per_s(20_000);
    let mut fleet = Fleet::builder().instances(1).service(engine).start().unwrap();
    fleet.inventory.backend_servers[0].address = start_engine(parts);
    fleet.publish().unwrap();
    let (address, version) = (fleet.caller_addresses()[0], fleet.inventory.version);
    wait_until("the document is in force", LIMIT_MS, || {
        get_json::<serde_json::Value>(address, "/status").unwrap()["config_version"] == version
    })
    .unwrap();
    fleet
}

fn part(from: u64, to: u64) -> Part {
    Part { ends: to == TOKENS, from, to }
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
    let early_end = Part { ends: true, from: 0, to: 6 };
    let fleet = arrange(vec![early_end, part(6, TOKENS)]);

    let answer = draft(&fleet, 0, PROMPT, TOKENS as u32).send().unwrap();

    assert!(answer.matches(PROMPT) || answer.outcome == Some(Outcome::Unknown), "{answer:?}");
    assert!(!answer.whole || answer.tokens.len() as u64 == TOKENS, "{answer:?}");
}
