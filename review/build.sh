#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review cases, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-kit review/kit/main.rs
