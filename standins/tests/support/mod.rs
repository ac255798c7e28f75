//! Starts stand-ins for tests and reads the streams of engines.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::net::SocketAddr;

use attohttpc::{Response, ResponseReader};
use serde_json::Value;
use standins::caller::{Event, EventReader};
use standins::fleet::{Process, standin};
use standins::process::Listening;
use tempfile::TempDir;

/// Limit of the wait for a condition.
pub const LIMIT_MS: u64 = 10_000;

/// A running stand-in.
pub struct Running {
    pub address: SocketAddr,
    pub process: Process,
    _folder: TempDir,
}

pub fn start(verb: &str, options: &[&str]) -> Running {
    let folder = TempDir::new().expect("folder");
    let mut command = standin(verb).expect("program");
    command.args(options);
    let (process, line): (_, Listening) =
        Process::start(verb, &mut command, folder.path()).expect("start");
    Running { address: line.listening, process, _folder: folder }
}

/// Starts a stream at an engine.
pub fn generate(address: SocketAddr, request: &str, body: &Value) -> EventReader<ResponseReader> {
    EventReader::new(generate_response(address, request, body).split().2)
}

pub fn generate_response(address: SocketAddr, request: &str, body: &Value) -> Response {
    attohttpc::post(format!("http://{address}/v1/generate"))
        .header("Bergamotspan-Request", request)
        .json(body)
        .expect("body")
        .send()
        .expect("response")
}

/// Reads a stream to its end.
pub fn read_all(mut reader: EventReader<ResponseReader>) -> Vec<Event> {
    let mut events = Vec::new();
    while let Ok(Some(event)) = reader.next_event() {
        events.push(event);
    }
    events
}
