#!/usr/bin/env bash
# Checks format, the include closure of decision modules, blocking waits, and clang-tidy.
# Needs a configured build/release for the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "lint: clang-format"
git ls-files '*.cpp' '*.hpp' | grep -v '/generated/' | xargs clang-format --dry-run --Werror

echo "lint: decision modules include no I/O or encoding library"
decision_files=$(git ls-files 'src/wasabiroad/*' | grep -E 'src/wasabiroad/(model|lifecycle|routing|admission|fleet)/.*\.[ch]pp$')
closure=$(printf '%s\n' "$decision_files" | xargs -P "$(nproc)" -n 1 g++ -std=c++20 -Isrc -M)
if grep -oE '[^ ]*(boost/(asio|beast|json)/|zmq\.h|google/protobuf|spdlog/)[^ ]*' <<<"$closure" | sort -u | head -5 | grep .; then
    echo "lint: a decision module includes the headers above"
    exit 1
fi

echo "lint: no thread sleeps or spins"
if git grep -nE 'sleep_for|sleep_until|usleep|this_thread::yield' -- 'src/*.cpp' 'src/*.hpp'; then
    echo "lint: wait for an event or a timer of the context instead"
    exit 1
fi

echo "lint: clang-tidy"
git ls-files 'src/*.cpp' | grep -v '/generated/' \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p build/release --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
