#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml \
  --target-dir target/review-2
