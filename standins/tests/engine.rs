//! Tests the stand-in for a model engine.

mod support;

use std::io::{BufRead, BufReader};
use std::time::Instant;

use serde_json::{Value, json};
use standins::engine::{EngineStatistics, prefix_hashes, token_text};
use standins::fleet::{get_json, post_json, put_json, wait_until};

use support::{LIMIT_MS, generate, generate_response, read_all, start};

fn statistics(address: std::net::SocketAddr) -> EngineStatistics {
    get_json(address, "/v1/statistics").expect("statistics")
}

#[test]
fn answers_with_the_tokens_of_the_prompt() {
    let engine = start("engine", &[]);
    let events =
        read_all(generate(engine.address, "r", &json!({"prompt": "abc", "output_tokens": 3})));
    assert_eq!(events.len(), 4);
    for (index, event) in events[..3].iter().enumerate() {
        let token: Value = serde_json::from_str(&event.data).expect("token");
        assert_eq!(token["index"], index);
        assert_eq!(token["text"], token_text("abc", index as u64));
    }
    let end: Value = serde_json::from_str(&events[3].data).expect("end");
    assert_eq!(end, json!({"output_tokens": 3, "prompt_tokens": 1, "cached_tokens": 0}));
}

#[test]
fn resumes_after_a_lost_connection_without_running_again() {
    let engine = start("engine", &[]);
    let body = json!({"prompt": "abc", "output_tokens": 300});
    let mut reader = generate(engine.address, "r", &body);
    assert_eq!(reader.next_event().expect("stream").expect("event").name, "token");
    drop(reader);
    let url = format!("http://{}/v1/streams/r?offset=1", engine.address);
    let resumed = attohttpc::get(url).send().expect("response");
    let events = read_all(standins::caller::EventReader::new(resumed.split().2));
    assert_eq!(events.len(), 300);
    assert!(events[0].data.contains("\"index\":1,"));
    assert_eq!(events[299].name, "end");
    assert_eq!(statistics(engine.address).executions["r"], 1);
}

#[test]
fn a_cancelled_stream_breaks_and_wastes_its_prefill() {
    let engine = start("engine", &[]);
    let body = json!({"prompt": "x".repeat(400), "output_tokens": 100_000});
    let mut reader = generate(engine.address, "r", &body);
    reader.next_event().expect("stream");
    let url = format!("http://{}/v1/streams/r", engine.address);
    assert!(attohttpc::delete(url).send().expect("response").is_success());
    assert!(read_all(reader).iter().all(|event| event.name == "token"));
    assert_eq!(statistics(engine.address).wasted_tokens, 100);
}

#[test]
fn a_stream_without_readers_is_cancelled() {
    let engine = start("engine", &["--orphan-ms", "50"]);
    let body = json!({"prompt": "abcd", "output_tokens": 100_000});
    let mut reader = generate(engine.address, "r", &body);
    reader.next_event().expect("stream");
    drop(reader);
    wait_until("cancelled", LIMIT_MS, || statistics(engine.address).wasted_tokens == 1)
        .expect("cancelled");
}

#[test]
fn a_shared_prefix_is_cached_until_evicted() {
    let options = ["--cache-blocks", "2", "--cache-event-lag-ms", "0"];
    let engine = start("engine", &options);
    let prefix = "p".repeat(2048);
    for (request, cached_tokens) in [("a", 0), ("b", 512)] {
        let body = json!({"prompt": format!("{prefix}{request}"), "output_tokens": 1});
        let events = read_all(generate(engine.address, request, &body));
        assert!(events[1].data.contains(&format!("\"cached_tokens\":{cached_tokens}")));
    }
    let body = json!({"prompt": "q".repeat(1024), "output_tokens": 1});
    read_all(generate(engine.address, "c", &body));
    let events: Vec<Value> = get_json(engine.address, "/v1/cache-events?after=2").expect("events");
    let evicted = prefix_hashes(&prefix)[1];
    assert_eq!(events[0], json!({"sequence": 3, "prefix_hash": evicted, "stored": false}));
    assert_eq!(events[1]["stored"], true);
}

#[test]
fn cache_events_are_lost() {
    let options = ["--cache-event-lag-ms", "0", "--cache-event-loss", "0.5"];
    let engine = start("engine", &options);
    let body = json!({"prompt": "p".repeat(64 * 1024), "output_tokens": 1});
    read_all(generate(engine.address, "a", &body));
    let events: Vec<Value> = get_json(engine.address, "/v1/cache-events?after=0").expect("events");
    assert!((1..64).contains(&events.len()), "{}", events.len());
}

#[test]
fn cached_blocks_are_copied_between_engines() {
    let (from, to) = (start("engine", &[]), start("engine", &[]));
    let prompt = "p".repeat(2048);
    let body = json!({"prompt": prompt, "output_tokens": 1});
    read_all(generate(from.address, "a", &body));
    let path = format!("/v1/kv/{}", prefix_hashes(&prompt)[1]);
    let exported: Value = get_json(from.address, &path).expect("export");
    let _: Value = put_json(to.address, &path, &exported).expect("import");
    let events = read_all(generate(to.address, "a", &body));
    assert!(events[1].data.contains("\"cached_tokens\":511"), "{}", events[1].data);
}

#[test]
fn crashes_on_a_configured_prompt_text() {
    let mut engine = start("engine", &["--crash-on", "poison"]);
    let body = json!({"prompt": "a poison b", "output_tokens": 1});
    // The connection may break before or after the head of the response.
    let url = format!("http://{}/v1/generate", engine.address);
    let _ = attohttpc::post(url).json(&body).expect("body").send();
    assert!(!engine.process.wait(LIMIT_MS).expect("end").success());
}

#[test]
fn fails_a_configured_prompt_text() {
    let engine = start("engine", &["--fail-on", "bad"]);
    let events = read_all(generate(engine.address, "r", &json!({"prompt": "bad"})));
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].name, "error");
    assert_eq!(statistics(engine.address).executions["r"], 1);
}

#[test]
fn a_silent_stream_sends_keep_alive_comments() {
    let engine = start("engine", &["--step-base-us", "1500000"]);
    let body = json!({"prompt": "abc", "output_tokens": 1});
    let response = generate_response(engine.address, "r", &body);
    let mut line = String::new();
    let started_at = Instant::now();
    BufReader::new(response).read_line(&mut line).expect("line");
    assert_eq!(line, ": alive\n");
    assert!(started_at.elapsed().as_millis() < 1_000);
}

#[test]
fn streams_share_a_batch() {
    let options = ["--step-base-us", "20000", "--decode-us-per-token", "0"];
    let engine = start("engine", &options);
    let body = json!({"prompt": "abc", "output_tokens": 20});
    let started_at = Instant::now();
    let readers: Vec<_> =
        (0..8).map(|number| generate(engine.address, &number.to_string(), &body)).collect();
    for reader in readers {
        assert_eq!(read_all(reader).len(), 21);
    }
    // Without a shared batch, the streams would take at least 8 * 20 * 20 ms.
    assert!(started_at.elapsed().as_millis() < 3_200);
}

#[test]
fn reports_load_and_slows_down() {
    let engine = start("engine", &["--load-lag-ms", "10"]);
    let _: Value =
        post_json(engine.address, "/v1/admin/speed", &json!({"speed": 0.1})).expect("speed");
    let body = json!({"prompt": "abc", "output_tokens": 50});
    let started_at = Instant::now();
    let reader = generate(engine.address, "r", &body);
    let load = || get_json::<Value>(engine.address, "/v1/load").expect("load");
    wait_until("running", LIMIT_MS, || load()["running_requests"] == 1).expect("running");
    assert_eq!(read_all(reader).len(), 51);
    // A step takes at least 2 ms / 0.1.
    assert!(started_at.elapsed().as_millis() >= 1_000);
    wait_until("idle", LIMIT_MS, || load()["running_requests"] == 0).expect("idle");
}

#[test]
fn refuses_an_old_fencing_number_only_where_checked() {
    let (checked, unchecked) = (start("engine", &["--fencing"]), start("engine", &[]));
    let order = |fencing| json!({"order": "load_model", "model": "m", "fencing": fencing});
    for engine in [&checked, &unchecked] {
        let _: Value = post_json(engine.address, "/v1/orders", &order(3)).expect("order");
    }
    assert!(post_json::<_, Value>(checked.address, "/v1/orders", &order(2)).is_err());
    assert!(post_json::<_, Value>(unchecked.address, "/v1/orders", &order(2)).is_ok());
}

#[test]
fn an_unknown_stream_is_not_found() {
    let engine = start("engine", &[]);
    let url = format!("http://{}/v1/streams/none?offset=0", engine.address);
    assert_eq!(attohttpc::get(url).send().expect("response").status().as_u16(), 404);
}
