#!/bin/sh
# Builds the stand-ins of the script cases into target/review-2/, without a network: they use the standard library only.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2/review2 .
