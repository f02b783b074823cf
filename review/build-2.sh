#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the programs of the deploy file: one
# program with the stand-ins of searchers, clients and operators.
set -euo pipefail
cd "$(dirname "$0")/cases2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOWORK=off go build -trimpath -o ../../target/review-2/cases2 .
