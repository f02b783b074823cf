#!/usr/bin/env bash
# Plays the case stray-check-in on loopback; review/build.sh and the deploy file build what it
# starts. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
for program in target/wigeon-control target/wigeon-entry target/review/standin; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
timeout -k 2 110 target/review/standin stray-check-in review/5
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
