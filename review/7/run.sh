#!/usr/bin/env bash
# Plays the case crash-after-restart on loopback, with what the deploy file and review/build-2.sh build.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/wigeon-control target/wigeon-entry target/review-2/cases2; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
TROUBLE="${TROUBLE:-1}" timeout -k 2 110 target/review-2/cases2 crash-after-restart review/7 target
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
