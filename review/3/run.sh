#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bilberry-gateway ] && [ -x target/review-cases ] || exit 2
timeout --kill-after=5 112 target/review-cases silent-store-connections review/3/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
