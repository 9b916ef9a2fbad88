#!/bin/sh
# A request crashes each worker that runs it, after a part of the answer has been sent.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bilberry-gateway ] && [ -x target/review-3/standins ] || exit 2
exec target/review-3/standins -case crash-in-answer -folder review/15
