#!/bin/sh
# Builds the stand-ins of the scripts of cases 11 and 13 to 15. Run it after the build of the deploy file, in any folder.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standins ./review/standins-3
