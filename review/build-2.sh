#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOWORK=off GOTOOLCHAIN=local GOFLAGS="-mod=mod -buildvcs=false" go build -o ../../target/review-2/review2 .
