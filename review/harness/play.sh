#!/usr/bin/env bash
# Plays a program of the harness that stands in no case folder: review/harness/play.sh NAME. Exits like
# a case: 1 if the rule was broken, 0 if it held, 2 if it could not run. Its record goes to target/review.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/parsleylug ] && [ -x "target/review/$1" ] || { echo "build first: the build of deploy/system.toml and review/build.sh"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
REVIEW_ROOT=$PWD REVIEW_RECORD="target/review/$1.txt" exec "target/review/$1"
