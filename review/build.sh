#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the compiler alone: they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
