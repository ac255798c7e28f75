//! HTTP endpoints of the engine stand-in.

use std::io;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use super::cache::Block;
use super::state::{Engine, Load};
use super::stream::{End, GenerateRequest, Phase};
use super::tokens;
use crate::Name;
use crate::http::{self, EventWriter, Reply};

/// Interval between keep-alive comments in a silent stream.
const KEEP_ALIVE_INTERVAL_MS: u64 = 400;

#[derive(Deserialize)]
struct Order {
    fencing: Option<u64>,
}

#[derive(Deserialize)]
struct Speed {
    speed: f64,
}

#[derive(Deserialize, Serialize)]
struct ExportedBlocks {
    blocks: Vec<Block>,
}

#[derive(Serialize)]
struct Token {
    index: u64,
    text: String,
}

/// What is sent next on a stream.
enum StreamOutput {
    KeepAlive,
    Closed,
    End(End),
    Error,
    Tokens { prompt_hash: u64, to: u64 },
}

/// Answers a request.
pub(super) fn answer(engine: &Engine, mut request: Request) {
    let url = request.url().to_owned();
    let (path, query) = http::split_url(&url);
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let reply = match (request.method(), parts.as_slice()) {
        (Method::Post, ["v1", "generate"]) => return generate(engine, request),
        (Method::Get, ["v1", "streams", name]) => {
            return resume_stream(engine, name, http::query_number(query, "offset"), request);
        }
        (Method::Delete, ["v1", "streams", name]) => cancel(engine, name),
        (Method::Get, ["v1", "load"]) => load(engine),
        (Method::Get, ["v1", "cache-events"]) => {
            let after = http::query_number(query, "after").unwrap_or(0);
            Reply::json(&engine.lock().cache.events_after(after, Instant::now()))
        }
        (Method::Get, ["v1", "kv", hash]) => export(engine, hash),
        (Method::Put, ["v1", "kv", _]) => import(engine, &mut request),
        (Method::Post, ["v1", "orders"]) => order(engine, &mut request),
        (Method::Get, ["v1", "statistics"]) => Reply::json(&engine.lock().statistics),
        (Method::Post, ["v1", "admin", "speed"]) => set_speed(engine, &mut request),
        _ => Reply::status(404),
    };
    reply.send(request);
}

fn generate(engine: &Engine, mut request: Request) {
    let body: GenerateRequest = match http::read_json(&mut request) {
        Ok(body) => body,
        Err(reply) => return reply.send(request),
    };
    let name = http::header(&request, "Bergamotspan-Request")
        .unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    let number = {
        let mut state = engine.lock();
        let number = state.queue_stream(Name::from(name), body, Instant::now());
        engine.changed.notify_all();
        number
    };
    serve_stream(engine, number, 0, request);
}

fn resume_stream(engine: &Engine, name: &str, offset: Option<u64>, request: Request) {
    let newest_stream = engine.lock().newest_stream(name);
    match newest_stream {
        Some(number) => serve_stream(engine, number, offset.unwrap_or(0), request),
        None => Reply::status(404).send(request),
    }
}

fn serve_stream(engine: &Engine, number: u64, offset: u64, request: Request) {
    if let Some(stream) = engine.lock().stream(number) {
        stream.readers += 1;
    }
    // A reader that has disconnected can resume.
    let _ = send_stream(engine, number, offset, request);
    if let Some(stream) = engine.lock().stream(number) {
        stream.readers -= 1;
        stream.unread_since = Instant::now();
    }
}

fn send_stream(engine: &Engine, number: u64, offset: u64, request: Request) -> io::Result<()> {
    let mut writer = EventWriter::start(request)?;
    let mut from = offset;
    loop {
        match next_output(engine, number, from) {
            StreamOutput::KeepAlive => writer.comment("alive")?,
            StreamOutput::Closed => return writer.finish(),
            StreamOutput::End(end) => {
                writer.event("end", &Reply::json(&end).body)?;
                return writer.finish();
            }
            StreamOutput::Error => {
                writer.event("error", r#"{"message":"the request failed"}"#)?;
                return writer.finish();
            }
            StreamOutput::Tokens { prompt_hash, to } => {
                for index in from..to {
                    let token = Token { index, text: tokens::token_text_at(prompt_hash, index) };
                    writer.event("token", &Reply::json(&token).body)?;
                }
                from = to;
            }
        }
    }
}

fn next_output(engine: &Engine, number: u64, from: u64) -> StreamOutput {
    let keep_alive_at = Instant::now() + Duration::from_millis(KEEP_ALIVE_INTERVAL_MS);
    let mut state = engine.lock();
    loop {
        let Some(stream) = state.stream(number) else { return StreamOutput::Closed };
        if stream.produced_tokens > from {
            let to = stream.produced_tokens;
            return StreamOutput::Tokens { prompt_hash: stream.prompt_hash, to };
        }
        match stream.phase {
            Phase::Cancelled => return StreamOutput::Closed,
            Phase::Ended => return StreamOutput::End(stream.end()),
            Phase::Failed => return StreamOutput::Error,
            Phase::Queued | Phase::Running => {}
        }
        let remaining = keep_alive_at.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return StreamOutput::KeepAlive;
        }
        state = engine.changed.wait_timeout(state, remaining).expect("no thread panics").0;
    }
}

fn cancel(engine: &Engine, name: &str) -> Reply {
    let mut state = engine.lock();
    let Some(number) = state.newest_stream(name) else { return Reply::status(404) };
    state.cancel(number);
    engine.changed.notify_all();
    Reply::status(200)
}

fn load(engine: &Engine) -> Reply {
    let state = engine.lock();
    let age_ms = state.load_at.elapsed().as_millis() as u64;
    Reply::json(&Load { age_ms, ..state.load })
}

fn export(engine: &Engine, hash: &str) -> Reply {
    let blocks = hash.parse().ok().and_then(|hash| engine.lock().cache.export(hash));
    blocks.map_or(Reply::status(404), |blocks| Reply::json(&ExportedBlocks { blocks }))
}

fn import(engine: &Engine, request: &mut Request) -> Reply {
    let exported: ExportedBlocks = match http::read_json(request) {
        Ok(exported) => exported,
        Err(reply) => return reply,
    };
    let hashes: Vec<u64> = exported.blocks.iter().map(|block| block.prefix_hash).collect();
    engine.lock().cache.store(&hashes, Instant::now());
    Reply::status(200)
}

fn order(engine: &Engine, request: &mut Request) -> Reply {
    let order: Order = match http::read_json(request) {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let mut state = engine.lock();
    let fencing = order.fencing.unwrap_or(0);
    if engine.options.fencing && fencing < state.fencing {
        return Reply::status(409);
    }
    state.fencing = state.fencing.max(fencing);
    state.statistics.orders += 1;
    Reply::status(200)
}

fn set_speed(engine: &Engine, request: &mut Request) -> Reply {
    match http::read_json::<Speed>(request) {
        Ok(body) if body.speed > 0.0 => {
            engine.lock().speed = body.speed;
            Reply::status(200)
        }
        Ok(_) => Reply::status(400),
        Err(reply) => reply,
    }
}
