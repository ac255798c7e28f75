//! Tests the fleet harness with the stand-ins only.

mod support;

use serde_json::json;
use standins::fleet::{Fleet, Process, ServiceSpec, get_json, standin};
use standins::platform::{Document, InstanceList, PlatformFaults};
use standins::process::Listening;
use standins::proxy::FaultMode;

use support::{LIMIT_MS, generate, read_all};

fn fleet() -> Fleet {
    Fleet::builder()
        .instances(0)
        .service(ServiceSpec::model("plan", "m", 2).server_options(2, &["--speed", "0.5"]))
        .service(ServiceSpec::plain("desk", 1).idempotent(false))
        .proxy_backend_servers()
        .proxy_platform()
        .start()
        .expect("fleet")
}

#[test]
fn publishes_inventory_and_list() {
    let mut fleet = fleet();
    let document: Document = get_json(fleet.platform_address, "/v1/config").expect("document");
    assert_eq!(document.version, 1);
    assert!(document.text.contains("[backend_server plan-2]\nservice = plan\n"));
    assert!(document.text.contains("[service desk]\nkind = plain\nidempotent = false\n"));
    fleet.inventory.backend_servers[0].leaving = true;
    fleet.publish().expect("publish");
    let document: Document = get_json(fleet.platform_address, "/v1/config").expect("document");
    assert_eq!(document.version, 2);
    fleet.set_listed_state("plan-2", "leaving").expect("list");
    let list: InstanceList = get_json(fleet.platform_address, "/v1/instances").expect("list");
    assert_eq!(list.instances[1].state, "leaving");
    fleet
        .set_platform_faults(&PlatformFaults { outage: true, ..PlatformFaults::default() })
        .expect("faults");
    assert!(get_json::<Document>(fleet.platform_address, "/v1/config").is_err());
}

#[test]
fn a_restarted_engine_keeps_address_and_executions() {
    let mut fleet = fleet();
    let body = json!({"prompt": "abc", "output_tokens": 2});
    let address = fleet.inventory.backend_servers[0].address;
    assert_eq!(read_all(generate(address, "r", &body)).len(), 3);
    assert_eq!(fleet.engine_statistics("plan-1").expect("statistics").executions["r"], 1);
    fleet.restart_backend("plan-1").expect("restart");
    assert_eq!(fleet.engine_totals().expect("statistics").prefilled_tokens, 0);
    assert_eq!(read_all(generate(address, "r", &body)).len(), 3);
    assert_eq!(fleet.engine_totals().expect("statistics").executions["r"], 2);
}

#[test]
fn a_backend_fault_affects_only_calls_through_the_proxy() {
    let mut fleet = fleet();
    let address = fleet.inventory.backend_servers[2].address;
    fleet.fault_backend("desk-1", FaultMode::Cut).expect("fault");
    assert!(get_json::<serde_json::Value>(address, "/v1/executions").is_err());
    assert!(fleet.plain_executions("desk-1").is_ok());
}

#[test]
fn processes_pause_and_resume() {
    let mut fleet = fleet();
    let process = &mut fleet.backend("plan-1").expect("engine").process;
    process.stop().expect("stop");
    assert!(process.is_running());
    process.cont().expect("cont");
    assert!(process.terminate(LIMIT_MS).expect("end").success());
    assert!(process.stop().is_err());
}

#[test]
fn a_failed_start_reports_standard_error() {
    let folder = tempfile::TempDir::new().expect("folder");
    let mut command = standin("engine").expect("program");
    command.arg("--no-such-option");
    let error = Process::start::<Listening>("engine", &mut command, folder.path());
    let error = error.expect_err("no address").to_string();
    assert!(error.contains("--no-such-option"), "{error}");
}

#[test]
fn a_restarted_plain_server_keeps_its_executions() {
    let mut fleet = fleet();
    let url = format!("http://{}/v1/call/book", fleet.backend("desk-1").expect("server").address);
    let call = attohttpc::post(url).header("Idempotency-Key", "k").send().expect("response");
    assert!(call.is_success());
    fleet.restart_backend("desk-1").expect("restart");
    assert_eq!(fleet.executions_of_key("k").expect("executions"), 1);
    assert_eq!(fleet.executions_of_key("other").expect("executions"), 0);
}
