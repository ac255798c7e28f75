//! Tests the capacity tool: the fit, each trial at small sizes and the overhead measurement.

use std::process::Output;

use serde_json::Value;
use standins::capacity::{Fit, Point};
use standins::fleet::standin;
use tempfile::TempDir;

const POINTS_MIN: usize = 4;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|(x, y)| Point { x: *x, y: *y }).collect()
}

fn run(verb: &str, options: &[&str]) -> Output {
    standin(verb).unwrap().args(options).output().unwrap()
}

/// Runs one trial and returns its series.
fn run_trial(name: &str) -> Vec<Value> {
    let folder = TempDir::new().unwrap();
    let out = folder.path().join("capacity.json");
    let output = run("capacity", &["--quick", "--only", name, "--out", out.to_str().unwrap()]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_str(&std::fs::read_to_string(out).unwrap()).unwrap();
    report["series"].as_array().unwrap().clone()
}

fn assert_measured(name: &str) {
    let series = run_trial(name);
    assert!(!series.is_empty());
    for item in series {
        assert!(item["points"].as_array().unwrap().len() >= POINTS_MIN, "{item}");
        assert!(item["fit"]["slope"].is_f64(), "{item}");
    }
}

#[test]
fn collinear_points_are_fitted_exactly() {
    let fit = Fit::least_squares(&points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])).unwrap();

    assert!((fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - 3.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.r_squared - 1.0).abs() < 1e-9, "{fit:?}");
}

#[test]
fn scattered_points_lower_r_squared() {
    let fit =
        Fit::least_squares(&points(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)])).unwrap();

    assert!((fit.slope - 0.8).abs() < 1e-9, "{fit:?}");
    assert!((fit.r_squared - 0.64).abs() < 1e-9, "{fit:?}");
}

#[test]
fn a_fit_needs_two_distinct_x_values() {
    assert_eq!(Fit::least_squares(&points(&[(1.0, 5.0), (1.0, 7.0)])), None);
    assert_eq!(Fit::least_squares(&[]), None);
}

#[test]
fn changes_of_configuration_are_measured() {
    assert_measured("config");
}

#[test]
fn engines_are_measured() {
    assert_measured("engines");
}

#[test]
fn open_streams_are_measured() {
    assert_measured("streams");
}

#[test]
fn peers_are_measured() {
    assert_measured("peers");
}

#[test]
fn requests_are_measured() {
    assert_measured("requests");
}

#[test]
fn an_unknown_trial_is_refused() {
    let output = run("capacity", &["--only", "nothing"]);

    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("not nothing"));
}

#[test]
fn overhead_requests_to_both_targets_are_all_answered() {
    let output = run(
        "overhead",
        &["--duration-ms", "1000", "--rate-per-s", "20", "--streams", "4", "--json"],
    );

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    for target in ["direct", "instance"] {
        assert_eq!(report[target]["broken"], 0, "{report}");
        assert!(report[target]["done"].as_u64().unwrap() > 0, "{report}");
    }
    assert_eq!(report["streams"], 4);
}
