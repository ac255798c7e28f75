#!/usr/bin/env bash
# Builds the stand-ins of the second review; the gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2.rs
