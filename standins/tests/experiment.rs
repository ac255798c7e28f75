//! Tests the experiment tool with the `direct` policy, without instances.

use std::fs;

use serde_json::Value;
use standins::fleet::standin;
use tempfile::TempDir;

#[test]
fn compares_seeds_without_instances() {
    let folder = TempDir::new().expect("folder");
    let mut command = standin("experiment").expect("program");
    command.args(["--policy", "direct", "--seed", "1", "--seed", "2", "--engines", "2"]);
    command.args([
        "--duration-ms",
        "300",
        "--straggler-at-ms",
        "100",
        "--straggler-speed",
        "0.5",
        "--out",
    ]);
    let output = command.arg(folder.path()).output().expect("run");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = fs::read_to_string(folder.path().join("results.json")).expect("results");
    let results: Value = serde_json::from_str(&text).expect("results");
    assert_eq!(results.as_array().map(Vec::len), Some(2));
    assert!(results[0]["prefilled_tokens"].as_u64() > Some(0));
    let chart = fs::read_to_string(folder.path().join("goodput.svg")).expect("chart");
    assert!(chart.contains("<svg") && chart.contains("direct"));
}
