#!/bin/sh
# Builds the stand-ins of the cases. It needs the Go toolchain and no network.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-standin .
