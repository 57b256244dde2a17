#!/bin/bash
# Builds the stand-ins and drivers of the cases, without a network, from what the deploy file's build has fetched.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --offline --manifest-path stand-ins/Cargo.toml --target-dir ../target/review
