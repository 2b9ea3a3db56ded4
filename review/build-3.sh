#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review, which need nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
go build -o ../../target/review-3/harness3 .
