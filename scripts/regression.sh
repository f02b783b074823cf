#!/usr/bin/env bash
# Plays the standard days of the sites whose level has to hold, one site after the other.
# FLEETBENCH is the bench, SITES the folder with the site files.
#
#   FLEETBENCH=... SITES=... scripts/regression.sh [--quick] [--jobs N]
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?path of the bench}" "${SITES:?folder with the site files}"
for site in sites/levy-search grown/lamina-sul-grown grown/levy-search-grown \
    further/koszyk-wspolny further-grown/koszyk-wspolny-grown large/lamina-sul-large; do
    echo "== $site"
    "$FLEETBENCH" score "$SITES/$site.toml" --why "regression run" "$@"
done
