#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/reviewcase ./review/standins-2
