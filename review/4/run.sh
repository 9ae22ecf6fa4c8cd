#!/bin/sh
# A full replica's refusal arrives a second time, late. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/tidetrack-host ] || exit 2
exec target/review-2/standin repeated-refusal review/4 target/release/tidetrack-host
