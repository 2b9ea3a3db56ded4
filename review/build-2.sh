#!/bin/sh
# Builds the stand-ins of the script cases into target/review-2/, without a network: they use the standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review-2
export GOFLAGS=-mod=mod GOWORK=off
(cd standin-2 && go build -o ../../target/review-2/review2 .)
(cd standin-3 && go build -o ../../target/review-2/rig .)
