//! Fleets of seven real instances with the default settings, and helpers that read their status.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::caller::{Answer, Call};
use standins::fleet::{Fleet, FleetBuilder, ServiceSpec, get_json, wait_until};

/// Longest time until a published document is in force everywhere, in milliseconds.
pub const IN_FORCE_LIMIT_MS: u64 = 8_000;

/// Customer of every call.
pub const CUSTOMER: &str = "customer-1";

/// Names of all instances.
pub const NAMES: [&str; 7] =
    ["entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7"];

/// Describes a fleet of seven instances, two engines and a plain server.
pub fn seven_fleet() -> FleetBuilder {
    Fleet::builder()
        .instances(NAMES.len())
        .service(sized(ServiceSpec::model("plan-model", "plan-13b", 2)))
        .service(sized(ServiceSpec::plain("order-desk", 1)))
}

/// Returns the status page of an instance; null if it does not answer.
pub fn status(address: SocketAddr) -> Value {
    get_json(address, "/status").unwrap_or(Value::Null)
}

/// Returns the caller address of an instance.
pub fn address_of(fleet: &Fleet, name: &str) -> SocketAddr {
    let found = fleet.instances.iter().find(|instance| instance.name == name);
    found.expect("the instance runs").caller_address
}

/// Returns the version in force at an instance; 0 if it has none or does not answer.
pub fn version_at(fleet: &Fleet, name: &str) -> u64 {
    status(address_of(fleet, name))["config_version"].as_u64().unwrap_or(0)
}

/// Waits until a version is in force at the named instances, and returns the time it took.
pub fn wait_in_force(fleet: &Fleet, names: &[&str], version: u64) -> u64 {
    let start = Instant::now();
    for name in names {
        let left = IN_FORCE_LIMIT_MS.saturating_sub(elapsed_ms(start));
        wait_until(&format!("version {version} at {name}"), left, || {
            version_at(fleet, name) >= version
        })
        .unwrap();
        assert_eq!(version_at(fleet, name), version, "{name}");
    }
    let took_ms = elapsed_ms(start);
    println!("version {version} is in force at {} instances after {took_ms} ms", names.len());
    assert!(took_ms <= IN_FORCE_LIMIT_MS, "{took_ms} ms");
    took_ms
}

/// Asserts that a version stays in force at the named instances for a time.
pub fn assert_stays(fleet: &Fleet, names: &[&str], version: u64, time_ms: u64) {
    let start = Instant::now();
    while elapsed_ms(start) < time_ms {
        for name in names {
            assert_eq!(version_at(fleet, name), version, "{name}");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Waits until an instance is ready, and returns its version in force at that time.
pub fn wait_ready(fleet: &Fleet, name: &str, limit_ms: u64) -> u64 {
    let address = address_of(fleet, name);
    let mut page = Value::Null;
    wait_until(&format!("readiness of {name}"), limit_ms, || {
        page = status(address);
        page["ready"] == json!(true)
    })
    .unwrap();
    page["config_version"].as_u64().unwrap_or(0)
}

/// Sends a request for a draft of the given length through an instance.
pub fn draft(address: SocketAddr, prompt: &str, output_tokens: u32) -> Answer {
    draft_call(address, prompt, output_tokens).send().unwrap()
}

/// Describes a request for a draft of the given length.
pub fn draft_call(address: SocketAddr, prompt: &str, output_tokens: u32) -> Call {
    let body = json!({
        "prompt": prompt, "max_output_tokens": output_tokens, "output_tokens": output_tokens,
    });
    Call::new(address, "plan-model", body).customer(CUSTOMER)
}

/// Returns the time since `since`, in milliseconds.
pub fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn sized(service: ServiceSpec) -> ServiceSpec {
    service.token_limit_tokens(16_384).prefill_tokens_per_s(20_000)
}
