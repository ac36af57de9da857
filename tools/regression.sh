#!/usr/bin/env bash
# Scores the deployments of the regression runs and prints a line for each day and gate. CI does not need it.
# usage: tools/regression.sh BENCH SITES [OPTION ...]
#   BENCH: path of fleetbench; SITES: folder with the deployments; OPTION: passed to `fleetbench score`
set -euo pipefail
cd "$(dirname "$0")/.."

# The list of deployments that must hold before a landing.
deployments=(
    further/tckha-sched
    further-grown/tckha-sched-grown
    grown/hallbach-foundry-grown
    grown/accord-pnw-grown
    large/hallbach-foundry-large
    # These leave the list once the gate of large holds on drawn days too.
    sites/hallbach-foundry
    sites/accord-pnw
)

[ $# -ge 2 ] || { sed -n '3,4s/^# //p' "$0"; exit 2; }
bench=$1 sites=$2
shift 2
failed=0
printf '%-34s %-14s %7s %7s %7s\n' deployment day score worth served
for deployment in "${deployments[@]}"; do
    output=$("$bench" score "$sites/$deployment.toml" --why "regression run" "$@" 2>&1) || true
    awk -v name="$deployment" '$2 ~ /^[0-9]+\/[0-9]+$/ { printf "%-34s %-14s %7s %7s %7s\n", name, $1, $3, $4, $5 }' <<<"$output"
    gate=$(grep '^GATE' <<<"$output" || echo "GATE not judged")
    echo "$deployment: $gate"
    [ "$gate" = "GATE passed" ] || failed=1
done
exit "$failed"
