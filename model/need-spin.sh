#!/usr/bin/env bash
# Installs spin, the model checker of make model, if it is missing.
set -euo pipefail
command -v spin >/dev/null && exit 0
apt-get update -q
apt-get install -y -q spin
