#!/bin/bash
# Builds the stand-ins of the cases; no dependency, no network.
set -e
cd "$(dirname "$0")/standin"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline
