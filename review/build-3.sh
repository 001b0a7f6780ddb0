#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: target/review-3. It needs Go alone; the
# module has no dependencies.
set -eu
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target
GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-3 .
