#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Addresses are of 127.0.0.1, ports are free ones, files lie in a temporary folder.
set -u
cd "$(dirname "$0")/../.."
[ -x target/review-2/rig ] && [ -x target/release/trefoildyke-platform ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/rig same-id review/7
