#!/usr/bin/env bash
# Plays the case "moved-queue"; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
standin=$here/../../target/review-2/standin
program=$here/../../target/bin/wasabiroad-fleetd
[ -x "$standin" ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 112 "$standin" moved-queue "$program" "$folder" "$here/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
