#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. Without a network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
cargo build --release --offline --locked
