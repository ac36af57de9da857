#!/usr/bin/env bash
# Checks format, the include closure of decision modules, blocking waits, the platform's border, and clang-tidy.
# Needs a configured build/release for the compile commands. clang-tidy is skipped for files that passed before with
# the same content, project headers and rules; the record is in WASABIROAD_LINT_CACHE (default: build/lint-passed).
set -euo pipefail
cd "$(dirname "$0")/.."

echo "lint: clang-format"
git ls-files '*.cpp' '*.hpp' | grep -v '/generated/' | xargs clang-format --dry-run --Werror

echo "lint: decision modules include no I/O or encoding library"
decision_files=$(git ls-files 'src/wasabiroad/*' | grep -E 'src/wasabiroad/(model|lifecycle|routing|admission|fleet|jobs|scheduling)/.*\.[ch]pp$' | grep -v 'jobs/codec')
closure=$(printf '%s\n' "$decision_files" | xargs -P "$(nproc)" -n 1 g++ -std=c++20 -Isrc -M)
if grep -oE '[^ ]*(boost/(asio|beast|json)/|zmq\.h|google/protobuf|spdlog/)[^ ]*' <<<"$closure" | sort -u | head -5 | grep .; then
    echo "lint: a decision module includes the headers above"
    exit 1
fi

echo "lint: no thread sleeps or spins"
if git grep -nE 'sleep_for|sleep_until|usleep|this_thread::yield' -- 'src/*.cpp' 'src/*.hpp' 'platform/*.cpp' 'platform/*.hpp'; then
    echo "lint: wait for an event or a timer of the context instead"
    exit 1
fi

echo "lint: border to the platform's names"
tools/check-border.sh

echo "lint: clang-tidy"
passed=${WASABIROAD_LINT_CACHE:-build/lint-passed}
mkdir -p "$passed"
rules=$(cat .clang-tidy tools/lint.sh | sha256sum; clang-tidy --version | sha256sum)
tidy() {
    local file=$1 key
    key=$({ echo "$rules"; g++ -std=c++20 -Isrc -I. -MM -MG "$file" | tr -d '\\' | tr ' ' '\n' | grep -E '^(src|platform)/' | sort -u | xargs cat; } | sha256sum | cut -d' ' -f1)
    [ -e "$passed/$key" ] && return 0
    clang-tidy -p build/release --quiet --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null || return 1
    touch "$passed/$key"
}
export -f tidy
export rules passed
git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v '/generated/' | xargs -P "$(nproc)" -I{} bash -c 'tidy {}'
