//! Stand-in for a plain service, which counts executions by idempotency key and by request.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tiny_http::{Method, Request};

use crate::http::{self, Reply};
use crate::journal::{Execution, Journal};
use crate::process;

/// Runs a stand-in for a plain service.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "plain-service")]
pub struct PlainServiceCommand {
    /// address to listen on
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    pub listen: SocketAddr,
    /// duration of a call in milliseconds
    #[argh(option, default = "0")]
    pub delay_ms: u64,
    /// file that keeps the executions across restarts
    #[argh(option)]
    pub journal: Option<PathBuf>,
}

/// Number of executions by key and by request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Executions {
    /// Executions by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Executions by request id.
    pub requests: BTreeMap<String, u64>,
}

impl Executions {
    fn add(&mut self, execution: &Execution) {
        if let Some(key) = &execution.key {
            *self.keys.entry(key.clone()).or_default() += 1;
        }
        if let Some(request) = &execution.request {
            *self.requests.entry(request.clone()).or_default() += 1;
        }
    }
}

/// Executions and the journal that records them.
struct ExecutionRecorder {
    executions: Executions,
    journal: Journal,
}

#[derive(Serialize)]
struct Answer<'a> {
    nonce: Value,
    path: &'a str,
}

impl PlainServiceCommand {
    /// Runs the service until SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the journal can't be opened.
    pub fn run(self) -> io::Result<()> {
        let listener = http::listen(self.listen)?;
        let address = listener.local_addr()?;
        let (journal, recorded) = Journal::open(self.journal.as_deref())?;
        let mut executions = Executions::default();
        recorded.iter().for_each(|execution| executions.add(execution));
        let recorder = Arc::new(Mutex::new(ExecutionRecorder { executions, journal }));
        let delay = Duration::from_millis(self.delay_ms);
        http::serve(listener, move |request| answer(&recorder, delay, request))?;
        process::announce_and_wait(address)
    }
}

fn answer(recorder: &Mutex<ExecutionRecorder>, delay: Duration, mut request: Request) {
    let url = request.url().to_owned();
    let (path, _) = http::split_url(&url);
    let reply = match (request.method(), path.strip_prefix("/v1/call")) {
        (Method::Post, Some(call_path)) => execute(recorder, delay, call_path, &mut request),
        (Method::Get, None) if path == "/v1/executions" => {
            Reply::json(&recorder.lock().expect("no thread panics").executions)
        }
        _ => Reply::status(404),
    };
    reply.send(request);
}

fn execute(
    recorder: &Mutex<ExecutionRecorder>,
    delay: Duration,
    call_path: &str,
    request: &mut Request,
) -> Reply {
    let body: Value = http::read_json(request).unwrap_or(Value::Null);
    record_execution(recorder, request);
    thread::sleep(delay);
    let nonce = body.get("nonce").cloned().unwrap_or(Value::Null);
    Reply::json(&Answer { nonce, path: call_path.trim_start_matches('/') })
}

fn record_execution(recorder: &Mutex<ExecutionRecorder>, request: &Request) {
    let execution = Execution {
        key: http::header(request, "Idempotency-Key"),
        request: http::header(request, "Bergamotspan-Request"),
    };
    let mut recorder = recorder.lock().expect("no thread panics");
    recorder.journal.record(&execution);
    recorder.executions.add(&execution);
}
