#!/usr/bin/env bash
# Builds the program that plays the platform, the workers and the requesters of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases ./review/cases
