#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOWORK=off GOTOOLCHAIN=local GOFLAGS="-mod=mod -buildvcs=false" go build -o ../../target/review/ ./case...
