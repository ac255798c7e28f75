#!/usr/bin/env bash
# Runs every check of the project: format, lints, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --quiet --workspace --all-targets -- -D warnings
cargo build --quiet --workspace
cargo test --workspace
