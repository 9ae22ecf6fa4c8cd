#!/bin/sh
# Builds the stand-ins and scenes of all scripts of the second review into one program, after the build of the deploy file.
# They lie beside case 4; only the standard library is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/4/standins/main.rs
