#!/usr/bin/env bash
# Plays the case with real processes. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/site many-ends review/1/record.txt "$folder"
