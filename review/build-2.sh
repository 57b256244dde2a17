#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start, after the build of the deploy file and without a network.
set -eu
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --offline --target-dir ../../target/review-2
