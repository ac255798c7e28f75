//! Tests the stand-in for the platform.

mod support;

use std::net::SocketAddr;
use std::thread;

use serde_json::{Value, json};
use standins::fleet::{get_json, put_json};
use standins::platform::{Counters, Document, InstanceList};

use support::start;

fn publish(address: SocketAddr, version: u64) {
    let text = format!("[inventory]\nversion = {version}\n[tier a]\n");
    let url = format!("http://{address}/v1/admin/config");
    assert!(attohttpc::put(url).text(text).send().expect("response").is_success());
}

fn status(address: SocketAddr, path: &str) -> u16 {
    attohttpc::get(format!("http://{address}{path}")).send().expect("response").status().as_u16()
}

fn set_faults(address: SocketAddr, faults: &Value) {
    let _: Value = put_json(address, "/v1/admin/faults", faults).expect("faults");
}

#[test]
fn reads_and_watches_are_counted() {
    let platform = start("platform", &[]);
    let address = platform.address;
    assert_eq!(status(address, "/v1/config"), 404);
    publish(address, 7);
    let document: Document = get_json(address, "/v1/config").expect("document");
    assert_eq!(document.version, 7);
    assert_eq!(status(address, "/v1/config?after=7&wait_ms=20"), 304);
    let counters: Counters = get_json(address, "/v1/counters").expect("counters");
    assert_eq!((counters.reads, counters.watches), (2, 1));
}

#[test]
fn a_watch_answers_once_a_newer_version_is_there() {
    let platform = start("platform", &[]);
    let address = platform.address;
    publish(address, 1);
    let watch = thread::spawn(move || {
        get_json::<Document>(address, "/v1/config?after=1&wait_ms=4000").expect("document").version
    });
    publish(address, 2);
    assert_eq!(watch.join().expect("watch"), 2);
}

#[test]
fn faults_hide_versions() {
    let platform = start("platform", &[]);
    let address = platform.address;
    publish(address, 1);
    publish(address, 2);
    set_faults(address, &json!({"stale_version": 1}));
    assert_eq!(get_json::<Document>(address, "/v1/config").expect("document").version, 1);
    set_faults(address, &json!({"outage": true}));
    assert_eq!(status(address, "/v1/config"), 503);
    assert_eq!(status(address, "/v1/instances"), 503);
    set_faults(address, &json!({"lag_ms": 60_000}));
    assert_eq!(status(address, "/v1/config"), 404);
    set_faults(address, &json!({}));
    assert_eq!(get_json::<Document>(address, "/v1/config").expect("document").version, 2);
}

#[test]
fn lists_instances() {
    let platform = start("platform", &[]);
    let list = json!({"instances": [{"name": "entry-1", "state": "leaving"}]});
    let _: Value = put_json(platform.address, "/v1/admin/instances", &list).expect("list");
    let found: InstanceList = get_json(platform.address, "/v1/instances").expect("list");
    assert_eq!(found.instances[0].state, "leaving");
}
