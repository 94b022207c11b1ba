#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/site review/standin-2/main.rs
