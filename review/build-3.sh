#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 11 to 15 into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
soak=test/platform/soak
mkdir -p target/review-3
objects=()
for source in review/standin-3/*.cpp $soak/{http,store}.cpp; do
    object=target/review-3/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -I "$soak" -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do
    wait "$job"
done
g++ "${objects[@]}" -lboost_json -lpthread -o target/review-3/review-3
