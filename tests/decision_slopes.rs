//! The example that measures the cost of decisions, run with small sizes.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use tempfile::TempDir;

/// Returns the path of the example, which is built beside the tests.
fn tool() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let path = own.parent().unwrap().parent().unwrap().join("examples/decision_slopes");
    assert!(path.is_file(), "build it with `cargo build --examples`");
    path
}

#[test]
fn every_series_is_measured_and_written() {
    let folder = TempDir::new().unwrap();
    let out = folder.path().join("slopes.json");

    let output = Command::new(tool()).arg("--quick").arg("--out").arg(&out).output().unwrap();

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_str(&std::fs::read_to_string(out).unwrap()).unwrap();
    let series = report["series"].as_array().unwrap();
    assert!(series.len() > 10, "{report}");
    let varied = series.iter().filter(|item| item["varied"] != "messages");
    for item in varied {
        assert!(item["points"].as_array().unwrap().len() >= 4, "{item}");
        assert!(item["fit"]["slope"].is_f64(), "{item}");
    }
    let messages = series.iter().filter(|item| item["varied"] == "messages");
    assert!(messages.into_iter().all(|item| item["points"][0]["y"].as_f64().unwrap() > 1.0));
}
