#!/bin/sh
# A burst of streaming requests with large prompts ends the hosts for memory. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/tidetrack-host ] || exit 2
exec target/review-2/standin large-prompts review/6 target/release/tidetrack-host
