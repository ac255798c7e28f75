//! Small fleets of real processes for the integration tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use serde_json::{Value, json};
use standins::caller::{Answer, Call};
use standins::fleet::{Fleet, FleetBuilder, ServiceSpec, wait_until};
use uuid::Uuid;

/// Longest wait until all instances may grant keys, in milliseconds.
const SETTLE_LIMIT_MS: u64 = 15_000;

/// Customer of every call.
pub const CUSTOMER: &str = "customer-1";

/// Describes a fleet with short windows, one model service and one plain service whose calls may
/// not be repeated.
pub fn quick_fleet(instances: usize) -> FleetBuilder {
    Fleet::builder()
        .instances(instances)
        .service(sized(ServiceSpec::model("plan-model", "plan-13b", 2)))
        .service(sized(ServiceSpec::plain("order-desk", 1).idempotent(false)))
        .setting("peer", "heartbeat_interval_ms", 100)
        .setting("peer", "confirmation_window_ms", 600)
        .setting("keys", "clock_margin_ms", 50)
}

/// Waits until every instance may grant keys.
pub fn wait_eligible(fleet: &Fleet) {
    let addresses = fleet.caller_addresses();
    wait_until("every instance may grant keys", SETTLE_LIMIT_MS, || {
        addresses.iter().all(|address| {
            standins::fleet::get_json::<Value>(*address, "/status")
                .is_ok_and(|status| status["standing"]["lawful"] == json!(true))
        })
    })
    .unwrap();
}

/// Time after which every eligible home accepts a new key: more than twice the clock margin.
const MINTING_WAIT_MS: u64 = 200;

/// Mints a key that every eligible home accepts.
pub fn fresh_key() -> String {
    std::thread::sleep(std::time::Duration::from_millis(MINTING_WAIT_MS));
    Uuid::now_v7().to_string()
}

/// Describes a booking, which may not be repeated.
pub fn booking(fleet: &Fleet, instance: usize, key: &str) -> Call {
    let address = fleet.caller_addresses()[instance];
    let body = json!({ "nonce": key });
    Call::new(address, "order-desk", body).path("bookings").customer(CUSTOMER).key(key)
}

/// Describes a request for a draft of the given length.
pub fn draft(fleet: &Fleet, instance: usize, prompt: &str, output_tokens: u32) -> Call {
    let address = fleet.caller_addresses()[instance];
    let body = json!({
        "prompt": prompt, "max_output_tokens": output_tokens, "output_tokens": output_tokens,
    });
    Call::new(address, "plan-model", body).customer(CUSTOMER)
}

/// Returns the reason of an answer that has one.
pub fn reason(answer: &Answer) -> &str {
    answer.reason.as_deref().unwrap_or_default()
}

fn sized(service: ServiceSpec) -> ServiceSpec {
    service.token_limit_tokens(16_384).prefill_tokens_per_s(20_000)
}
