#!/usr/bin/env bash
# Checks that string literals outside platform/ and deploy/ hold no name of the users' platform.
# usage: tools/check-border.sh [FOLDER]   (default: this repository)
set -euo pipefail
names=$(cd "$(dirname "$0")/.." && pwd)/platform/wire_names.txt
cd "${1:-$(dirname "$0")/..}"
pattern=$(paste -sd'|' "$names")
files=$(find src schema examples test/wasabiroad -type f 2>/dev/null || true)
[ -n "$files" ] || { echo "border: no files to check in $PWD"; exit 1; }
if grep -nE "\"[^\"]*($pattern)[^\"]*\"" $files; then
    echo "border: only platform/ knows these names; decode them there"
    exit 1
fi
