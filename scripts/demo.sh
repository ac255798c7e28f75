#!/usr/bin/env bash
# Starts stand-ins and seven entry instances, runs a short mixed load, prints goodput by tier and
# wasted prefill, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace --release
exec target/release/standins experiment --deployment norrland --policy steward --seed 1 \
  --load 0.7 --duration-ms 10000
