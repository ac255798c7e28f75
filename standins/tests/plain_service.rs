//! Tests the stand-in for a plain service.

mod support;

use serde_json::{Value, json};
use standins::fleet::get_json;
use standins::plain_service::Executions;

use support::{LIMIT_MS, start};

#[test]
fn counts_executions_and_echoes_the_nonce() {
    let mut service = start("plain-service", &["--delay-ms", "1"]);
    for request in ["r1", "r2"] {
        let answer: Value = attohttpc::post(format!("http://{}/v1/call/book", service.address))
            .header("Idempotency-Key", "k")
            .header("Bergamotspan-Request", request)
            .json(&json!({"nonce": request}))
            .expect("body")
            .send()
            .and_then(attohttpc::Response::json)
            .expect("answer");
        assert_eq!(answer, json!({"nonce": request, "path": "book"}));
    }
    let executions: Executions = get_json(service.address, "/v1/executions").expect("executions");
    assert_eq!(executions.keys["k"], 2);
    assert_eq!(executions.requests["r1"], 1);
    assert!(service.process.terminate(LIMIT_MS).expect("end").success());
}
