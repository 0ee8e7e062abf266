#!/usr/bin/env bash
# Builds the stand-in of the scripted cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
