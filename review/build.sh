#!/bin/sh
# Builds the program that plays the cases with a script. It needs nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml \
    --target-dir target/review
