#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder, with the compiler alone, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin.rs
