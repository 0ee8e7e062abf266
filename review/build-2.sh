#!/usr/bin/env bash
# Builds the stand-in of the scripted cases of the second review, a module of its own without dependencies, after the build of the
# deploy file.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$top/target"
cd "$top/review/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o "$top/target/review-standin-2" .
