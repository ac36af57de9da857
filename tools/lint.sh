#!/usr/bin/env bash
# Checks format, names, the include closure of decision modules, and the shape of the tree.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release

echo "lint: clang-format"
git ls-files '*.cpp' '*.hpp' | grep -v '\.pb\.' | xargs clang-format --dry-run --Werror

echo "lint: decision modules include no I/O or encoding library"
failed=0
for module in model lifecycle routing admission fleet; do
    for header in $(git ls-files "src/wasabiroad/$module/*.hpp" "src/wasabiroad/$module/*.cpp"); do
        if g++ -std=c++20 -Isrc -MM -MG "$header" -M 2>/dev/null \
            | grep -oE 'boost/(asio|beast|json)/|zmq\.h|google/protobuf|spdlog/' | sort -u | grep -q .; then
            echo "lint: $header includes an I/O or encoding library"
            failed=1
        fi
    done
done
[ "$failed" -eq 0 ]

echo "lint: clang-tidy"
git ls-files 'src/*.cpp' | grep -v '\.pb\.' | grep -v '^src/wasabiroad/bench/' \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
