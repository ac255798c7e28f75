//! Stand-in for a plain service, which counts the executions of each call.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tiny_http::{Method, Request};

use crate::http::{self, Reply};
use crate::process;

/// Runs a stand-in for a plain service.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "plain-service")]
pub struct PlainServiceCommand {
    /// address to listen on
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    pub listen: SocketAddr,
    /// time that a call takes in milliseconds
    #[argh(option, default = "0")]
    pub delay_ms: u64,
}

/// Number of executions by key and by request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Executions {
    /// Executions by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Executions by request id.
    pub requests: BTreeMap<String, u64>,
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
    /// Returns an error if the address can't be bound.
    pub fn run(self) -> io::Result<()> {
        let listener = http::listen(self.listen)?;
        let address = listener.local_addr()?;
        let executions = Arc::new(Mutex::new(Executions::default()));
        let delay = Duration::from_millis(self.delay_ms);
        http::serve(listener, move |request| answer(&executions, delay, request))?;
        process::announce_and_wait(address)
    }
}

fn answer(executions: &Mutex<Executions>, delay: Duration, mut request: Request) {
    let url = request.url().to_owned();
    let (path, _) = http::split_url(&url);
    let reply = match (request.method(), path.strip_prefix("/v1/call")) {
        (Method::Post, Some(call)) => execute(executions, delay, call, &mut request),
        (Method::Get, None) if path == "/v1/executions" => {
            Reply::json(&*executions.lock().expect("no thread panics"))
        }
        _ => Reply::status(404),
    };
    reply.send(request);
}

fn execute(
    executions: &Mutex<Executions>,
    delay: Duration,
    call: &str,
    request: &mut Request,
) -> Reply {
    let body: Value = http::read_json(request).unwrap_or(Value::Null);
    count(executions, request);
    thread::sleep(delay);
    let nonce = body.get("nonce").cloned().unwrap_or(Value::Null);
    Reply::json(&Answer { nonce, path: call.trim_start_matches('/') })
}

fn count(executions: &Mutex<Executions>, request: &Request) {
    let mut executions = executions.lock().expect("no thread panics");
    if let Some(key) = http::header(request, "Idempotency-Key") {
        *executions.keys.entry(key).or_default() += 1;
    }
    if let Some(name) = http::header(request, "Bergamotspan-Request") {
        *executions.requests.entry(name).or_default() += 1;
    }
}
