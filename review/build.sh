#!/usr/bin/env bash
# Builds the stand-ins that the scripts in this folder start. It needs no network: they
# use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOPROXY=off GOFLAGS=-buildvcs=false go build -trimpath -o ../../target/review/standin .
