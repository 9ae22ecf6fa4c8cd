#!/usr/bin/env bash
# Builds the stand-ins and scenarios of all cases into one program, with the standard library only. The stand-ins lie
# beside case 1; each scenario lies in the folder of its case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-kit review/1/standins/main.rs
