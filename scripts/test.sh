#!/usr/bin/env bash
# Runs every check of the project: format, lints, tests.
#
# Tests named in KNOWN-RED.txt (lines `test: NAME`) are known to fail for a real fault: they are
# printed and passed over, all others must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --quiet --workspace --all-targets -- -D warnings
cargo build --quiet --workspace
skips=()
if [ -f KNOWN-RED.txt ]; then
  while read -r name; do
    echo "known red, passed over: $name"
    skips+=(--skip "$name")
  done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
cargo test --workspace --no-fail-fast -- "${skips[@]}"
