#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -DBOOST_ASIO_NO_DEPRECATED -I. review/standin-2/*.cpp test/platform/soak/http.cpp \
    -lboost_json -pthread -o target/review-2/standin
