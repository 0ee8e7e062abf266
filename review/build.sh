#!/bin/sh
# Builds the stand-ins of the scripts, with nothing but Go's standard library.
cd "$(dirname "$0")/standin" && mkdir -p ../../target && GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin .
