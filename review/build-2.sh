#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, with the compiler alone: they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
